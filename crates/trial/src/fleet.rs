//! The two sample fleets, with stand-ins as endpoints.

use std::time::Duration;

use comfreyhaven_harness::{EndpointPlan, Plan, RoutePlan, TeamPlan};
use comfreyhaven_standin::engine::Spec;
use strum::{Display, EnumIter, EnumString};

use crate::trace::{self, Record, TraceError};

/// Number of data centres of a fleet, each with one entry.
pub const CENTRES: usize = 3;

/// Number of engines of a fleet.
pub const ENGINES: usize = 12;

/// Number of plain services of a fleet.
pub const SERVICES: usize = 3;

/// Decode step times of the engines, in microseconds, assigned in rotation so that the engines
/// differ in speed.
const DECODE_STEPS_US: [u64; 4] = [6_000, 8_000, 10_000, 12_000];

/// Number of concurrent requests that a plain service can handle.
const SERVICE_CAPACITY: u32 = 16;

/// Time in milliseconds in which a plain service answers a call.
const SERVICE_DELAY_MS: u64 = 5;

/// A sample fleet with its routes, teams and recorded trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum SampleFleet {
    /// Hivecraft Assistant of the Sakartvelo Hive Makers Cooperative.
    Hivecraft,
    /// The router fleet of Cooperativa Bancada Viva.
    Bancada,
}

/// Declaration of a route.
#[derive(Debug, Clone, Copy)]
pub struct RouteSpec {
    /// Name in the configuration and in the trace.
    pub name: &'static str,
    /// Model that serves the route, or `None` if a plain service does.
    pub model: Option<&'static str>,
    /// Prefix of the paths that the route matches.
    pub path: &'static str,
    /// Name of the tier.
    pub tier: &'static str,
    /// Time from sending after which the caller has no use for the answer.
    pub deadline: Duration,
    /// Whether a call may be retried after it may have run.
    pub idempotent: bool,
}

impl RouteSpec {
    const fn model(
        name: &'static str,
        model: &'static str,
        tier: &'static str,
        seconds: u64,
    ) -> Self {
        Self {
            name,
            model: Some(model),
            path: "/v1/chat/completions",
            tier,
            deadline: Duration::from_secs(seconds),
            idempotent: false,
        }
    }

    const fn service(
        name: &'static str,
        path: &'static str,
        tier: &'static str,
        idempotent: bool,
    ) -> Self {
        Self {
            name,
            model: None,
            path,
            tier,
            deadline: Duration::from_secs(3),
            idempotent,
        }
    }
}

const HIVECRAFT_ROUTES: &[RouteSpec] = &[
    RouteSpec::model("question", "hive-question", "high", 2),
    RouteSpec::model("tag", "hive-tag", "mid", 3),
    RouteSpec::model("plan", "hive-plan", "low", 8),
    RouteSpec::service("booking", "/orders/workshop/", "high", false),
    RouteSpec::service("status", "/orders/status/", "mid", true),
];

const BANCADA_ROUTES: &[RouteSpec] = &[
    RouteSpec::model("category", "bench-category", "high", 2),
    RouteSpec::model("care", "bench-care", "mid", 3),
    RouteSpec::model("critique", "bench-critique", "low", 8),
    RouteSpec::service("reservation", "/benches/", "high", false),
    RouteSpec::service("fee", "/fees/", "high", false),
    RouteSpec::service("lookup", "/reservations/", "mid", true),
];

/// Rate limit of each team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Refill rate in tokens per second.
    pub rate: u64,
    /// Size of the bucket in tokens.
    pub burst: u64,
}

impl SampleFleet {
    /// Parses the recorded trace of the fleet.
    ///
    /// # Errors
    /// Returns a [`TraceError`] if the trace is malformed.
    pub fn trace(self) -> Result<Vec<Record>, TraceError> {
        trace::parse(match self {
            Self::Hivecraft => include_str!("../traces/hivecraft.jsonl"),
            Self::Bancada => include_str!("../traces/bancada.jsonl"),
        })
    }

    /// Routes that the fleet declares.
    #[must_use]
    pub const fn routes(self) -> &'static [RouteSpec] {
        match self {
            Self::Hivecraft => HIVECRAFT_ROUTES,
            Self::Bancada => BANCADA_ROUTES,
        }
    }

    /// Finds a route by its name.
    #[must_use]
    pub fn route(self, name: &str) -> Option<&'static RouteSpec> {
        self.routes().iter().find(|route| route.name == name)
    }

    /// Returns the names of the teams, in the order of
    /// [`Scenario::shares`](crate::bench::Scenario::shares).
    #[must_use]
    pub const fn teams(self) -> [&'static str; 5] {
        match self {
            Self::Hivecraft => ["kakheti", "imereti", "orders", "school", "export"],
            Self::Bancada => ["coimbra", "lousa", "aveiro", "juri", "socios"],
        }
    }

    const fn centres(self) -> [&'static str; CENTRES] {
        match self {
            Self::Hivecraft => ["tb1", "tb2", "tb3"],
            Self::Bancada => ["co1", "co2", "co3"],
        }
    }

    /// Returns the deployment plan with every process of the fleet and the same rate limit for each
    /// team.
    #[must_use]
    pub fn plan(self, limits: Limits) -> Plan {
        let mut plan = Plan::new();
        for (index, centre) in self.centres().into_iter().enumerate() {
            plan = plan
                .with_centre(centre)
                .with_entry(&format!("entry-{}", index + 1), centre);
        }
        for index in 0..ENGINES {
            plan = plan.with_endpoint(self.engine(index));
        }
        for index in 0..SERVICES {
            plan = plan.with_endpoint(self.service(index));
        }
        for route in self.routes() {
            plan = plan.with_route(route_plan(route));
        }
        let routes: Vec<_> = self.routes().iter().map(|route| route.name).collect();
        for team in self.teams() {
            plan = plan.with_team(TeamPlan::new(team, limits.rate, limits.burst, &routes));
        }
        plan
    }

    /// Returns the name of the data centre of the endpoint at `index`.
    #[must_use]
    pub const fn centre_of(self, index: usize) -> &'static str {
        self.centres()[index % CENTRES]
    }

    fn engine(self, index: usize) -> EndpointPlan {
        let models: Vec<_> = self
            .routes()
            .iter()
            .filter_map(|route| route.model)
            .collect();
        let name = format!("engine-{}", index + 1);
        let spec = engine_spec(index);
        let warm = u32::try_from(spec.batch_size).unwrap_or(u32::MAX);
        let cold = u32::try_from(spec.cold_capacity).unwrap_or(u32::MAX);
        engine_arguments(&spec).into_iter().fold(
            EndpointPlan::new_engine(&name, self.centre_of(index), &models.join(", "))
                .with_capacity(cold, warm),
            |plan, (name, value)| plan.with_argument(name, value),
        )
    }

    fn service(self, index: usize) -> EndpointPlan {
        let name = format!("desk-{}", index + 1);
        EndpointPlan::new_service(&name, self.centre_of(index), "desk")
            .with_capacity(SERVICE_CAPACITY, SERVICE_CAPACITY)
            .with_argument("delay-ms", SERVICE_DELAY_MS)
    }
}

fn route_plan(route: &RouteSpec) -> RoutePlan {
    let plan = match route.model {
        Some(model) => RoutePlan::new_model(route.name, model, route.tier),
        None => RoutePlan::new_service(route.name, route.path, "desk", route.tier)
            .with_value("idempotent", &route.idempotent.to_string()),
    };
    plan.with_value("deadline", &format!("{}s", route.deadline.as_secs()))
}

/// Returns the behaviour of the engine at `index`.
#[must_use]
pub fn engine_spec(index: usize) -> Spec {
    Spec {
        batch_size: 8,
        prefill_rate: 20_000,
        decode_step: Duration::from_micros(DECODE_STEPS_US[index % DECODE_STEPS_US.len()]),
        cache_tokens: 4_096,
        cold_capacity: 2,
        warm_up: 8,
        warm_capacity: 12,
        restart_time: Duration::from_secs(1),
        report_lag: Duration::from_millis(500),
    }
}

/// Returns the command line arguments that give a stand-in engine the behaviour of `spec`.
#[must_use]
pub fn engine_arguments(spec: &Spec) -> Vec<(&'static str, u64)> {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let micros = u64::try_from(spec.decode_step.as_micros()).unwrap_or(u64::MAX);
    vec![
        ("batch", spec.batch_size as u64),
        ("prefill", spec.prefill_rate),
        ("step-us", micros),
        ("cache", spec.cache_tokens),
        ("cold", spec.cold_capacity as u64),
        ("warm-up", spec.warm_up),
        ("bearing", spec.warm_capacity as u64),
        ("restart-ms", millis(spec.restart_time)),
        ("lag-ms", millis(spec.report_lag)),
    ]
}

/// Returns the command line arguments of a stand-in service.
#[must_use]
pub fn service_arguments() -> Vec<(&'static str, u64)> {
    vec![("delay-ms", SERVICE_DELAY_MS)]
}
