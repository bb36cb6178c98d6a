//! Endpoints that name the requests per second that they take from all entries together.
//!
//! Each entry keeps to its part of the requests that the limit allows in a sliding window. The parts
//! add up to the limit, whichever entries have been told of it, and need no exchange of counts.

use std::time::Duration;

use super::availability::Absence;
use super::{PlacementRequest, Reason, Scheduler};
use crate::direct::endpoint_table::EndpointState;
use crate::direct::plan::EndpointRecord;
use crate::direct::request_limit::RequestLimit;
use crate::direct::send_window::WINDOW_MAX;
use crate::time::Timestamp;

/// Time in which the requests to a limited endpoint are counted, unless it takes less than one in
/// that time.
const WINDOW: Duration = Duration::from_secs(4);

/// Part of the average time between two requests of this entry that has to pass between them.
const SPACING: f64 = 0.5;

/// What a limit allows one entry.
struct Allowance {
    /// Requests of this entry in the window.
    requests: usize,
    window: Duration,
}

impl Scheduler {
    /// Returns the requests per second that the endpoint of `record` takes from all entries
    /// together, if it names a limit.
    #[must_use]
    pub fn request_limit(&self, record: &EndpointRecord, now: Timestamp) -> Option<RequestLimit> {
        self.endpoints.availability(record).limit(now)
    }

    /// Returns whether an endpoint's limit allows a request of this entry now.
    pub(super) fn is_allowed(&self, state: &EndpointState, now: Timestamp) -> bool {
        self.allowed_from(state, now) <= now
    }

    /// Returns the time from which an endpoint's limit allows a request of this entry, or never if
    /// this entry has no part of it.
    fn allowed_from(&self, state: &EndpointState, now: Timestamp) -> Timestamp {
        let Some(limit) = state.availability().limit(now) else {
            return Timestamp::ZERO;
        };
        let allowance = self.allowance(state, limit, now);
        if allowance.requests == 0 {
            return Timestamp::NEVER;
        }
        let sends = state.sends();
        let room = sends.room_for(allowance.requests, allowance.window);
        let requests = u32::try_from(allowance.requests).unwrap_or(u32::MAX);
        let spacing = (allowance.window / requests).mul_f64(SPACING);
        let spaced = sends.last().map_or(Timestamp::ZERO, |last| last + spacing);
        room.max(spaced)
    }

    /// Returns when the first endpoint takes a request, if the limits of all endpoints that it may go
    /// to let it wait too long.
    pub(super) fn limited_too_long(
        &self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Option<Absence> {
        let patience = request.objective.max(self.wait_limit(request));
        let mut first = Timestamp::NEVER;
        for state in self.usable(request, now) {
            first = first.min(self.allowed_from(state, now));
            if first <= patience {
                return None;
            }
        }
        Some(Absence {
            reason: Reason::EndpointsLimited,
            until: (first < Timestamp::NEVER).then_some(first),
        })
    }

    /// Returns this entry's part of a limit. An endpoint that takes less than one request in the
    /// longest window is asked once in that time, as only its answers tell when it takes more.
    fn allowance(&self, state: &EndpointState, limit: RequestLimit, now: Timestamp) -> Allowance {
        let mut window = WINDOW;
        while limit.within(window) < 1.0 && window < WINDOW_MAX {
            window = (window * 2).min(WINDOW_MAX);
        }
        let requests = limit.within(window).max(1.0);
        Allowance {
            requests: self.own_part(state, requests, now),
            window,
        }
    }
}
