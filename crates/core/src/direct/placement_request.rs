//! Requests for a slot at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use super::plan::EndpointId;
use crate::time::Timestamp;

/// Identifies a placement request within its entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request for a slot at an endpoint.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Name of the service that the request is for.
    pub service: Arc<str>,
    /// The build that has to run the request, if it goes on with a stream.
    pub build: Option<Arc<str>>,
    /// Kind of the request: the name of its route.
    pub kind: Arc<str>,
    /// Digest of the team's name; zero for requests without a team.
    pub team: u64,
    /// Urgency of the team, which takes precedence over that of the route; zero is the most urgent.
    pub team_rank: u8,
    /// Urgency of the route; zero is the most urgent.
    pub rank: u8,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Estimated tokens of the answer.
    pub length: u64,
    /// Tokens that the request may hold in an endpoint's memory: those of its prompt, and the most that
    /// its answer may have.
    pub memory: u64,
    /// Whether the answer is a stream.
    pub streaming: bool,
    /// Time at which the request arrived.
    pub arrived: Timestamp,
    /// Time that the caller had spent when the request arrived, on attempts that were refused.
    pub elapsed: Duration,
    /// Time by which the answer has to start.
    pub objective: Timestamp,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
    /// Longest acceptable interval between two events of the answer.
    pub event_gap: Option<Duration>,
    /// Endpoints that must not receive the request again.
    pub excluded: Vec<EndpointId>,
    /// Average slot time of requests of this kind; set by the scheduler.
    pub average_time: Duration,
    /// Step of the team's excess over its share of the service; set by the scheduler.
    pub share: u8,
}
