//! Callers that go away.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::answer_text;

use crate::plans;
use crate::support::{chat, outcome, seen, until, until_running};

#[tokio::test]
async fn a_run_whose_caller_has_gone_is_cancelled() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single()).await?;
    let call = chat(&deployment, 0, "a plan that nobody waits for", 20_000)?;
    until(|| async { Ok(seen(&deployment, 0).await? == 1) }).await?;
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
async fn a_reservation_whose_caller_has_gone_is_withdrawn() -> Result<(), HarnessError> {
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
    assert_eq!(seen(&deployment, 0).await?, 1);
    Ok(())
}
