//! Calls that must not run twice and are resent by their callers with the same idempotency key.

use comfreyhaven_harness::{
    Caller, Deployment, EndpointPlan, HarnessError, Plan, Reply, RoutePlan, TeamPlan,
};
use comfreyhaven_standin::relay::Flow;
use hyper::Method;

use crate::support::{execution, until, until_agent, until_entry};

const BOOKING: &str = "/orders/book/17";

/// Creates two data centres, each with an entry and an order service. The resend window is zero, so
/// that no key is refused because a process has just started.
fn order_services() -> Plan {
    let route = RoutePlan::new_service("orders", "/orders/", "orders", "high");
    Plan::new()
        .with_relays()
        .with_centre("tb1")
        .with_centre("tb2")
        .with_entry("e1", "tb1")
        .with_entry("e2", "tb2")
        .with_endpoint(EndpointPlan::new_service("orders-1", "tb1", "orders"))
        .with_endpoint(EndpointPlan::new_service("orders-2", "tb2", "orders"))
        .with_route(route.with_value("resend window", "0ms"))
        .with_team(TeamPlan::new(
            "kakheti",
            10_000_000,
            10_000_000,
            &["orders"],
        ))
}

fn caller(deployment: &Deployment, entry: usize, key: &str) -> Result<Caller, HarnessError> {
    let caller = deployment.caller(entry, "key-kakheti")?;
    Ok(caller.with_header("idempotency-key", key))
}

async fn book(deployment: &Deployment, entry: usize, key: &str) -> Result<Reply, HarnessError> {
    let caller = caller(deployment, entry, key)?;
    Ok(caller.send(Method::POST, BOOKING, String::new()).await?)
}

/// Returns how often each order service ran the booking.
async fn runs(deployment: &Deployment) -> Result<[u64; 2], HarnessError> {
    let mut runs = [0; 2];
    for (index, count) in runs.iter_mut().enumerate() {
        let counts = deployment.get_from_endpoint(index, "/counts").await?.json();
        *count = counts[format!("POST {BOOKING}")].as_u64().unwrap_or(0);
    }
    Ok(runs)
}

/// Books once and returns the index of the order service whose agent owns the key.
async fn first_booking(deployment: &Deployment) -> Result<usize, HarnessError> {
    let reply = book(deployment, 0, "key-17").await?;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let runs = runs(deployment).await?;
    assert_eq!(runs[0] + runs[1], 1);
    Ok(usize::from(runs[1] == 1))
}

/// Publishes a resend window that is longer than any test.
async fn publish_window(deployment: &mut Deployment) -> Result<(), HarnessError> {
    deployment
        .plan_mut()
        .set_route_value("orders", "resend window", "60m");
    deployment.publish().await?;
    let is_current = |state: &serde_json::Value| {
        let generations = &state["generations"];
        generations["fleet"] == 2 && generations["routes"] == 2
    };
    for index in 0..2 {
        until_entry(deployment, index, is_current).await?;
        until_agent(deployment, index, is_current).await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_resend_through_another_entry_does_not_run_again() -> Result<(), HarnessError> {
    let deployment = Deployment::start(order_services()).await?;
    first_booking(&deployment).await?;
    let resend = book(&deployment, 1, "key-17").await?;
    assert_eq!(
        (resend.status, execution(&resend).as_str()),
        (409, "complete")
    );
    let other = book(&deployment, 1, "key-18").await?;
    assert_eq!(other.status, 200, "{}", other.body);
    let runs = runs(&deployment).await?;
    assert_eq!(runs[0] + runs[1], 2);
    Ok(())
}

#[tokio::test]
async fn only_one_of_many_concurrent_sends_runs() -> Result<(), HarnessError> {
    let deployment = Deployment::start(order_services()).await?;
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..20 {
        let caller = caller(&deployment, index % 2, "key-17")?;
        calls.spawn(async move { caller.send(Method::POST, BOOKING, String::new()).await });
    }
    let mut completed = 0;
    for reply in calls.join_all().await {
        let reply = reply?;
        match reply.status {
            200 => completed += 1,
            409 => assert_ne!(execution(&reply), "not_run"),
            status => panic!("{status}: {}", reply.body),
        }
    }
    let runs = runs(&deployment).await?;
    assert_eq!((completed, runs[0] + runs[1]), (1, 1));
    Ok(())
}

#[tokio::test]
async fn a_resend_after_the_agent_restarted_is_refused_as_unknown() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(order_services()).await?;
    let owner = first_booking(&deployment).await?;
    publish_window(&mut deployment).await?;
    deployment.agent(owner).kill().await?;
    deployment.restart_agent(owner).await?;
    until(async || Ok(deployment.agent_state(owner).await?["configured"] == true)).await?;
    for entry in [1, 0] {
        let resend = book(&deployment, entry, "key-17").await?;
        assert_ne!(resend.status, 200, "{}", resend.body);
    }
    until(async || {
        let resend = book(&deployment, 1, "key-17").await?;
        Ok((resend.status, execution(&resend).as_str()) == (409, "unknown"))
    })
    .await?;
    let runs = runs(&deployment).await?;
    assert_eq!(runs[0] + runs[1], 1);
    Ok(())
}

#[tokio::test]
async fn a_resend_whose_owner_changed_is_refused_as_unknown() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(order_services()).await?;
    let owner = first_booking(&deployment).await?;
    let centre = ["tb1", "tb2"][owner];
    deployment.plan_mut().set_in_service(centre, false);
    publish_window(&mut deployment).await?;
    let resend = book(&deployment, 1, "key-17").await?;
    assert_eq!(
        (resend.status, execution(&resend).as_str()),
        (409, "unknown")
    );
    let runs = runs(&deployment).await?;
    assert_eq!(runs[0] + runs[1], 1);
    Ok(())
}

#[tokio::test]
async fn a_resend_that_cannot_reach_the_owner_does_not_run() -> Result<(), HarnessError> {
    let deployment = Deployment::start(order_services()).await?;
    let owner = first_booking(&deployment).await?;
    let relays = deployment.agent_relays(owner);
    relays.control.set_flow(Flow::Cut);
    relays.traffic.set_flow(Flow::Cut);
    let resend = book(&deployment, 1, "key-17").await?;
    assert_eq!(
        (resend.status, execution(&resend).as_str()),
        (503, "not_run")
    );
    relays.control.set_flow(Flow::Pass);
    relays.traffic.set_flow(Flow::Pass);
    until(async || {
        let resend = book(&deployment, 1, "key-17").await?;
        assert_ne!(resend.status, 200);
        Ok((resend.status, execution(&resend).as_str()) == (409, "complete"))
    })
    .await?;
    let runs = runs(&deployment).await?;
    assert_eq!(runs[0] + runs[1], 1);
    Ok(())
}
