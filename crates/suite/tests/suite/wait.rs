//! Waiting for a state that must come, however long the machine takes.

use std::time::{Duration, Instant};

use comfreyhaven_harness::{Deployment, HarnessError};
use serde_json::Value;

/// After this a test gives up, so that it does not hang.
const GIVE_UP: Duration = Duration::from_secs(60);

const INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `check` holds.
pub async fn until(
    what: &str,
    mut check: impl AsyncFnMut() -> Result<bool, HarnessError>,
) -> Result<(), HarnessError> {
    let start = Instant::now();
    while !check().await? {
        if start.elapsed() > GIVE_UP {
            return Err(HarnessError::NotReady(what.to_owned()));
        }
        tokio::time::sleep(INTERVAL).await;
    }
    Ok(())
}

/// Waits until the dump of the entry at `index` satisfies `check`.
pub async fn entry(
    deployment: &Deployment,
    index: usize,
    check: impl Fn(&Value) -> bool,
) -> Result<(), HarnessError> {
    until("an entry's state", async || {
        Ok(check(&deployment.entry_state(index).await?))
    })
    .await
}

/// Waits until the dump of the agent at `index` satisfies `check`.
pub async fn agent(
    deployment: &Deployment,
    index: usize,
    check: impl Fn(&Value) -> bool,
) -> Result<(), HarnessError> {
    until("an agent's state", async || {
        Ok(check(&deployment.agent_state(index).await?))
    })
    .await
}
