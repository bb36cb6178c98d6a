//! Callers that disconnect before their answer is complete.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::answer_text;

use crate::plans;
use crate::support::{call_count, chat, outcome, until, until_running};

#[tokio::test]
async fn a_run_is_cancelled_when_its_caller_disconnects() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "a plan cancelled by a caller", 20_000)?;
    until(|| async { Ok(call_count(&deployment, 0).await? == 1) }).await?;
    call.abort();
    until(|| async {
        Ok(deployment.get_from_endpoint(0, "/totals").await?.json()["cancelled"] == 1)
    })
    .await?;
    until_running(&deployment, 0, 0).await?;
    until(|| async { Ok(deployment.entry_state(0).await?["dispatched"] == 0) }).await?;
    let next = outcome(chat(&deployment, 0, "a plan that is wanted", 8)?).await?;
    assert_eq!(
        next.generated(),
        Some(answer_text::text("a plan that is wanted", 8))
    );
    Ok(())
}

#[tokio::test]
async fn a_reservation_is_withdrawn_when_its_caller_disconnects() -> Result<(), HarnessError> {
    let mut plan = plans::single();
    plan.set_capacity("engine-1", 1, 1);
    let deployment = Deployment::start(plan).await?;
    let running = chat(&deployment, 0, "holds the only slot", 400)?;
    until_running(&deployment, 0, 1).await?;
    let waiting = chat(&deployment, 0, "waits and goes away", 400)?;
    until(|| async { Ok(deployment.entry_state(0).await?["waiting"] == 1) }).await?;
    waiting.abort();
    until(|| async { Ok(deployment.entry_state(0).await?["waiting"] == 0) }).await?;
    let reply = outcome(running).await?;
    assert_eq!(
        reply.generated(),
        Some(answer_text::text("holds the only slot", 400))
    );
    assert_eq!(call_count(&deployment, 0).await?, 1);
    Ok(())
}
