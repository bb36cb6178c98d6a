//! The declared parts of a fleet.

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
    /// Name that routes refer to.
    pub name: TierName,
    /// Rank, zero first.
    pub tier: Tier,
}

/// Whether a data centre takes new work.
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
    /// New work may go there.
    #[default]
    In,
    /// Running work finishes; no new work goes there.
    Out,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DataCentre {
    /// Name.
    pub name: DataCentreName,
    /// Region, for preferring near endpoints.
    pub region: String,
    /// Whether it takes new work.
    pub state: DataCentreState,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Host {
    /// Name.
    pub name: HostName,
    /// Where it stands.
    pub centre: DataCentreName,
    /// Where peers reach its control service. Its IP is the source of all its connections.
    pub control: SocketAddr,
}

/// What stands behind an agent.
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
    /// A model engine that batches continuously.
    Engine,
    /// A plain service.
    Service,
}

/// An endpoint and the agent beside it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name, shared by the endpoint and its agent.
    pub name: EndpointName,
    /// Where it stands.
    pub centre: DataCentreName,
    /// Engine or service.
    pub kind: EndpointKind,
    /// Models that an engine serves, or the services of a plain service.
    pub serves: BTreeSet<ModelName>,
    /// Where entries reach the agent's control service.
    pub control: SocketAddr,
    /// Where entries send bodies.
    pub traffic: SocketAddr,
    /// Requests that it bears at once just after a start.
    pub cold: u32,
    /// Requests that it bears at once when warm.
    pub warm: u32,
    /// Tokens of KV cache that it bears at once when warm; zero for a service.
    pub tokens: u64,
}

/// Who may use a route.
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
    /// Teams that list the route, by key.
    #[default]
    Teams,
    /// Anyone, without a key.
    Open,
}

/// What a route leads to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Service {
    /// Chat completions of a model.
    Model(ModelName),
    /// Calls of a plain service under a path prefix.
    Plain {
        /// Name that endpoints list.
        service: ModelName,
        /// Whether a call may be run again when its outcome is unknown.
        idempotent: bool,
        /// Time in which a caller may send a call again under its idempotency key.
        window: Duration,
    },
}

impl Service {
    /// The name that an endpoint must list to serve the route.
    #[must_use]
    pub fn name(&self) -> &ModelName {
        match self {
            Self::Model(name) | Self::Plain { service: name, .. } => name,
        }
    }
}

/// A kind of request that callers can ask for.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Path prefix of the request, such as `/v1/chat/completions` or `/orders/`.
    pub path: String,
    /// What it leads to.
    pub service: Service,
    /// Urgency.
    pub tier: Tier,
    /// Who may use it.
    pub access: RouteAccess,
    /// Time after which an answer is worthless.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: Duration,
    /// Largest answer, in tokens.
    pub output: u32,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Team {
    /// Name.
    pub name: TeamName,
    /// Tokens a second across the fleet.
    pub rate: u64,
    /// Tokens that may be spent at once across the fleet.
    pub burst: u64,
    /// Share inside a tier relative to other teams.
    pub weight: u32,
    /// Digests of the keys in force.
    pub keys: BTreeSet<KeyDigest>,
    /// Routes that the team may use.
    pub routes: BTreeSet<RouteName>,
}
