//! Requests that find no slot: which of them wait, how long, and when refused callers may return.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::{Outcome, PlacementRefusal, PlacementRequest, Reason, Scheduler, Ticket};
use crate::direct::admission::Admission;
use crate::direct::drain::{Ahead, Drain, Turn};
use crate::direct::endpoint_table::{EndpointState, Run};
use crate::direct::return_places::{Refused, ReturnPlaces, Returned};
use crate::direct::wait_queue::QueuePosition;
use crate::time::Timestamp;

/// Range of the delay after which a refused caller without a place may retry. The delay is drawn at
/// random, so that callers refused together do not return together.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(900), Duration::from_millis(3_400));

/// Longest wait for a slot of a short request that can no longer meet its objective.
const LATE_WAIT_LIMIT: Duration = Duration::from_millis(1_600);

/// Longest wait for a slot of a long request whose caller has returned.
const RETURN_WAIT_LIMIT: Duration = Duration::from_secs(3);

/// Time for which a request with a place asks the same endpoints for a slot.
const ASKING_INTERVAL: Duration = Duration::from_millis(100);

/// One endpoint in this many is asked at a time.
const ASKED_PART: u64 = 16;

/// Time without a refusal after which the room for those who return is measured anew.
const CALM_TIME: Duration = Duration::from_secs(1);

/// What is known of one service for deciding on requests that find no slot.
#[derive(Debug)]
struct ServiceAdmission {
    drain: Drain,
    /// The drain of long requests alone, since requests are refused.
    long_drain: Drain,
    /// When a request was last refused.
    refused: Timestamp,
    admission: Admission,
    places: ReturnPlaces,
}

/// What is known of all services for deciding on requests that find no slot.
#[derive(Debug, Default)]
pub(super) struct Admissions {
    services: BTreeMap<Arc<str>, ServiceAdmission>,
    /// Longest deadline, by kind of request.
    longest: HashMap<Arc<str>, Duration>,
}

impl ServiceAdmission {
    /// Records that a request is refused. What started while there was room for all tells nothing
    /// of the room that there is from now on.
    fn record_refusal(&mut self, now: Timestamp) {
        if self.refused + CALM_TIME <= now {
            self.long_drain = Drain::new(now);
        }
        self.refused = now;
    }
}

impl Admissions {
    fn service(&mut self, service: &Arc<str>, now: Timestamp) -> &mut ServiceAdmission {
        let known = self.services.entry(Arc::clone(service));
        known.or_insert_with(|| ServiceAdmission {
            drain: Drain::new(now),
            long_drain: Drain::new(now),
            refused: Timestamp::ZERO,
            admission: Admission::default(),
            places: ReturnPlaces::default(),
        })
    }

    /// Returns the longest deadline of the request's kind so far.
    fn longest_deadline(&mut self, request: &PlacementRequest) -> Duration {
        let given = request.elapsed + request.deadline.since(request.arrived);
        let longest = self.longest.entry(Arc::clone(&request.kind)).or_default();
        *longest = given.max(*longest);
        *longest
    }

    /// Records how long a request has waited that waits no longer.
    pub(super) fn record_wait(&mut self, request: &PlacementRequest, now: Timestamp) {
        if let Some(service) = self.services.get_mut(&request.service) {
            let waited = now.since(request.arrived);
            service.admission.record_wait(request.ticket, waited);
        }
    }

    /// Forgets a request that was withdrawn.
    pub(super) fn forget(&mut self, service: &str, ticket: Ticket) {
        if let Some(service) = self.services.get_mut(service) {
            service.admission.forget(ticket);
        }
    }
}

impl Scheduler {
    /// Returns whether it is forecast when a request starts, and its caller may be given a place.
    fn is_forecast(&self, request: &PlacementRequest) -> bool {
        self.policies.return_places && request.streaming && request.build.is_none()
    }

    /// Returns whether the caller of a request was refused before, and is served although it is
    /// late.
    pub(super) fn is_returning(&self, request: &PlacementRequest) -> bool {
        self.is_forecast(request) && !request.is_short() && !request.elapsed.is_zero()
    }

    /// Returns whether the caller of a request returned to its place, which is kept whatever this
    /// entry's share is.
    pub(super) fn has_place(&self, request: &PlacementRequest) -> bool {
        let service = self.admissions.services.get(&request.service);
        self.is_returning(request)
            && service.is_some_and(|service| service.places.is_granted(&returned(request)))
    }

    /// Returns whether an endpoint may be asked for a slot although it has none by the peers' reports.
    /// They may be old, and an entry with few requests would never see a slot before others take it.
    /// A request with a place asks a few endpoints at a time.
    pub(super) fn may_ask(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> bool {
        let service = self.plan.services.get(&request.service);
        let reserves = service.is_some_and(|service| !service.reservation.is_zero());
        if !reserves || !self.has_place(request) || state.is_cold(now) {
            return false;
        }
        let round = now.as_micros() / ASKING_INTERVAL.as_micros() as u64;
        let turn = state
            .digest()
            .wrapping_add(request.ticket.0)
            .wrapping_add(round);
        turn.is_multiple_of(ASKED_PART)
    }

    /// Returns the position of an arriving request in its queue.
    pub(super) fn position(
        &mut self,
        request: &PlacementRequest,
        late: bool,
        now: Timestamp,
    ) -> QueuePosition {
        let position = QueuePosition::new(request, late);
        if self.is_forecast(request) {
            self.admissions.longest_deadline(request);
        }
        if !late || !self.is_returning(request) {
            return position;
        }
        let returned = returned(request);
        let service = self.admissions.service(&request.service, now);
        position.with_turn(service.places.turn(&returned))
    }

    /// Records that a request was sent to an endpoint.
    pub(super) fn record_start(
        &mut self,
        request: &PlacementRequest,
        position: &QueuePosition,
        now: Timestamp,
    ) {
        if !self.is_forecast(request) {
            return;
        }
        let class = position.class();
        let service = self.admissions.service(&request.service, now);
        service.drain.record_start(class, now);
        if !request.is_short() {
            service.long_drain.record_start(class, now);
            service.places.record_start(class.level);
        }
    }

    /// Records that an endpoint had no slot for a request.
    pub(super) fn record_full(&mut self, run: &Run, now: Timestamp) {
        let lag = self.full_lag(now);
        self.endpoints.record_full(run, lag, now);
        let state = self.endpoints.get(&run.endpoint);
        let service = state.map(|state| &state.record().service);
        if let Some(known) = service.and_then(|service| self.admissions.services.get_mut(service)) {
            known.drain.take_back();
            known.long_drain.take_back();
        }
    }

    /// Returns whether a request without a slot waits for one: it has a place, or is forecast to
    /// start in time. Late short requests wait behind others that will be refused before them, so
    /// their start is not forecast.
    pub(super) fn admits(
        &mut self,
        request: &PlacementRequest,
        position: &QueuePosition,
        now: Timestamp,
    ) -> bool {
        let has_place = position.class().turn == Turn::Placed;
        let is_late_short = position.is_late() && request.is_short();
        if !self.is_forecast(request) || has_place || is_late_short {
            return true;
        }
        let queue = self.queues.get(&request.service);
        let ahead = queue.map_or(Ahead::default(), |queue| queue.ahead(position));
        let left = self.latest_start(position, request, now).since(now);
        let service = self.admissions.service(&request.service, now);
        let forecast = service.drain.forecast(position.class(), ahead, now);
        service.admission.admit(request.ticket, forecast, left)
    }

    /// Returns when a request has to start at the latest.
    fn latest_start(
        &self,
        position: &QueuePosition,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Timestamp {
        if position.is_late() {
            return self.wait_limit(request).max(now);
        }
        let first_byte = Duration::from_secs_f64(self.idle_first_byte_ms(request) / 1_000.0);
        (request.objective - first_byte).max(now)
    }

    /// Returns whether a queued request has waited too long.
    pub(super) fn is_overdue(
        &self,
        position: &QueuePosition,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> bool {
        if position.is_late() {
            self.wait_limit(request) <= now
        } else {
            self.is_late(request, now)
        }
    }

    /// Returns until when a request that misses its objective may wait, so that its answer can
    /// still complete before the deadline. A long request may not wait at all, unless its caller
    /// has returned: it is queued behind every request that can meet its objective, so it is
    /// refused at once with a delay for the retry.
    pub(super) fn wait_limit(&self, request: &PlacementRequest) -> Timestamp {
        if !request.is_short() && !self.is_returning(request) {
            return request.arrived;
        }
        let need = request.slot_time() * 2;
        let left = request.deadline.since(request.arrived).saturating_sub(need);
        let limit = match request.is_short() {
            true => LATE_WAIT_LIMIT,
            false => RETURN_WAIT_LIMIT,
        };
        request.arrived + limit.min(left)
    }

    /// Refuses a request. If its caller can be given a place, the delay ends then.
    pub(super) fn refuse(
        &mut self,
        request: &PlacementRequest,
        reason: Reason,
        now: Timestamp,
    ) -> Outcome {
        if reason == Reason::Overloaded && self.is_forecast(request) && !request.is_short() {
            return Outcome::Refused(self.refuse_with_place(request, now));
        }
        let span = RETRY_AFTER_RANGE.1 - RETRY_AFTER_RANGE.0;
        let drawn = RETRY_AFTER_RANGE.0 + span.mul_f64(self.random.random());
        let left = request.deadline.since(now);
        Outcome::Refused(PlacementRefusal {
            reason,
            retry_after: drawn.min(left / 3),
        })
    }

    /// Refuses a request with a place, or with the truth that there is no room before its deadline.
    fn refuse_with_place(
        &mut self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> PlacementRefusal {
        let left = request.deadline.since(now);
        let level = QueuePosition::new(request, false).class().level;
        let longest = self.admissions.longest_deadline(request);
        let chance = self.random.random();
        let service = self.admissions.service(&request.service, now);
        service.record_refusal(now);
        let refused = Refused {
            level,
            left,
            longest,
            need: request.slot_time() * 2 + LATE_WAIT_LIMIT,
            rate: service.long_drain.level_rate(level, now),
        };
        let is_first = request.elapsed.is_zero();
        let place = is_first.then(|| service.places.give(&refused, chance, now));
        match place.flatten() {
            Some(retry_after) => PlacementRefusal {
                reason: Reason::Overloaded,
                retry_after,
            },
            None => PlacementRefusal {
                reason: Reason::NoRoom,
                retry_after: left,
            },
        }
    }
}

/// Returns what a request shows of the time that its caller has spent.
fn returned(request: &PlacementRequest) -> Returned {
    Returned {
        level: QueuePosition::new(request, true).class().level,
        arrived: request.arrived,
        elapsed: request.elapsed,
        left: request.deadline.since(request.arrived),
    }
}
