//! The parts of a fleet that operators declare.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::id::KeyDigest;
use crate::name::{
    DataCentreName, EndpointName, HostName, ModelName, RouteName, TeamName, TierName,
};
use crate::request::Tier;

/// A tier of urgency.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TierSpec {
    /// Name by which routes refer to the tier.
    pub name: TierName,
    /// Priority of the tier. Zero is the most urgent.
    pub tier: Tier,
}

/// Whether a data centre accepts new work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum DataCentreState {
    /// The data centre accepts new work.
    #[default]
    In,
    /// Running work finishes, and no new work is accepted.
    Out,
}

/// A declared data centre.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DataCentre {
    /// Unique name of the data centre.
    pub name: DataCentreName,
    /// Region, used to prefer endpoints nearby.
    pub region: String,
    /// Whether the data centre accepts new work.
    pub state: DataCentreState,
}

/// A declared entry host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Host {
    /// Unique name of the host.
    pub name: HostName,
    /// Data centre of the host.
    pub centre: DataCentreName,
    /// Address of its control service for peers. All its connections originate from this IP
    /// address.
    pub control: SocketAddr,
}

/// Kind of the endpoint behind an agent.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine with continuous batching.
    Engine,
    /// A plain service.
    Service,
}

/// An endpoint and the agent beside it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Endpoint {
    /// Unique name of both the endpoint and its agent.
    pub name: EndpointName,
    /// Data centre of the endpoint.
    pub centre: DataCentreName,
    /// Whether the endpoint is an engine or a plain service.
    pub kind: EndpointKind,
    /// Models that an engine serves, or the services that a plain service provides.
    pub serves: BTreeSet<ModelName>,
    /// Address of the agent's control service.
    pub control: SocketAddr,
    /// Address to which entries send request bodies.
    pub traffic: SocketAddr,
    /// Number of concurrent requests that the endpoint can handle just after a start.
    pub cold: u32,
    /// Number of concurrent requests that the endpoint can handle when warm.
    pub warm: u32,
    /// KV cache capacity when warm, in tokens. Zero for a service.
    pub tokens: u64,
}

/// Callers that may use a route.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum RouteAccess {
    /// Teams that list the route, identified by key.
    #[default]
    Teams,
    /// Anyone, without a key.
    Open,
}

/// Service that a route leads to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Service {
    /// Chat completions of a model.
    Model(ModelName),
    /// Calls of a plain service under a path prefix.
    Plain {
        /// Name under which endpoints list the service.
        service: ModelName,
        /// Whether a call may be retried when its outcome is unknown.
        idempotent: bool,
        /// Time within which a caller may resend a call under its idempotency key.
        window: Duration,
    },
}

impl Service {
    /// Returns the name that an endpoint must list to serve the route.
    #[must_use]
    pub fn name(&self) -> &ModelName {
        match self {
            Self::Model(name) | Self::Plain { service: name, .. } => name,
        }
    }
}

/// A kind of request that callers can make.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Route {
    /// Unique name of the route.
    pub name: RouteName,
    /// Path prefix of the request, such as `/v1/chat/completions` or `/orders/`.
    pub path: String,
    /// Service that requests are sent to.
    pub service: Service,
    /// Tier of the route's requests.
    pub tier: Tier,
    /// Callers that may use the route.
    pub access: RouteAccess,
    /// Time after arrival of a request at which its answer becomes useless.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Largest answer allowed, in tokens.
    pub output: u32,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Team {
    /// Unique name of the team.
    pub name: TeamName,
    /// Sustained rate across the fleet, in tokens per second.
    pub rate: u64,
    /// Burst size across the fleet, in tokens.
    pub burst: u64,
    /// Weight of the team's share within a tier, relative to other teams.
    pub weight: u32,
    /// Digests of the valid keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Routes that the team may use.
    pub routes: BTreeSet<RouteName>,
}
