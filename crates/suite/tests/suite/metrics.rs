//! The names of metrics, and the page that documents them.

use comfreyhaven_harness::{Caller, Deployment, HarnessError};

use crate::plans;

/// The operators' page, which lists all metrics.
const PAGE: &str = include_str!("../../../../docs/OPERATING.md");

/// Returns the names of the metrics that a process exports.
async fn metric_names(address: std::net::SocketAddr) -> Result<Vec<String>, HarnessError> {
    let text = Caller::new(address).get("/metrics").await?.body;
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names = lines.filter_map(|line| line.split(' ').next());
    Ok(names.map(str::to_owned).collect())
}

#[tokio::test]
async fn every_metric_is_on_the_operators_page() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    assert_eq!(caller.chat("hive", "hello", 4, true).await?.status, 200);
    let unknown = deployment.caller(0, "key-nobody")?;
    assert_eq!(unknown.chat("hive", "hello", 4, true).await?.status, 401);
    let addresses = [
        deployment.entry(0).port("admin")?,
        deployment.agent(0).port("admin")?,
    ];
    for address in addresses {
        let names = metric_names(address).await?;
        assert!(!names.is_empty());
        for name in names {
            assert!(name.starts_with("comfreyhaven_"), "{name}");
            assert!(
                PAGE.contains(&format!("| `{name}` |")),
                "{name} is not on the page"
            );
        }
    }
    Ok(())
}
