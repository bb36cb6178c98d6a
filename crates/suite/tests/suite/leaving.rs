//! Data centres that are taken out and come back, and endpoints that leave.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::relay::Flow;
use hyper::Method;
use serde_json::{Value, json};

use crate::plans;
use crate::support::{Chats, assert_whole, chat, seen, until, until_agent, until_entry};

const TOKENS: u32 = 40;

/// Starts chats that differ in their prompts, at both entries in turn.
fn load(deployment: &Deployment, name: &str, count: usize) -> Result<Chats, HarnessError> {
    Chats::start(deployment, 2, name, count, TOKENS)
}

fn idle(state: &Value) -> bool {
    state["running"] == 0
}

/// Waits until an engine that takes work again has got some.
async fn until_served(deployment: &Deployment, index: usize) -> Result<(), HarnessError> {
    let before = seen(deployment, index).await?;
    let mut round = 0;
    until(async || {
        round += 1;
        load(deployment, &format!("back {round}"), 6)?
            .assert_whole()
            .await?;
        Ok(seen(deployment, index).await? > before)
    })
    .await
}

async fn set_in_service(deployment: &mut Deployment, state: bool) -> Result<(), HarnessError> {
    deployment.plan_mut().set_in_service("tb1", state);
    deployment.publish().await
}

#[tokio::test]
async fn a_data_centre_leaves_and_returns_under_load() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let before = load(&deployment, "before", 30)?;
    until(async || Ok(seen(&deployment, 0).await? > 0)).await?;
    set_in_service(&mut deployment, false).await?;
    for entry in 0..2 {
        until_entry(&deployment, entry, |state| {
            state["generations"]["fleet"] == 2
        })
        .await?;
    }
    for agent in 0..2 {
        until_agent(&deployment, agent, |state| {
            state["generations"]["fleet"] == 2
        })
        .await?;
    }
    let left = seen(&deployment, 0).await?;
    load(&deployment, "while out", 20)?.assert_whole().await?;
    before.assert_whole().await?;
    assert_eq!(seen(&deployment, 0).await?, left, "new work after it left");
    assert_eq!(left + seen(&deployment, 1).await?, 50, "each ran once");
    set_in_service(&mut deployment, true).await?;
    until_served(&deployment, 0).await
}

#[tokio::test]
async fn a_body_that_arrives_after_the_data_centre_left_runs_elsewhere() -> Result<(), HarnessError>
{
    let mut deployment = Deployment::start(plans::small().with_relays()).await?;
    for agent in 0..2 {
        deployment
            .agent_relays(agent)
            .traffic
            .set_flow(Flow::HoldForward);
    }
    let call = chat(&deployment, 0, "on its way", TOKENS)?;
    let arrived = |index: usize| deployment.agent_relays(index).traffic.received_bytes() > 0;
    until(async || Ok(arrived(0) || arrived(1))).await?;
    let chosen = usize::from(arrived(1));
    let centre = ["tb1", "tb2"][chosen];
    deployment.plan_mut().set_in_service(centre, false);
    deployment.publish().await?;
    until_agent(&deployment, chosen, |state| {
        state["generations"]["fleet"] == 2
    })
    .await?;
    for agent in 0..2 {
        deployment.agent_relays(agent).traffic.set_flow(Flow::Pass);
    }
    assert_whole(call, "on its way", TOKENS).await?;
    assert_eq!(seen(&deployment, chosen).await?, 0);
    assert_eq!(seen(&deployment, 1 - chosen).await?, 1);
    Ok(())
}

#[tokio::test]
async fn an_agent_that_is_told_to_leave_finishes_what_runs() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let calls = load(&deployment, "through a departure", 40)?;
    until_agent(&deployment, 0, |state| !idle(state)).await?;
    deployment.agent(0).signal("TERM").await?;
    calls.assert_whole().await?;
    assert!(deployment.agent(0).wait().await?.success());
    let left = seen(&deployment, 0).await?;
    load(&deployment, "afterwards", 10)?.assert_whole().await?;
    assert_eq!(seen(&deployment, 0).await?, left);
    assert_eq!(left + seen(&deployment, 1).await?, 50, "each ran once");
    Ok(())
}

async fn list(deployment: &Deployment, list: Value) -> Result<(), HarnessError> {
    let hosts = deployment.host_list()?;
    hosts.send(Method::PUT, "/hosts", list.to_string()).await?;
    Ok(())
}

#[tokio::test]
async fn an_endpoint_that_is_listed_as_leaving_gets_no_new_work() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::small()).await?;
    let calls = load(&deployment, "before the word", 20)?;
    list(
        &deployment,
        json!([{ "name": "engine-1", "status": "leaving" }]),
    )
    .await?;
    until_agent(&deployment, 0, |state| state["leaving"] == true).await?;
    let left = seen(&deployment, 0).await?;
    load(&deployment, "after the word", 20)?
        .assert_whole()
        .await?;
    calls.assert_whole().await?;
    assert_eq!(seen(&deployment, 0).await?, left, "new work after the word");
    list(
        &deployment,
        json!([{ "name": "engine-1", "status": "live" }]),
    )
    .await?;
    until_served(&deployment, 0).await
}

#[tokio::test]
async fn a_list_that_is_silent_or_down_means_nothing() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    list(
        &deployment,
        json!([{ "name": "engine-1", "status": "leaving" }]),
    )
    .await?;
    until_agent(&deployment, 0, |state| state["leaving"] == true).await?;
    list(
        &deployment,
        json!([{ "name": "engine-2", "status": "leaving" }]),
    )
    .await?;
    until_agent(&deployment, 1, |state| state["leaving"] == true).await?;
    assert_eq!(deployment.agent_state(0).await?["leaving"], true);
    list(
        &deployment,
        json!([{ "name": "engine-2", "status": "live" }]),
    )
    .await?;
    until_agent(&deployment, 1, |state| state["leaving"] == false).await?;
    deployment.kill_host_list().await?;
    load(&deployment, "without a list", 10)?
        .assert_whole()
        .await?;
    assert_eq!(seen(&deployment, 0).await?, 0);
    Ok(())
}
