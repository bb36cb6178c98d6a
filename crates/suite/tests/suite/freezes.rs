//! Processes that pause and wake up late.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::answer_text;
use comfreyhaven_standin::relay::Flow;

use crate::plans;
use crate::support::{
    Chats, chat, chat_in_turn, cut_off, execution, outcome, seen, until, until_running,
};

#[tokio::test]
async fn a_frozen_agent_is_passed_over() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    deployment.agent(0).signal("STOP").await?;
    chat_in_turn(&deployment, 6).await?;
    deployment.agent(0).signal("CONT").await?;
    assert_eq!(seen(&deployment, 0).await? + seen(&deployment, 1).await?, 6);
    Ok(())
}

#[tokio::test]
async fn a_body_that_waits_for_a_frozen_agent_past_its_offer_does_not_run_there()
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
    let call = chat(&deployment, 0, "sent to a sleeper", 16)?;
    let arrived = |index: usize| deployment.agent_relays(index).traffic.received_bytes() > 0;
    until(|| async { Ok(arrived(0) || arrived(1)) }).await?;
    let sleeper = usize::from(arrived(1));
    deployment.agent(sleeper).signal("STOP").await?;
    deployment.agent_relays(0).traffic.set_flow(Flow::Pass);
    deployment.agent_relays(1).traffic.set_flow(Flow::Pass);
    tokio::time::sleep(comfreyhaven_core::agent::OFFER_LIFETIME * 2).await;
    deployment.agent(sleeper).signal("CONT").await?;
    let reply = outcome(call).await?;
    assert_eq!(
        reply.generated(),
        Some(answer_text::text("sent to a sleeper", 16)),
        "{}",
        reply.body
    );
    assert_eq!(seen(&deployment, 0).await? + seen(&deployment, 1).await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_frozen_entry_that_wakes_answers_each_caller_once() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::pair()).await?;
    let chats = Chats::start(&deployment, 1, "plan", 6, 100)?;
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] != 0) }).await?;
    deployment.entry(0).signal("STOP").await?;
    tokio::time::sleep(comfreyhaven_core::agent::OFFER_LIFETIME * 2).await;
    deployment.entry(0).signal("CONT").await?;
    chats.assert_whole().await?;
    assert_eq!(seen(&deployment, 0).await? + seen(&deployment, 1).await?, 6);
    Ok(())
}

#[tokio::test]
async fn a_caller_whose_agent_freezes_for_good_gets_an_answer() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "begun and then silent", 20_000)?;
    until(|| async { Ok(seen(&deployment, 0).await? == 1) }).await?;
    deployment.agent(0).signal("STOP").await?;
    let text = cut_off(outcome(call).await)?;
    assert!(!text.contains("not_run"), "{text}");
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] == 0) }).await?;
    deployment.agent(0).signal("CONT").await?;
    until_running(&deployment, 0, 0).await?;
    Ok(())
}

#[tokio::test]
async fn an_answer_that_has_not_begun_by_its_deadline_is_given_up() -> Result<(), HarnessError> {
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
