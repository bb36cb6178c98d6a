//! More load than the capacity of the endpoints.

use comfreyhaven_harness::{Deployment, EndpointPlan, HarnessError, Plan, RoutePlan, TeamPlan};
use comfreyhaven_standin::answer_text;

use crate::support::execution;

const CALLERS: u32 = 120;

/// Creates two entries and two cold engines that crash under more than four requests.
fn plan() -> Plan {
    let engine = |name| {
        let engine = EndpointPlan::new_engine(name, "tb1", "hive").with_capacity(4, 16);
        engine
            .with_argument("cold", 4)
            .with_argument("bearing", 16)
            .with_argument("step-us", 1_000)
    };
    let route = |name, model, tier| RoutePlan::new_model(name, model, tier);
    Plan::new()
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_entry("e2", "tb1")
        .with_endpoint(engine("engine-1"))
        .with_endpoint(engine("engine-2"))
        .with_route(route("plan", "hive", "low"))
        .with_team(TeamPlan::new("kakheti", 10_000_000, 10_000_000, &["plan"]))
}

#[tokio::test]
async fn a_burst_crashes_no_cold_engine() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plan()).await?;
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..CALLERS {
        let caller = deployment.caller(index as usize % 2, "key-kakheti")?;
        calls.spawn(async move {
            let prompt = format!("plan {index}");
            let reply = caller.chat("hive", &prompt, 16, true).await;
            (prompt, reply)
        });
    }
    while let Some(call) = calls.join_next().await {
        let (prompt, reply) = call.expect("a call panicked");
        let reply = reply?;
        match reply.status {
            200 => assert_eq!(reply.generated(), Some(answer_text::text(&prompt, 16))),
            _ => assert_eq!(execution(&reply), "not_run", "{}", reply.body),
        }
    }
    for index in 0..2 {
        let totals = deployment.get_from_endpoint(index, "/totals").await?.json();
        assert_eq!(totals["crashes"], 0, "engine {index}: {totals}");
    }
    Ok(())
}
