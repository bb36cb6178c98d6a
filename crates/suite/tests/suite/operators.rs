//! The functions of the operators' command line against running processes.

use std::net::SocketAddr;

use comfreyhaven_cli::ops::status::{Condition, Line};
use comfreyhaven_cli::ops::{ask, status};
use comfreyhaven_harness::{Deployment, HarnessError};

use crate::plans;

/// Returns the admin ports of the entry and of the engine's agent.
fn ports(deployment: &mut Deployment) -> Result<Vec<SocketAddr>, HarnessError> {
    let entry = deployment.entry(0).port("admin")?;
    Ok(vec![entry, deployment.agent(0).port("admin")?])
}

/// Runs blocking work outside the async runtime, because the command line functions block.
async fn blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let result = tokio::task::spawn_blocking(work).await;
    result.expect("the work panicked")
}

#[tokio::test]
async fn explain_shows_the_decisions_of_a_request() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let ports = ports(&mut deployment)?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let reply = caller.chat("hive", "hello", 4, true).await?;
    let request = reply.request_id.expect("the answer has no identifier");
    let request = request.parse().expect("the identifier is invalid");
    let explanations = blocking(move || ask::explain(request, &ports)).await;
    let explanations = explanations.expect("the entry does not know its request");
    assert!(
        explanations
            .iter()
            .all(|explanation| !explanation.steps.is_empty())
    );
    let steps = explanations
        .iter()
        .flat_map(|explanation| &explanation.steps);
    assert!(steps.into_iter().any(|step| step.what.contains("engine-1")));
    Ok(())
}

#[tokio::test]
async fn status_shows_roles_and_generations() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let ports = ports(&mut deployment)?;
    let lines = blocking(move || status::status(&ports)).await;
    let lines = lines.expect("a process did not answer");
    let [entry, agent]: [Line; 2] = lines
        .try_into()
        .expect("the status does not have two lines");
    assert_eq!((entry.role, entry.condition), ("entry", Condition::Ready));
    assert_eq!(agent.role, "agent");
    assert!(agent.limit.is_some());
    assert_eq!(entry.generations, agent.generations);
    Ok(())
}
