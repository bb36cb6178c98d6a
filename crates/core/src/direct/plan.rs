//! Configuration of direct entries: routes, services and teams. Also the records of endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::digest::digest;
use crate::id::KeyDigest;

/// Id of an endpoint.
pub type EndpointId = Arc<str>;

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// Any caller, without a key.
    Open,
    /// Callers with a team's key.
    Keyed,
}

/// Whether a request of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// The request may run at most once.
    Never,
    /// The request may run more than once.
    Idempotent,
    /// A broken answer may be resumed at another endpoint after the last event that arrived.
    Resumable,
}

impl RetryPolicy {
    /// Returns whether a request with unknown outcome may be retried.
    #[must_use]
    pub const fn is_allowed(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// One of the services that a route is split over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Assigns requests of one host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in the caller's request, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path, starting and ending with a slash.
    pub prefix: Arc<str>,
    /// The services that share the route's requests.
    pub split: Vec<WeightedService>,
    /// Who may use the route.
    pub access: Access,
    /// Whether the route's requests may be retried.
    #[serde(rename = "repeat")]
    pub retry: RetryPolicy,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// Longest time for which a request may be held.
    pub timeout: Duration,
    /// Time in which an answer has to arrive; for a stream, its first event.
    pub objective: Duration,
    /// Longest acceptable interval between two events of an answer.
    #[serde(rename = "pause")]
    pub event_gap: Option<Duration>,
    /// Urgency; zero is the most urgent.
    pub rank: u8,
    /// Maximum number of endpoints that may run one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
}

/// A service whose endpoints are interchangeable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests per second that a cold endpoint can handle; zero if endpoints are never cold.
    #[serde(rename = "cold")]
    pub cold_capacity: f64,
    /// Time for which an endpoint is cold after its start.
    pub warmup: Duration,
    /// Longest time for which a slot of an endpoint may be reserved; zero if none can be.
    pub reservation: Duration,
    /// Tokens per event of a streamed answer.
    #[serde(rename = "stride")]
    pub event_tokens: f64,
    /// Tokens that the requests at an endpoint may hold in its memory together; zero if unknown.
    #[serde(default)]
    pub memory_tokens: u64,
}

/// What a team's rate counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request counts as one unit.
    Requests,
    /// Tokens of the prompt plus the most tokens that the answer may have.
    Tokens,
}

/// A team and its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanTeam {
    /// Name of the team.
    pub name: Arc<str>,
    /// Urgency of the team's requests, which takes precedence over that of the route.
    pub rank: Option<u8>,
    /// What the rate counts.
    pub unit: Unit,
    /// Units of a request that declares no tokens.
    #[serde(rename = "plain")]
    pub plain_units: u64,
    /// Units per second; zero is no limit.
    pub rate: u64,
    /// Units that may be used at once in addition to the rate.
    pub burst: u64,
}

/// The whole configuration of direct entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Version, which grows with each change.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, ServicePlan>,
    /// Teams, in the order that `keys` refers to.
    pub teams: Vec<Arc<PlanTeam>>,
    /// The team of each key's digest, as an index into `teams`.
    pub keys: HashMap<KeyDigest, usize>,
    /// Whether requests to keyed routes need a key.
    pub keyed: bool,
    /// Largest request header, in bytes.
    #[serde(rename = "header")]
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// Longest time for receiving a request header.
    #[serde(rename = "heading")]
    pub header_timeout: Duration,
    /// Longest idle time of a caller's connection.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Plan {
    /// Adds a route. Call [`Plan::sort_routes`] after the last one.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(Arc::clone(&route.host)).or_default();
        routes.push(Arc::new(route));
    }

    /// Returns the services at which callers may take streams up.
    #[must_use]
    pub fn resumable_services(&self) -> BTreeSet<Arc<str>> {
        let routes = self.routes.values().flatten();
        let resumable = routes.filter(|route| route.retry == RetryPolicy::Resumable);
        let parts = resumable.flat_map(|route| &route.split);
        parts.map(|part| Arc::clone(&part.service)).collect()
    }

    /// Sorts the routes of each host, longest prefix first.
    pub fn sort_routes(&mut self) {
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
    }

    /// Returns the route for a host and path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn team(&self, key: &KeyDigest) -> Option<&Arc<PlanTeam>> {
        self.teams.get(*self.keys.get(key)?)
    }
}

/// An endpoint as listed in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Name of the service that the endpoint serves.
    pub service: Arc<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub centre: Arc<str>,
    /// Version of the endpoint's software. A stream may go on only at the build that began it.
    pub build: Arc<str>,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint has announced that it leaves.
    pub leaving: bool,
    /// Remaining time for which the endpoint is cold.
    pub cold: Duration,
    /// Number of the record, which grows with each update by one incarnation.
    pub sequence: u64,
    /// Start time on the endpoint's own clock, in milliseconds; distinguishes incarnations under
    /// one id.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// Most requests that a record may state to run at once; more is an error of its writer.
const SLOTS_MAX: u32 = 65_535;

/// Why a record names no endpoint that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RecordFault {
    /// No request can name the id in a header.
    #[display("the id cannot stand in a header")]
    Id,
    /// Nothing can be reached at the address.
    #[display("the address has no port or no host")]
    Address,
    /// The endpoint would run more requests than any does.
    #[display("more than {SLOTS_MAX} requests at once")]
    Slots,
}

impl EndpointRecord {
    /// Checks the record, which another writer may have left in the store.
    ///
    /// # Errors
    /// Returns a [`RecordFault`] if the record names no endpoint that can be used.
    pub fn check(&self) -> Result<(), RecordFault> {
        if self.id.is_empty() || !self.id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(RecordFault::Id);
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(RecordFault::Address);
        }
        if self.slots > SLOTS_MAX {
            return Err(RecordFault::Slots);
        }
        Ok(())
    }

    /// Returns a digest that identifies the endpoint's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        digest(&(&self.id, self.started_ms))
    }
}
