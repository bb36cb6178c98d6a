//! What processes tell operators of one request.

use comfreyhaven_harness::{Caller, Deployment, HarnessError};

use crate::plans;

#[tokio::test]
async fn the_owner_of_a_request_tells_what_it_decided() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let reply = caller.chat("hive", "a secret question", 8, true).await?;
    let request = reply.request.unwrap_or_default();
    let path = format!("/requests/{request}");
    let steps = Caller::new(deployment.entry(0).port("admin")?)
        .get(&path)
        .await?;
    let text = steps.text.clone();
    assert_eq!(steps.status, 200, "{text}");
    let whats: Vec<_> = steps.json().as_array().cloned().unwrap_or_default();
    let whats: Vec<_> = whats
        .iter()
        .filter_map(|step| step["what"].as_str())
        .map(str::to_owned)
        .collect();
    for part in ["arrived on route plan", "reserve at", "send to", "close"] {
        assert!(whats.iter().any(|what| what.starts_with(part)), "{text}");
    }
    for secret in ["key-kakheti", "secret question"] {
        assert!(!text.contains(secret), "{text}");
    }
    let other = Caller::new(deployment.entry(1).port("admin")?);
    assert_eq!(other.get(&path).await?.status, 404);
    Ok(())
}
