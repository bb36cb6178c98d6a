//! The deployments of the two co-operatives, as stand-ins.

use std::time::Duration;

use comfreyhaven_harness::{EndpointPlan, Plan, RoutePlan, TeamPlan};
use comfreyhaven_standin::engine::Spec;
use strum::{Display, EnumIter, EnumString};

use crate::trace::{self, Record, TraceError};

/// Data centres, and entry hosts, of a deployment.
pub const CENTRES: usize = 3;

/// Engines of a deployment.
pub const ENGINES: usize = 12;

/// Plain services of a deployment.
pub const SERVICES: usize = 3;

/// Decoding steps of the unlike engines, in microseconds.
const STEPS_US: [u64; 4] = [6_000, 8_000, 10_000, 12_000];

/// Requests that a plain service bears at once.
const SERVICE_BEARING: u32 = 16;

/// Time that a plain service takes for a call, in milliseconds.
const SERVICE_DELAY_MS: u64 = 5;

/// One of the two co-operatives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Deployed {
    /// Hivecraft Assistant of the Sakartvelo Hive Makers Cooperative.
    Hivecraft,
    /// The router fleet of Cooperativa Bancada Viva.
    Bancada,
}

/// A route with what the load tool needs of it.
#[derive(Debug, Clone, Copy)]
pub struct RouteSpec {
    /// Name.
    pub name: &'static str,
    /// Model, or `None` for a plain service.
    pub model: Option<&'static str>,
    /// Path prefix.
    pub path: &'static str,
    /// Tier.
    pub tier: &'static str,
    /// Time after which an answer is worthless.
    pub deadline: Duration,
    /// Whether a call may be repeated.
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

/// Rate and burst of each team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

impl Deployed {
    /// The recorded trace.
    ///
    /// # Errors
    /// Returns a [`TraceError`] if a record of it cannot be read.
    pub fn trace(self) -> Result<Vec<Record>, TraceError> {
        trace::parse(match self {
            Self::Hivecraft => include_str!("../traces/hivecraft.jsonl"),
            Self::Bancada => include_str!("../traces/bancada.jsonl"),
        })
    }

    /// The routes.
    #[must_use]
    pub const fn routes(self) -> &'static [RouteSpec] {
        match self {
            Self::Hivecraft => HIVECRAFT_ROUTES,
            Self::Bancada => BANCADA_ROUTES,
        }
    }

    /// One route by its name.
    #[must_use]
    pub fn route(self, name: &str) -> Option<&'static RouteSpec> {
        self.routes().iter().find(|route| route.name == name)
    }

    /// The teams.
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

    /// Every process of the deployment, with the same limits for each team.
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
            plan = plan.with_route(declare(route));
        }
        let routes: Vec<_> = self.routes().iter().map(|route| route.name).collect();
        for team in self.teams() {
            plan = plan.with_team(TeamPlan::new(team, limits.rate, limits.burst, &routes));
        }
        plan
    }

    /// Name of the data centre of the endpoint at `index`.
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
            .with_capacity(SERVICE_BEARING, SERVICE_BEARING)
            .with_argument("delay-ms", SERVICE_DELAY_MS)
    }
}

fn declare(route: &RouteSpec) -> RoutePlan {
    let plan = match route.model {
        Some(model) => RoutePlan::new_model(route.name, model, route.tier),
        None => RoutePlan::new_service(route.name, route.path, "desk", route.tier)
            .with_value("idempotent", &route.idempotent.to_string()),
    };
    plan.with_value("deadline", &format!("{}s", route.deadline.as_secs()))
}

/// How the engine at `index` behaves.
#[must_use]
pub fn engine_spec(index: usize) -> Spec {
    Spec {
        batch_size: 8,
        prefill_rate: 20_000,
        decode_step: Duration::from_micros(STEPS_US[index % STEPS_US.len()]),
        cache_tokens: 4_096,
        cold_capacity: 2,
        warm_up: 8,
        warm_capacity: 12,
        restart_time: Duration::from_secs(1),
        report_lag: Duration::from_millis(500),
    }
}

/// Command line arguments by which a stand-in behaves as `spec` says.
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

/// Command line arguments of the plain services.
#[must_use]
pub fn service_arguments() -> Vec<(&'static str, u64)> {
    vec![("delay-ms", SERVICE_DELAY_MS)]
}
