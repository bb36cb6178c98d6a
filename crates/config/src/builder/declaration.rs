//! The items that a configuration declares, each with its defaults.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use comfreyhaven_core::fleet::{self, DataCentreState, EndpointKind, RouteAccess, Service};
use comfreyhaven_core::{
    DataCentreName, EndpointName, HostName, KeyDigest, ModelName, RouteName, TeamName, TierName,
};

use crate::declaration::{DEADLINE_DEFAULT, OUTPUT_DEFAULT_TOKENS, RESEND_WINDOW_DEFAULT};

/// Default port of an agent's control service.
const CONTROL_PORT: u16 = 7_000;

/// Default port for request bodies to an agent.
const TRAFFIC_PORT: u16 = 7_001;

/// A tier of requests of equal urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct Tier(pub(super) fleet::TierSpec);

impl Tier {
    /// Creates a tier. Rank 0 is the most urgent.
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
    /// Creates a data centre that is in service. A region follows the syntax of names.
    #[must_use]
    pub fn new(name: DataCentreName, region: DataCentreName) -> Self {
        Self(fleet::DataCentre {
            name,
            region: region.to_string(),
            state: DataCentreState::In,
        })
    }

    /// Takes the data centre in or out of service.
    #[must_use]
    pub fn with_state(mut self, state: DataCentreState) -> Self {
        self.0.state = state;
        self
    }
}

/// A host that runs an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Host(pub(super) fleet::Host);

impl Host {
    /// Creates a host. Peers connect to its entry at `control`.
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
    /// Creates a model engine whose agent listens at `ip`, with control on port 7000 and traffic on
    /// port 7001. It handles one request at a time unless [`Endpoint::with_requests`] is called.
    #[must_use]
    pub fn new_engine(name: EndpointName, centre: DataCentreName, ip: IpAddr) -> Self {
        Self::new(name, centre, ip, EndpointKind::Engine)
    }

    /// Creates a plain service. Its agent's ports and its capacity default as for an engine.
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

    /// Adds a model or service that the endpoint serves.
    #[must_use]
    pub fn with_model(mut self, name: ModelName) -> Self {
        self.0.serves.insert(name);
        self
    }

    /// Sets the addresses of the agent.
    #[must_use]
    pub fn with_addresses(mut self, control: SocketAddr, traffic: SocketAddr) -> Self {
        (self.0.control, self.0.traffic) = (control, traffic);
        self
    }

    /// Sets the number of concurrent requests that the endpoint can handle after a start (`cold`)
    /// and when warm.
    #[must_use]
    pub fn with_requests(mut self, cold: u32, warm: u32) -> Self {
        (self.0.cold, self.0.warm) = (cold, warm);
        self
    }

    /// Sets the capacity of the KV cache, in tokens, shared by all running requests. Zero, the
    /// default, sets no limit.
    #[must_use]
    pub fn with_cache(mut self, tokens: u64) -> Self {
        self.0.tokens = tokens;
        self
    }
}

/// A route and the name of its tier.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    route: fleet::Route,
    tier: TierName,
}

impl Route {
    /// Creates a route to chat completions of a model, for teams that list the route.
    #[must_use]
    pub fn new_model(name: RouteName, path: &str, model: ModelName, tier: TierName) -> Self {
        Self::new(name, path, Service::Model(model), tier)
    }

    /// Creates a route to a plain service under a path prefix. Each call runs at most once.
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

    /// Builds a route from its parts. The rank is reset, because it follows from the tier.
    pub(super) fn from_parts(mut route: fleet::Route, tier: TierName) -> Self {
        route.tier = comfreyhaven_core::Tier::default();
        Self { route, tier }
    }

    /// Sets whether callers without a key may use the route.
    #[must_use]
    pub fn with_access(mut self, access: RouteAccess) -> Self {
        self.route.access = access;
        self
    }

    /// Sets the time after which an answer is no longer useful. It is printed in milliseconds.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Duration) -> Self {
        self.route.deadline = deadline;
        self
    }

    /// Sets the largest answer, in tokens.
    #[must_use]
    pub fn with_output(mut self, tokens: u32) -> Self {
        self.route.output = tokens;
        self
    }

    /// Sets whether a call may run again when its outcome is unknown. This has no effect on the
    /// route of a model.
    #[must_use]
    pub fn with_idempotent(mut self, value: bool) -> Self {
        if let Service::Plain { idempotent, .. } = &mut self.route.service {
            *idempotent = value;
        }
        self
    }

    /// Sets how long a caller may send a call again under its idempotency key, at most an hour. It
    /// is printed in whole milliseconds, and has no effect on the route of a model.
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

    pub(super) fn route_and_tier(&self) -> (&fleet::Route, &TierName) {
        (&self.route, &self.tier)
    }
}

/// A team, whose callers share its keys and its rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Team(pub(super) fleet::Team);

impl Team {
    /// Creates a team without keys and routes. Its rate, in tokens per second, and its burst, in
    /// tokens, apply to the whole fleet.
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

    /// Adds a key, given by its digest.
    #[must_use]
    pub fn with_key(mut self, key: KeyDigest) -> Self {
        self.0.keys.insert(key);
        self
    }

    /// Adds a route that the team may use.
    #[must_use]
    pub fn with_route(mut self, route: RouteName) -> Self {
        self.0.routes.insert(route);
        self
    }

    /// Sets the team's share within a tier, relative to other teams. The default is 1.
    #[must_use]
    pub fn with_weight(mut self, weight: u32) -> Self {
        self.0.weight = weight;
        self
    }
}
