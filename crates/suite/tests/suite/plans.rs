//! Plans of deployments that several modules use.

use comfreyhaven_harness::{EndpointPlan, Plan, RoutePlan, TeamPlan};

/// Creates two data centres, each with an entry and an engine, and one service.
pub fn small() -> Plan {
    with_routes(Plan::new())
        .with_centre("tb1")
        .with_centre("tb2")
        .with_entry("e1", "tb1")
        .with_entry("e2", "tb2")
        .with_endpoint(EndpointPlan::new_engine("engine-1", "tb1", "hive"))
        .with_endpoint(EndpointPlan::new_engine("engine-2", "tb2", "hive"))
        .with_endpoint(EndpointPlan::new_service("orders-1", "tb1", "orders"))
}

/// Creates one data centre with one entry, one slow engine and one service. With one endpoint of
/// each kind, a test knows where a request runs.
pub fn single() -> Plan {
    with_routes(Plan::new())
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_endpoint(slow_engine("engine-1"))
        .with_endpoint(EndpointPlan::new_service("orders-1", "tb1", "orders"))
}

/// Creates one data centre with one entry, two slow engines and one service.
pub fn pair() -> Plan {
    with_routes(Plan::new())
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_endpoint(slow_engine("engine-1"))
        .with_endpoint(slow_engine("engine-2"))
        .with_endpoint(EndpointPlan::new_service("orders-1", "tb1", "orders"))
}

/// Creates an engine with slow steps that handles its declared warm limit from the start.
fn slow_engine(name: &str) -> EndpointPlan {
    let engine = EndpointPlan::new_engine(name, "tb1", "hive");
    engine
        .with_argument("step-us", 4_000)
        .with_argument("cold", 32)
}

fn with_routes(plan: Plan) -> Plan {
    let public = RoutePlan::new_service("public", "/public/", "orders", "low");
    plan.with_route(RoutePlan::new_model("plan", "hive", "mid"))
        .with_route(RoutePlan::new_service(
            "orders", "/orders/", "orders", "high",
        ))
        .with_route(public.with_value("access", "open"))
        .with_team(TeamPlan::new(
            "kakheti",
            10_000_000,
            10_000_000,
            &["plan", "orders"],
        ))
}

/// Creates one data centre with an entry and an engine.
pub fn one_engine(engine: EndpointPlan) -> Plan {
    Plan::new()
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_endpoint(engine)
        .with_route(RoutePlan::new_model("plan", "hive", "mid"))
        .with_team(TeamPlan::new("kakheti", 10_000_000, 10_000_000, &["plan"]))
}
