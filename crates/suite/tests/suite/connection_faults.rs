//! Connections between entry, agent and endpoint that break, stall or are slow.

use std::time::Duration;

use comfreyhaven_harness::{Deployment, HarnessError, Plan};
use comfreyhaven_standin::answer_text;
use comfreyhaven_standin::relay::Flow;

use crate::plans;
use crate::support::{
    Chats, call_count, chat, chat_sequentially, execution, outcome, partial_body, until,
};

fn with_relays(plan: Plan) -> Plan {
    plan.with_relays()
}

#[tokio::test]
async fn a_body_that_never_reached_its_agent_is_sent_again() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::single())).await?;
    let traffic = &deployment.agent_relays(0).traffic;
    traffic.set_flow(Flow::HoldForward);
    let call = chat(&deployment, 0, "lost on the way", 16)?;
    until(|| async { Ok(traffic.received_bytes() > 0) }).await?;
    traffic.set_flow(Flow::Cut);
    until(|| async { Ok(deployment.decision_count(0, "inquire").await? > 0) }).await?;
    traffic.set_flow(Flow::Pass);
    let reply = outcome(call).await?;
    assert_eq!(
        reply.generated(),
        Some(answer_text::text("lost on the way", 16)),
        "{}",
        reply.body
    );
    assert_eq!(call_count(&deployment, 0).await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_request_whose_answer_was_lost_does_not_run_again() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::single())).await?;
    let traffic = &deployment.agent_relays(0).traffic;
    traffic.set_flow(Flow::HoldBack);
    let call = chat(&deployment, 0, "runs and is lost", 16)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    traffic.set_flow(Flow::Cut);
    let reply = outcome(call).await?;
    assert_eq!(reply.status, 502);
    assert_ne!(execution(&reply), "not_run", "{}", reply.body);
    assert_eq!(call_count(&deployment, 0).await?, 1);
    Ok(())
}

#[tokio::test]
async fn an_agent_that_cannot_be_queried_leaves_the_outcome_unknown() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::single())).await?;
    let relays = deployment.agent_relays(0);
    relays.traffic.set_flow(Flow::HoldBack);
    let call = chat(&deployment, 0, "runs and is lost", 16)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    relays.control.set_flow(Flow::Cut);
    relays.traffic.set_flow(Flow::Cut);
    let reply = outcome(call).await?;
    assert_eq!(execution(&reply), "unknown", "{}", reply.body);
    assert_eq!(call_count(&deployment, 0).await?, 1);
    Ok(())
}

#[tokio::test]
async fn a_cut_between_agent_and_endpoint_gives_no_complete_answer() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::single())).await?;
    let call = chat(&deployment, 0, "cut behind the agent", 20_000)?;
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] == 1) }).await?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    deployment.endpoint_relay(0).set_flow(Flow::Cut);
    let text = partial_body(outcome(call).await)?;
    assert!(text.contains(r#""execution":"in_part""#), "{text}");
    Ok(())
}

#[tokio::test]
async fn a_cut_between_entry_and_agent_gives_no_complete_answer() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::single())).await?;
    let call = chat(&deployment, 0, "cut before the agent", 20_000)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    deployment.agent_relays(0).traffic.set_flow(Flow::Cut);
    let text = partial_body(outcome(call).await)?;
    assert!(text.contains(r#""execution":"in_part""#), "{text}");
    Ok(())
}

#[tokio::test]
async fn a_booking_whose_connection_breaks_runs_once() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::single())).await?;
    let traffic = &deployment.agent_relays(1).traffic;
    traffic.set_flow(Flow::HoldBack);
    let caller = deployment.caller(0, "key-kakheti")?;
    let call = tokio::spawn(async move { caller.get("/orders/book/7").await });
    let is_booked = || async {
        let counts = deployment.get_from_endpoint(1, "/counts").await?.json();
        Ok(counts["GET /orders/book/7"] == 1)
    };
    until(is_booked).await?;
    traffic.set_flow(Flow::Cut);
    let reply = outcome(call).await?;
    assert_ne!(execution(&reply), "not_run", "{}", reply.body);
    assert!(is_booked().await?);
    Ok(())
}

#[tokio::test]
async fn a_partitioned_agent_gets_no_requests() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::pair())).await?;
    deployment.agent_relays(0).control.set_flow(Flow::Cut);
    deployment.agent_relays(0).traffic.set_flow(Flow::Cut);
    chat_sequentially(&deployment, 6).await?;
    assert_eq!(call_count(&deployment, 0).await?, 0);
    Ok(())
}

#[tokio::test]
async fn a_late_offer_never_runs_a_request_twice() -> Result<(), HarnessError> {
    let deployment = Deployment::start(with_relays(plans::pair())).await?;
    deployment
        .agent_relays(0)
        .control
        .set_flow(Flow::Delay(Duration::from_millis(300)));
    deployment
        .agent_relays(1)
        .control
        .set_flow(Flow::Delay(Duration::from_millis(300)));
    let chats = Chats::start(&deployment, 1, "plan", 6, 16)?;
    chats.assert_complete().await?;
    assert_eq!(
        call_count(&deployment, 0).await? + call_count(&deployment, 1).await?,
        6
    );
    Ok(())
}
