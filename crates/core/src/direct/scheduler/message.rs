//! What a direct entry's scheduler is asked and what it answers.

use std::sync::Arc;
use std::time::Duration;

use strum::IntoStaticStr;

use crate::direct::allowance::Terms;
use crate::direct::book::Run;
use crate::direct::plan::{EndpointId, Listing};
use crate::time::Timestamp;

/// Names a request while it waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that wants an endpoint.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Names it.
    pub ticket: Ticket,
    /// The service.
    pub service: Arc<str>,
    /// What kind of request it is: the name of its route.
    pub kind: Arc<str>,
    /// Urgency of its team, which goes first; zero is the most urgent.
    pub standing: u8,
    /// Urgency of its route; zero is the most urgent.
    pub rank: u8,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens that its answer is guessed to have.
    pub length: u64,
    /// Whether its answer is a stream.
    pub streaming: bool,
    /// When it came.
    pub arrived: Timestamp,
    /// Until when its answer has to begin to be on time.
    pub objective: Timestamp,
    /// When its caller stops waiting.
    pub deadline: Timestamp,
    /// Longest pause between events that is on time.
    pub pause: Option<Duration>,
    /// Endpoints that it must not go to again.
    pub excluded: Vec<EndpointId>,
    /// How long requests of its kind hold a place on average. The scheduler sets it.
    pub typical: Duration,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Placement {
    /// What is counted until the request is over there.
    pub run: Run,
    /// The endpoint.
    pub listing: Listing,
    /// Expected time to its first byte, in milliseconds.
    pub expected: u64,
    /// Expected time to its last byte, in milliseconds.
    pub whole: u64,
}

/// Why a request got no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Every endpoint is full of work that goes before it.
    Overloaded,
    /// The service has no endpoint that may be used.
    NoEndpoint,
}

/// A request that was turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turned {
    /// Why.
    pub reason: Reason,
    /// When a place is expected.
    pub retry: Duration,
}

/// What became of an [`Ask`].
#[derive(Debug, Clone)]
pub enum Outcome {
    /// It goes to an endpoint.
    Placed(Box<Placement>),
    /// It is refused.
    Turned(Turned),
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It got its whole answer.
    Whole,
    /// The endpoint answered that it failed.
    Failed,
    /// The endpoint said that it did not run it.
    Rejected,
    /// The endpoint could not be reached, broke the connection off, or was silent for too long.
    Broken,
    /// The caller left, or its time was over.
    Cancelled,
}

/// Counts for metrics and for the dump of the state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Endpoints known.
    pub endpoints: usize,
    /// Entries known, with this one.
    pub members: usize,
}

/// Bounds that every entry keeps together with all others.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// How teams' rates are counted.
    pub rates: Terms,
    /// Window of the budget of repeats.
    pub window: Duration,
    /// Repeats for each request of a window.
    pub ratio: f64,
    /// Repeats of a window beyond that.
    pub slack: f64,
    /// Factor on the requests a second that a cold endpoint bears.
    pub overage: f64,
    /// Requests a second beyond that.
    pub extra: f64,
}
