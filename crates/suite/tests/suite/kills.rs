//! Processes and endpoints that die while requests wait on them.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::answer_text;

use crate::plans;
use crate::support::{Chats, chat, chat_in_turn, cut_off, outcome, seen, until, until_running};

#[tokio::test]
async fn a_request_waiting_at_an_agent_that_dies_runs_elsewhere() -> Result<(), HarnessError> {
    let mut plan = plans::pair();
    plan.set_capacity("engine-1", 1, 1);
    plan.set_capacity("engine-2", 1, 1);
    let mut deployment = Deployment::start(plan).await?;
    let first = chat(&deployment, 0, "first", 200)?;
    let second = chat(&deployment, 0, "second", 200)?;
    until_running(&deployment, 0, 1).await?;
    until_running(&deployment, 1, 1).await?;
    let waiting = chat(&deployment, 0, "waiting", 8)?;
    until(|| async { Ok(deployment.entry_state(0).await?["waiting"] == 1) }).await?;
    deployment.agent(0).kill().await?;
    let reply = outcome(waiting).await?;
    assert_eq!(reply.generated(), Some(answer_text::text("waiting", 8)));
    let outcomes = [outcome(first).await, outcome(second).await];
    let whole = outcomes
        .iter()
        .flatten()
        .filter(|reply| reply.generated().is_some())
        .count();
    assert_eq!(
        whole, 1,
        "the run on the living agent is whole, the other is not: {outcomes:?}"
    );
    Ok(())
}

#[tokio::test]
async fn an_agent_that_dies_during_a_run_never_yields_not_run() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "cut off", 20_000)?;
    until(|| async { Ok(seen(&deployment, 0).await? == 1) }).await?;
    deployment.agent(0).kill().await?;
    let text = cut_off(outcome(call).await)?;
    assert!(!text.contains("not_run"), "{text}");
    deployment.restart_agent(0).await?;
    deployment.wait_ready().await?;
    let next = outcome(chat(&deployment, 0, "after", 8)?).await?;
    assert_eq!(next.generated(), Some(answer_text::text("after", 8)));
    Ok(())
}

#[tokio::test]
async fn a_crashed_engine_s_caller_is_told_that_it_ran_in_part() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "will be cut", 20_000)?;
    until(|| async { Ok(seen(&deployment, 0).await? == 1) }).await?;
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] == 1) }).await?;
    deployment.crash_engine(0).await?;
    let text = cut_off(outcome(call).await)?;
    assert!(text.contains(r#""execution":"in_part""#), "{text}");
    assert_eq!(seen(&deployment, 0).await?, 1);
    Ok(())
}

#[tokio::test]
async fn an_entry_that_dies_leaves_nothing_running() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "its owner dies", 20_000)?;
    until(|| async { Ok(seen(&deployment, 0).await? == 1) }).await?;
    deployment.entry(0).kill().await?;
    assert!(outcome(call).await.is_err());
    until_running(&deployment, 0, 0).await?;
    until(|| async {
        Ok(deployment.get_from_endpoint(0, "/totals").await?.json()["cancelled"] == 1)
    })
    .await?;
    deployment.restart_entry(0).await?;
    deployment.wait_ready().await?;
    let next = outcome(chat(&deployment, 0, "after", 8)?).await?;
    assert_eq!(next.generated(), Some(answer_text::text("after", 8)));
    Ok(())
}

#[tokio::test]
async fn a_leaving_agent_finishes_its_run_and_takes_no_more() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    let chats = Chats::start(&deployment, 1, "plan", 8, 200)?;
    until(|| async { Ok(deployment.agent_state(0).await?["running"] != 0) }).await?;
    deployment.agent(0).signal("TERM").await?;
    let late = chat(&deployment, 0, "late", 8)?;
    chats.assert_whole().await?;
    assert_eq!(
        outcome(late).await?.generated(),
        Some(answer_text::text("late", 8))
    );
    assert!(deployment.agent(0).wait().await?.success());
    Ok(())
}

#[tokio::test]
async fn two_faults_at_once_lose_no_answer_that_could_be_given() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    deployment.set_configuration_mode("down").await?;
    deployment.agent(0).kill().await?;
    chat_in_turn(&deployment, 8).await?;
    Ok(())
}
