//! Processes and endpoints that are killed, crash or leave while requests depend on them.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::answer_text;

use crate::plans;
use crate::support::{
    Chats, call_count, chat, chat_sequentially, outcome, partial_body, until, until_running,
};

#[tokio::test]
async fn a_request_that_waits_at_a_killed_agent_runs_elsewhere() -> Result<(), HarnessError> {
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
    let complete = outcomes
        .iter()
        .flatten()
        .filter(|reply| reply.generated().is_some())
        .count();
    assert_eq!(
        complete, 1,
        "only the run at the live agent must be complete: {outcomes:?}"
    );
    Ok(())
}

#[tokio::test]
async fn killing_an_agent_during_a_run_never_reports_not_run() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "cut off", 20_000)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    deployment.agent(0).kill().await?;
    let text = partial_body(outcome(call).await)?;
    assert!(!text.contains("not_run"), "{text}");
    deployment.restart_agent(0).await?;
    deployment.wait_ready().await?;
    let next = outcome(chat(&deployment, 0, "after", 8)?).await?;
    assert_eq!(next.generated(), Some(answer_text::text("after", 8)));
    Ok(())
}

#[tokio::test]
async fn a_caller_of_a_crashed_engine_gets_execution_in_part() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "will be cut", 20_000)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] == 1) }).await?;
    deployment.crash_engine(0).await?;
    let text = partial_body(outcome(call).await)?;
    assert!(text.contains(r#""execution":"in_part""#), "{text}");
    assert_eq!(call_count(&deployment, 0).await?, 1);
    Ok(())
}

#[tokio::test]
async fn killing_an_entry_cancels_its_runs() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "its owner dies", 20_000)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
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
async fn a_leaving_agent_finishes_its_runs() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    let chats = Chats::start(&deployment, 1, "plan", 8, 200)?;
    until(|| async { Ok(deployment.agent_state(0).await?["running"] != 0) }).await?;
    deployment.agent(0).signal("TERM").await?;
    let late = chat(&deployment, 0, "late", 8)?;
    chats.assert_complete().await?;
    assert_eq!(
        outcome(late).await?.generated(),
        Some(answer_text::text("late", 8))
    );
    assert!(deployment.agent(0).wait().await?.success());
    Ok(())
}

#[tokio::test]
async fn chats_complete_without_configuration_service_and_one_agent() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    deployment.set_configuration_mode("down").await?;
    deployment.agent(0).kill().await?;
    chat_sequentially(&deployment, 8).await?;
    Ok(())
}
