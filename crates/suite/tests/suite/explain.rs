//! The decision history of a request on the admin port of an entry.

use comfreyhaven_harness::{Caller, Deployment, HarnessError};

use crate::plans;

#[tokio::test]
async fn the_owner_entry_of_a_request_shows_its_decisions() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let reply = caller.chat("hive", "a secret question", 8, true).await?;
    let request = reply.request_id.unwrap_or_default();
    let path = format!("/requests/{request}");
    let owner = Caller::new(deployment.entry(0).port("admin")?);
    let mut text = String::new();
    while !text.contains(r#""what":"close""#) {
        text = owner.get(&path).await?.body;
    }
    for part in ["arrived on route plan", "reserve at", "send to"] {
        assert!(text.contains(part), "{text}");
    }
    for secret in ["key-kakheti", "secret question"] {
        assert!(!text.contains(secret), "{text}");
    }
    let other = Caller::new(deployment.entry(1).port("admin")?);
    assert_eq!(other.get(&path).await?.status, 404);
    Ok(())
}
