//! Hedges of the scheduler: whether a request whose answer is late may go to a second endpoint, and to
//! which one.

use std::sync::Arc;
use std::time::Duration;

use super::{Placement, PlacementRequest, Scheduler};
use crate::direct::digest::digest;
use crate::direct::endpoint_table::{EndpointState, Run};
use crate::direct::hedging::{KindTimes, ServiceUse, WaitEnd, Withheld, answer_kind};
use crate::direct::plan::{EndpointId, EndpointRecord};
use crate::direct::source::{Scope, Source};
use crate::direct::wait_queue::WaitQueue;
use crate::time::Timestamp;

/// Cost of an endpoint in the first one's data centre, in milliseconds. It is less than that of
/// leaving this entry's own data centre.
const SAME_CENTRE_MS: f64 = 2.0;

/// Interval at which reports hold times to the first answer.
const TIMES_INTERVAL: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Changes the hedges that may be sent, as a part of all requests; zero for none.
    pub fn set_hedge_part(&mut self, part: f64) {
        self.policies.hedge_part = part;
        self.hedging.set_part(part);
    }

    /// Returns how long to wait for the first answer of a request of `route` before a hedge is sent,
    /// or `None` if none is.
    pub fn hedge_delay(&mut self, route: &str, prompt: u64, now: Timestamp) -> Option<Duration> {
        if !self.hedging.is_enabled() {
            return None;
        }
        self.hedging.delay(answer_kind(route, prompt), now)
    }

    /// Records how long a request of `route` waited for its first answer at the endpoint of `run`.
    pub fn record_wait(&mut self, route: &str, run: &Run, end: WaitEnd, now: Timestamp) {
        if !self.hedging.is_enabled() {
            return;
        }
        let waited = now.since(run.sent);
        let kind = answer_kind(route, run.prompt);
        self.hedging.record(kind, waited, end, now);
        if end == WaitEnd::Cancelled {
            self.endpoints.record_cancelled(run, now);
        }
    }

    /// Places a request that `first` is slow to answer at a second endpoint.
    ///
    /// # Errors
    /// Returns why the request may not be sent once more now.
    pub fn place_hedge(
        &mut self,
        request: &PlacementRequest,
        first: &EndpointRecord,
        now: Timestamp,
    ) -> Result<Box<Placement>, Withheld> {
        if self.service_use(request, now).is_overloaded() {
            return Err(Withheld::Overload);
        }
        let found = self.hedge_endpoint(request, first, now);
        let (id, expected) = found.ok_or(Withheld::NoEndpoint)?;
        let part = self.retry_part(now);
        if !self.budget(&request.service).has_reserve(part, now) {
            return Err(Withheld::Budget);
        }
        if !self.hedging.take(&request.service) {
            return Err(Withheld::Limit);
        }
        self.budget(&request.service).take(part, now);
        let placement = self.placement_at(&id, expected, request, now);
        placement.ok_or(Withheld::NoEndpoint)
    }

    /// Returns what the fleet does for a request's service.
    fn service_use(&self, request: &PlacementRequest, now: Timestamp) -> ServiceUse {
        let (_, peers_waiting, _) = self.peer_demand(digest(&request.service));
        let waiting = self.queues.get(&request.service).map_or(0, WaitQueue::len);
        let mut service = ServiceUse {
            waiting: waiting + peers_waiting as usize,
            ..ServiceUse::default()
        };
        for state in self.endpoints.of_service(&request.service) {
            if state.is_usable(now) && !state.is_avoided(now) {
                service.slots += state.record().slots;
                service.free += free_slots(state);
            }
        }
        service
    }

    /// Returns the endpoint of least cost for a second send, and the expected time to first byte there,
    /// in milliseconds.
    fn hedge_endpoint(
        &mut self,
        request: &PlacementRequest,
        first: &EndpointRecord,
        now: Timestamp,
    ) -> Option<(EndpointId, f64)> {
        let mut candidates = Vec::new();
        for state in self.usable(request, now) {
            let record = state.record();
            if record.id == first.id || !self.takes_hedges(state, request, now) {
                continue;
            }
            let (expected, mut cost) = self.cost(state, request, now);
            if record.centre == first.centre {
                cost += SAME_CENTRE_MS;
            }
            candidates.push((Arc::clone(&record.id), expected, cost));
        }
        self.draw_cheapest(candidates)
    }

    /// Returns whether an endpoint has a free slot and nothing speaks against using it.
    fn takes_hedges(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> bool {
        let record = state.record();
        let notices = self
            .peer_notices
            .cost(state.digest(), record.started_ms, now);
        free_slots(state) > 0
            && self.has_slot(state, request, None, now)
            && !state.is_avoided(now)
            && !state.is_cold(now)
            && !state.is_unlisted()
            && state.availability().limit(now).is_none()
            && notices <= 0.0
    }

    /// Returns the times to the first answer for a report of the given scope. Only one report a second
    /// holds them.
    pub(super) fn reported_times(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Vec<KindTimes> {
        let second = |time: Timestamp| time.as_micros() / TIMES_INTERVAL.as_micros() as u64;
        let previous = now - self.report_interval();
        if !self.hedging.is_enabled() || second(now) == second(previous) {
            return Vec::new();
        }
        let includes = |source: &Source| source.is_within(scope) && Some(*source) != recipient;
        self.hedging.reported(includes, now)
    }
}

/// Returns the requests that an endpoint can begin at once.
fn free_slots(state: &EndpointState) -> u32 {
    let slots = state.record().slots;
    slots.saturating_sub(state.load().running)
}
