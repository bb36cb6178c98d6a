//! The operators' command line against running processes.

use std::net::SocketAddr;

use comfreyhaven_cli::ops::status::{Condition, Line};
use comfreyhaven_cli::ops::{ask, status};
use comfreyhaven_harness::{Deployment, HarnessError};

use crate::plans;

/// Operators' ports of the entry and of its engine's agent.
fn ports(deployment: &mut Deployment) -> Result<Vec<SocketAddr>, HarnessError> {
    let entry = deployment.entry(0).port("admin")?;
    Ok(vec![entry, deployment.agent(0).port("admin")?])
}

/// Runs work that blocks, as the command line does.
async fn blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let done = tokio::task::spawn_blocking(work).await;
    done.expect("the work does not panic")
}

#[tokio::test]
async fn a_request_is_explained_by_the_processes_that_decided_on_it() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let ports = ports(&mut deployment)?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let reply = caller.chat("hive", "hello", 4, true).await?;
    let request = reply.request_id.expect("an answer has an identifier");
    let request = request.parse().expect("the identifier is one");
    let found = blocking(move || ask::explain(request, &ports)).await;
    let found = found.expect("the entry knows its request");
    assert!(
        found
            .iter()
            .all(|explanation| !explanation.steps.is_empty())
    );
    let steps = found.iter().flat_map(|explanation| &explanation.steps);
    assert!(steps.into_iter().any(|step| step.what.contains("engine-1")));
    Ok(())
}

#[tokio::test]
async fn the_status_shows_roles_and_generations() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let ports = ports(&mut deployment)?;
    let lines = blocking(move || status::status(&ports)).await;
    let lines = lines.expect("the processes are asked");
    let [entry, agent]: [Line; 2] = lines.try_into().expect("two lines");
    assert_eq!((entry.role, entry.condition), ("entry", Condition::Ready));
    assert_eq!(agent.role, "agent");
    assert!(agent.limit.is_some());
    assert_eq!(entry.generations, agent.generations);
    Ok(())
}
