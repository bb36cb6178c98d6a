//! The parts of a configuration, each with its defaults.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use comfreyhaven_core::fleet::{self, DataCentreState, EndpointKind, RouteAccess, Service};
use comfreyhaven_core::{
    DataCentreName, EndpointName, HostName, KeyDigest, ModelName, RouteName, TeamName, TierName,
};

use crate::part::{DEADLINE_DEFAULT, OUTPUT_DEFAULT_TOKENS, RESEND_WINDOW_DEFAULT};

/// Port of an agent's control service, unless another one is given.
const CONTROL_PORT: u16 = 7_000;

/// Port of an agent's traffic, unless another one is given.
const TRAFFIC_PORT: u16 = 7_001;

/// A tier of urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct Tier(pub(super) fleet::TierSpec);

impl Tier {
    /// A tier with its rank; rank zero is the most urgent.
    #[must_use]
    pub fn new(name: TierName, rank: u8) -> Self {
        let tier = comfreyhaven_core::Tier(rank);
        Self(fleet::TierSpec { name, tier })
    }
}

/// A data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct DataCentre(pub(super) fleet::DataCentre);

impl DataCentre {
    /// A data centre that takes new work. A region has the form of a name.
    #[must_use]
    pub fn new(name: DataCentreName, region: DataCentreName) -> Self {
        Self(fleet::DataCentre {
            name,
            region: region.to_string(),
            state: DataCentreState::In,
        })
    }

    /// The same data centre in or out of service.
    #[must_use]
    pub fn with_state(mut self, state: DataCentreState) -> Self {
        self.0.state = state;
        self
    }
}

/// An entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Host(pub(super) fleet::Host);

impl Host {
    /// A host whose entry is reached by peers at `control`.
    #[must_use]
    pub fn new(name: HostName, centre: DataCentreName, control: SocketAddr) -> Self {
        Self(fleet::Host {
            name,
            centre,
            control,
        })
    }
}

/// An endpoint with the agent beside it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint(pub(super) fleet::Endpoint);

impl Endpoint {
    /// A model engine whose agent listens at `ip`, control on port 7000 and traffic on port 7001.
    /// It bears one request until [`Endpoint::with_requests`] says more.
    #[must_use]
    pub fn new_engine(name: EndpointName, centre: DataCentreName, ip: IpAddr) -> Self {
        Self::new(name, centre, ip, EndpointKind::Engine)
    }

    /// A plain service whose agent listens as an engine's does.
    #[must_use]
    pub fn new_service(name: EndpointName, centre: DataCentreName, ip: IpAddr) -> Self {
        Self::new(name, centre, ip, EndpointKind::Service)
    }

    fn new(name: EndpointName, centre: DataCentreName, ip: IpAddr, kind: EndpointKind) -> Self {
        Self(fleet::Endpoint {
            name,
            centre,
            kind,
            serves: BTreeSet::new(),
            control: SocketAddr::new(ip, CONTROL_PORT),
            traffic: SocketAddr::new(ip, TRAFFIC_PORT),
            cold: 1,
            warm: 1,
            tokens: 0,
        })
    }

    /// The same endpoint with one more model or service that it serves.
    #[must_use]
    pub fn with_model(mut self, name: ModelName) -> Self {
        self.0.serves.insert(name);
        self
    }

    /// The same endpoint with its agent at other addresses.
    #[must_use]
    pub fn with_addresses(mut self, control: SocketAddr, traffic: SocketAddr) -> Self {
        (self.0.control, self.0.traffic) = (control, traffic);
        self
    }

    /// The same endpoint with the requests that it bears at once, just started and warm.
    #[must_use]
    pub fn with_requests(mut self, cold: u32, warm: u32) -> Self {
        (self.0.cold, self.0.warm) = (cold, warm);
        self
    }

    /// The same endpoint with the tokens of KV cache that it bears at once when warm.
    #[must_use]
    pub fn with_cache(mut self, tokens: u64) -> Self {
        self.0.tokens = tokens;
        self
    }
}

/// A route, with the tier that it names.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    route: fleet::Route,
    tier: TierName,
}

impl Route {
    /// A route to chat completions of a model, for teams that list it.
    #[must_use]
    pub fn new_model(name: RouteName, path: &str, model: ModelName, tier: TierName) -> Self {
        Self::new(name, path, Service::Model(model), tier)
    }

    /// A route to a plain service under a path prefix. A call runs at most once.
    #[must_use]
    pub fn new_service(name: RouteName, path: &str, service: ModelName, tier: TierName) -> Self {
        let service = Service::Plain {
            service,
            idempotent: false,
            window: RESEND_WINDOW_DEFAULT,
        };
        Self::new(name, path, service, tier)
    }

    fn new(name: RouteName, path: &str, service: Service, tier: TierName) -> Self {
        let route = fleet::Route {
            name,
            path: path.to_owned(),
            service,
            tier: comfreyhaven_core::Tier::default(),
            access: RouteAccess::Teams,
            deadline: DEADLINE_DEFAULT,
            output: OUTPUT_DEFAULT_TOKENS,
        };
        Self { route, tier }
    }

    /// The route without its rank, which the tier gives.
    pub(super) fn from_parts(mut route: fleet::Route, tier: TierName) -> Self {
        route.tier = comfreyhaven_core::Tier::default();
        Self { route, tier }
    }

    /// The same route, open to callers without a key or not.
    #[must_use]
    pub fn with_access(mut self, access: RouteAccess) -> Self {
        self.route.access = access;
        self
    }

    /// The same route with the time after which its answer is worthless, in whole milliseconds.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.route.deadline = deadline;
        self
    }

    /// The same route with the largest answer, in tokens.
    #[must_use]
    pub fn with_output(mut self, tokens: u32) -> Self {
        self.route.output = tokens;
        self
    }

    /// The same route to a service whose calls may run again when their outcome is unknown. It
    /// changes nothing on a model's route.
    #[must_use]
    pub fn with_idempotent(mut self, value: bool) -> Self {
        if let Service::Plain { idempotent, .. } = &mut self.route.service {
            *idempotent = value;
        }
        self
    }

    /// The same route with the time in which a caller may send a call again under its idempotency
    /// key, in whole milliseconds and at most an hour. It changes nothing on a model's route.
    #[must_use]
    pub fn with_resend_window(mut self, time: Duration) -> Self {
        if let Service::Plain { window, .. } = &mut self.route.service {
            *window = time;
        }
        self
    }

    pub(super) fn name(&self) -> &RouteName {
        &self.route.name
    }

    pub(super) fn path(&self) -> &str {
        &self.route.path
    }

    pub(super) fn parts(&self) -> (&fleet::Route, &TierName) {
        (&self.route, &self.tier)
    }
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Team(pub(super) fleet::Team);

impl Team {
    /// A team with its rate, in tokens a second, and its burst, in tokens, across the fleet. It has
    /// no keys and no routes yet.
    #[must_use]
    pub fn new(name: TeamName, rate: u64, burst: u64) -> Self {
        Self(fleet::Team {
            name,
            rate,
            burst,
            weight: 1,
            keys: BTreeSet::new(),
            routes: BTreeSet::new(),
        })
    }

    /// The same team with one more key, by its digest.
    #[must_use]
    pub fn with_key(mut self, key: KeyDigest) -> Self {
        self.0.keys.insert(key);
        self
    }

    /// The same team with one more route that it may use.
    #[must_use]
    pub fn with_route(mut self, route: RouteName) -> Self {
        self.0.routes.insert(route);
        self
    }

    /// The same team with its share inside a tier, relative to other teams.
    #[must_use]
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.0.weight = weight;
        self
    }
}
