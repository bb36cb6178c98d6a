//! A request that crashes every engine on which it runs.

use comfreyhaven_harness::{Deployment, HarnessError};
use comfreyhaven_standin::engine::CRASH_MARKER;

use crate::plans;

#[tokio::test]
async fn a_request_that_crashes_engines_is_refused_by_every_entry() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::small()).await?;
    let mut crashes = 0;
    while crashes < 2 {
        let caller = deployment.caller(0, "key-kakheti")?;
        let _ = caller.chat("hive", CRASH_MARKER, 8, true).await;
        crashes = 0;
        for engine in 0..2 {
            let totals = deployment
                .get_from_endpoint(engine, "/totals")
                .await?
                .json();
            crashes += totals["crashes"].as_u64().unwrap_or_default();
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    for entry in [0, 1] {
        let caller = deployment.caller(entry, "key-kakheti")?;
        let mut reply = caller.chat("hive", CRASH_MARKER, 8, true).await?;
        while reply.status == 503 {
            reply = caller.chat("hive", CRASH_MARKER, 8, true).await?;
        }
        assert_eq!(reply.status, 422, "{}", reply.body);
        assert_eq!(reply.json()["error"]["execution"], "not_run");
    }
    let other = deployment.caller(1, "key-kakheti")?;
    let mut reply = other.chat("hive", "an innocent question", 8, true).await?;
    while reply.status == 503 {
        reply = other.chat("hive", "an innocent question", 8, true).await?;
    }
    assert_eq!(reply.status, 200, "{}", reply.body);
    Ok(())
}
