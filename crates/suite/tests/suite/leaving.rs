//! Data centres that are closed and reopened, and endpoints that leave.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::relay::Flow;
use hyper::Method;
use serde_json::{Value, json};

use crate::plans;
use crate::support::{Chats, assert_complete, call_count, chat, until, until_agent, until_entry};

const TOKENS: u32 = 40;

/// Starts chats with different prompts, distributed over both entries.
fn start_chats(deployment: &Deployment, name: &str, count: usize) -> Result<Chats, HarnessError> {
    Chats::start(deployment, 2, name, count, TOKENS)
}

fn is_idle(state: &Value) -> bool {
    state["running"] == 0
}

/// Makes chats until the engine at `index` has received one of them.
async fn until_served(deployment: &Deployment, index: usize) -> Result<(), HarnessError> {
    let before = call_count(deployment, index).await?;
    let mut round = 0;
    until(async || {
        round += 1;
        start_chats(deployment, &format!("back {round}"), 6)?
            .assert_complete()
            .await?;
        Ok(call_count(deployment, index).await? > before)
    })
    .await
}

async fn set_in_service(deployment: &mut Deployment, in_service: bool) -> Result<(), HarnessError> {
    deployment.plan_mut().set_in_service("tb1", in_service);
    deployment.publish().await
}

#[tokio::test]
async fn a_data_centre_closes_and_reopens_under_load() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let before = start_chats(&deployment, "before", 30)?;
    until(async || Ok(call_count(&deployment, 0).await? > 0)).await?;
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
    let calls_before = call_count(&deployment, 0).await?;
    start_chats(&deployment, "while out", 20)?
        .assert_complete()
        .await?;
    before.assert_complete().await?;
    assert_eq!(
        call_count(&deployment, 0).await?,
        calls_before,
        "the closed data centre got new work"
    );
    assert_eq!(
        calls_before + call_count(&deployment, 1).await?,
        50,
        "each chat must run once"
    );
    set_in_service(&mut deployment, true).await?;
    until_served(&deployment, 0).await
}

#[tokio::test]
async fn a_body_that_arrives_after_its_data_centre_closed_runs_elsewhere()
-> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small().with_relays()).await?;
    for agent in 0..2 {
        deployment
            .agent_relays(agent)
            .traffic
            .set_flow(Flow::HoldForward);
    }
    let call = chat(&deployment, 0, "on its way", TOKENS)?;
    let has_body = |index: usize| deployment.agent_relays(index).traffic.received_bytes() > 0;
    until(async || Ok(has_body(0) || has_body(1))).await?;
    let receiver = usize::from(has_body(1));
    let centre = ["tb1", "tb2"][receiver];
    deployment.plan_mut().set_in_service(centre, false);
    deployment.publish().await?;
    until_agent(&deployment, receiver, |state| {
        state["generations"]["fleet"] == 2
    })
    .await?;
    for agent in 0..2 {
        deployment.agent_relays(agent).traffic.set_flow(Flow::Pass);
    }
    assert_complete(call, "on its way", TOKENS).await?;
    assert_eq!(call_count(&deployment, receiver).await?, 0);
    assert_eq!(call_count(&deployment, 1 - receiver).await?, 1);
    Ok(())
}

#[tokio::test]
async fn an_agent_that_is_terminated_finishes_its_running_requests() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let calls = start_chats(&deployment, "through a departure", 40)?;
    until_agent(&deployment, 0, |state| !is_idle(state)).await?;
    deployment.agent(0).signal("TERM").await?;
    calls.assert_complete().await?;
    assert!(deployment.agent(0).wait().await?.success());
    let calls_before = call_count(&deployment, 0).await?;
    start_chats(&deployment, "afterwards", 10)?
        .assert_complete()
        .await?;
    assert_eq!(call_count(&deployment, 0).await?, calls_before);
    assert_eq!(
        calls_before + call_count(&deployment, 1).await?,
        50,
        "each chat must run once"
    );
    Ok(())
}

async fn put_hosts(deployment: &Deployment, list: Value) -> Result<(), HarnessError> {
    let hosts = deployment.host_list()?;
    hosts.send(Method::PUT, "/hosts", list.to_string()).await?;
    Ok(())
}

#[tokio::test]
async fn an_endpoint_that_is_listed_as_leaving_gets_no_new_work() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::small()).await?;
    let calls = start_chats(&deployment, "before draining", 20)?;
    put_hosts(
        &deployment,
        json!([{ "name": "engine-1", "status": "leaving" }]),
    )
    .await?;
    until_agent(&deployment, 0, |state| state["leaving"] == true).await?;
    let calls_before = call_count(&deployment, 0).await?;
    start_chats(&deployment, "after draining", 20)?
        .assert_complete()
        .await?;
    calls.assert_complete().await?;
    assert_eq!(
        call_count(&deployment, 0).await?,
        calls_before,
        "the leaving endpoint got new work"
    );
    put_hosts(
        &deployment,
        json!([{ "name": "engine-1", "status": "live" }]),
    )
    .await?;
    until_served(&deployment, 0).await
}

#[tokio::test]
async fn a_missing_list_or_list_entry_changes_no_status() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    put_hosts(
        &deployment,
        json!([{ "name": "engine-1", "status": "leaving" }]),
    )
    .await?;
    until_agent(&deployment, 0, |state| state["leaving"] == true).await?;
    put_hosts(
        &deployment,
        json!([{ "name": "engine-2", "status": "leaving" }]),
    )
    .await?;
    until_agent(&deployment, 1, |state| state["leaving"] == true).await?;
    assert_eq!(deployment.agent_state(0).await?["leaving"], true);
    put_hosts(
        &deployment,
        json!([{ "name": "engine-2", "status": "live" }]),
    )
    .await?;
    until_agent(&deployment, 1, |state| state["leaving"] == false).await?;
    deployment.kill_host_list().await?;
    start_chats(&deployment, "without a list", 10)?
        .assert_complete()
        .await?;
    assert_eq!(call_count(&deployment, 0).await?, 0);
    Ok(())
}
