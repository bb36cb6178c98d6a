//! What an entry is told: routes, services and teams, and the endpoints that serve them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::KeyDigest;

/// Names one start of an endpoint.
pub type EndpointId = Arc<str>;

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Anyone, without a key.
    Open,
    /// Whoever has a team's key.
    Keyed,
}

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Once at most.
    Never,
    /// More than once.
    Idempotent,
    /// A broken answer may be resumed at another endpoint after the last event that arrived.
    Resumable,
}

impl Repeat {
    /// Whether a request whose outcome is unknown may be sent again.
    #[must_use]
    pub const fn is_allowed(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// One of the services that a route is split over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weighted {
    /// The service.
    pub service: Arc<str>,
    /// Its part of the route's requests, against the sum of all weights.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Begin of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// The services.
    pub split: Vec<Weighted>,
    /// Who may use it.
    pub access: Access,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// Longest time that a request may be kept.
    pub timeout: Duration,
    /// Time in which an answer (a stream: its first event) is on time.
    pub objective: Duration,
    /// Longest pause between events of an answer that is on time.
    pub pause: Option<Duration>,
    /// Urgency; zero is the most urgent.
    pub rank: u8,
    /// Endpoints that may run one request at most.
    pub attempts: u32,
}

/// A service whose endpoints are interchangeable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests a second that a cold endpoint bears, or zero if its endpoints never are cold.
    pub cold: f64,
    /// How long an endpoint is cold after its start.
    pub warmup: Duration,
    /// Tokens that one event of a streamed answer holds.
    pub stride: f64,
}

/// What a team's rate counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// Tokens of the prompt and the most that the answer may have.
    Tokens,
}

/// A team and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanTeam {
    /// Name of the team.
    pub name: Arc<str>,
    /// Urgency of its requests, which goes before that of the route.
    pub rank: Option<u8>,
    /// What the rate counts.
    pub unit: Unit,
    /// What a request that declares no tokens counts.
    pub plain: u64,
    /// Units a second; zero is no limit.
    pub rate: u64,
    /// Units beyond the rate that may be taken at once.
    pub burst: u64,
}

/// The whole configuration of direct entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Grows with each change.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServicePlan>,
    /// Teams.
    pub teams: Vec<Arc<PlanTeam>>,
    /// The team of each key's digest, as an index into `teams`.
    pub keys: HashMap<KeyDigest, usize>,
    /// Whether requests need a key at all.
    pub keyed: bool,
    /// Longest header of a caller, in bytes.
    pub header: usize,
    /// Longest body of a caller, in bytes.
    pub body: usize,
    /// How long a caller may take to send a header.
    pub heading: Duration,
    /// How long a connection of a caller may be idle.
    pub idle: Duration,
}

impl Plan {
    /// Adds a route. Call [`Plan::sort`] after the last.
    pub fn add(&mut self, route: Route) {
        let routes = self.routes.entry(Arc::clone(&route.host)).or_default();
        routes.push(Arc::new(route));
    }

    /// Puts the longest prefixes first.
    pub fn sort(&mut self) {
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
    }

    /// The route of a host and path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The team that holds a key.
    #[must_use]
    pub fn team(&self, key: &KeyDigest) -> Option<&Arc<PlanTeam>> {
        self.teams.get(*self.keys.get(key)?)
    }
}

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Names this start of the endpoint.
    pub id: EndpointId,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// How much longer it is cold.
    pub cold: Duration,
    /// Grows with each listing of one start.
    pub sequence: u64,
    /// When it started, in milliseconds of its own clock; tells starts under one id apart.
    pub born: u64,
}
