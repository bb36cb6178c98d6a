//! Deployments that several subjects use.

use comfreyhaven_harness::{EndpointPlan, Plan, RoutePlan, TeamPlan};

/// Two data centres, each with an entry, an engine and a service; one team without narrow limits.
pub fn small() -> Plan {
    Plan::new()
        .with_centre("tb1")
        .with_centre("tb2")
        .with_entry("e1", "tb1")
        .with_entry("e2", "tb2")
        .with_endpoint(EndpointPlan::new_engine("engine-1", "tb1", "hive"))
        .with_endpoint(EndpointPlan::new_engine("engine-2", "tb2", "hive"))
        .with_endpoint(EndpointPlan::new_service("orders-1", "tb1", "orders"))
        .with_route(RoutePlan::new_model("plan", "hive", "mid"))
        .with_route(RoutePlan::new_service(
            "orders", "/orders/", "orders", "high",
        ))
        .with_route(
            RoutePlan::new_service("public", "/public/", "orders", "low")
                .with_value("access", "open"),
        )
        .with_team(TeamPlan::new(
            "kakheti",
            10_000_000,
            10_000_000,
            &["plan", "orders"],
        ))
}

/// One data centre with an entry and an engine.
pub fn one_engine(engine: EndpointPlan) -> Plan {
    Plan::new()
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_endpoint(engine)
        .with_route(RoutePlan::new_model("plan", "hive", "mid"))
        .with_team(TeamPlan::new("kakheti", 10_000_000, 10_000_000, &["plan"]))
}
