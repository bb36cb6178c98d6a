//! Processes that are suspended with SIGSTOP and resumed later.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::answer_text;
use comfreyhaven_standin::relay::Flow;

use crate::plans;
use crate::support::{
    Chats, call_count, chat, chat_sequentially, execution, outcome, partial_body, until,
    until_running,
};

#[tokio::test]
async fn chats_complete_while_an_agent_is_suspended() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    deployment.agent(0).signal("STOP").await?;
    chat_sequentially(&deployment, 6).await?;
    deployment.agent(0).signal("CONT").await?;
    assert_eq!(
        call_count(&deployment, 0).await? + call_count(&deployment, 1).await?,
        6
    );
    Ok(())
}

#[tokio::test]
async fn a_body_that_reaches_a_suspended_agent_after_its_offer_does_not_run_there()
-> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair().with_relays()).await?;
    deployment
        .agent_relays(0)
        .traffic
        .set_flow(Flow::HoldForward);
    deployment
        .agent_relays(1)
        .traffic
        .set_flow(Flow::HoldForward);
    let call = chat(&deployment, 0, "a suspended agent", 16)?;
    let has_body = |index: usize| deployment.agent_relays(index).traffic.received_bytes() > 0;
    until(|| async { Ok(has_body(0) || has_body(1)) }).await?;
    let suspended = usize::from(has_body(1));
    deployment.agent(suspended).signal("STOP").await?;
    deployment.agent_relays(0).traffic.set_flow(Flow::Pass);
    deployment.agent_relays(1).traffic.set_flow(Flow::Pass);
    tokio::time::sleep(comfreyhaven_core::agent::OFFER_LIFETIME * 2).await;
    deployment.agent(suspended).signal("CONT").await?;
    let reply = outcome(call).await?;
    assert_eq!(
        reply.generated(),
        Some(answer_text::text("a suspended agent", 16)),
        "{}",
        reply.body
    );
    assert_eq!(
        call_count(&deployment, 0).await? + call_count(&deployment, 1).await?,
        1
    );
    Ok(())
}

#[tokio::test]
async fn a_resumed_entry_answers_each_caller_once() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    let chats = Chats::start(&deployment, 1, "plan", 6, 100)?;
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] != 0) }).await?;
    deployment.entry(0).signal("STOP").await?;
    tokio::time::sleep(comfreyhaven_core::agent::OFFER_LIFETIME * 2).await;
    deployment.entry(0).signal("CONT").await?;
    chats.assert_complete().await?;
    assert_eq!(
        call_count(&deployment, 0).await? + call_count(&deployment, 1).await?,
        6
    );
    Ok(())
}

#[tokio::test]
async fn a_caller_whose_agent_stays_suspended_gets_an_answer() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "started, then stalled", 20_000)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    deployment.agent(0).signal("STOP").await?;
    let text = partial_body(outcome(call).await)?;
    assert!(!text.contains("not_run"), "{text}");
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] == 0) }).await?;
    deployment.agent(0).signal("CONT").await?;
    until_running(&deployment, 0, 0).await?;
    Ok(())
}

#[tokio::test]
async fn a_request_without_an_answer_by_its_deadline_times_out() -> Result<(), HarnessError> {
    let mut plan = plans::single();
    plan.add_route_value("orders", "deadline", "300ms");
    let mut deployment = Deployment::start(plan).await?;
    deployment.endpoint(1).signal("STOP").await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let reply = caller.get("/orders/book/9").await?;
    assert_eq!(reply.status, 504, "{}", reply.body);
    deployment.endpoint(1).signal("CONT").await?;
    let counts = deployment.get_from_endpoint(1, "/counts").await?.json();
    let ran = counts["GET /orders/book/9"].as_u64().unwrap_or(0);
    assert!(ran <= 1);
    assert!(execution(&reply) != "not_run" || ran == 0, "{}", reply.body);
    Ok(())
}
