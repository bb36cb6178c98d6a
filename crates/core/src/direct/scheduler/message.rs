//! Decisions of the scheduler of a direct entry, and its settings.

use std::time::Duration;

use strum::IntoStaticStr;

use super::Scheduler;
use crate::direct::endpoint_table::Run;
use crate::direct::plan::EndpointRecord;
use crate::direct::rate_limit::RatePolicy;
use crate::direct::topology::Role;
use crate::direct::wait_queue::WaitQueue;

/// The endpoint chosen for a request.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Handle for reporting progress and end of the request.
    pub run: Run,
    /// Record of the endpoint.
    pub record: EndpointRecord,
    /// Expected time to the first byte, in milliseconds.
    pub first_byte: u64,
    /// Expected time to the last byte, in milliseconds.
    pub last_byte: u64,
    /// Time for which a slot is to be reserved before the request is sent; zero if it is sent
    /// without a reservation.
    pub reservation: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Every endpoint is full or reserved for requests that take precedence.
    Overloaded,
    /// Every endpoint is full, and there is no place for the caller at a time that it would honour.
    NoRoom,
    /// The service has no usable endpoint.
    NoEndpoint,
    /// Every endpoint of the service has said that it leaves.
    EndpointsLeaving,
    /// Every endpoint of the service has said that it leaves, or has asked for a pause.
    EndpointsPaused,
    /// Every endpoint that the request may go to has named a limit, and takes it too late.
    EndpointsLimited,
}

/// The refusal of a placement request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementRefusal {
    /// Cause of the refusal.
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// The decision on a placement request.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The request is sent to an endpoint.
    Placed(Box<Placement>),
    /// The request is refused.
    Refused(PlacementRefusal),
}

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The answer was complete.
    Complete,
    /// The endpoint answered with a failure.
    Failed,
    /// The endpoint rejected the request without running it.
    Rejected,
    /// The endpoint had no slot to reserve, so nothing was sent.
    Full,
    /// The endpoint was unreachable, closed the connection early or stalled.
    Broken,
    /// The caller disconnected, or the deadline passed.
    Cancelled,
}

/// Counts for metrics and log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests in the queues.
    pub waiting: usize,
    /// Requests that this entry runs.
    pub running: usize,
    /// Known endpoints.
    pub endpoints: usize,
    /// Known entries, including this one.
    pub members: usize,
    /// This entry's part in the exchange of reports.
    pub role: Role,
}

/// Limits that all entries enforce together.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// How teams' rates are counted.
    pub rate_policy: RatePolicy,
    /// Length of the window of the retry budget.
    pub retry_window: Duration,
    /// Retries allowed for each request of a window.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub retry_slack: f64,
    /// Factor on the requests per second that a cold endpoint can handle.
    pub cold_factor: f64,
    /// Requests per second that a cold endpoint may receive in addition.
    pub cold_extra: f64,
    /// Time for which an endpoint serves after its record was removed.
    pub drain: Duration,
}

impl Scheduler {
    /// Returns counts for metrics and log lines.
    #[must_use]
    pub fn totals(&self) -> Totals {
        Totals {
            waiting: self.queues.values().map(WaitQueue::len).sum(),
            running: self.endpoints.running(),
            endpoints: self.endpoints.len(),
            members: self.members.count(),
            role: self.topology.role(),
        }
    }
}
