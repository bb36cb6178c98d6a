//! Which reservations wait.

use std::time::Duration;

use super::Agent;
use crate::agent::estimate::micros;
use crate::agent::message::Action;
use crate::agent::policy::{Lateness, Order};
use crate::agent::queue::{Admission, Waiting};
use crate::id::{RequestId, ReservationId};
use crate::idempotency::KeyUse;
use crate::name::TeamName;
use crate::refusal::ReturnReason;
use crate::request::Reservation;
use crate::time::Timestamp;

/// How many times its own service time a reservation lets shorter ones go ahead.
const PATIENCE_FACTOR: u64 = 4;

impl Agent {
    pub(super) fn reserve(
        &mut self,
        reservation: Reservation,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let id = reservation.id;
        let known = self.fleet.hosts.contains_key(&reservation.entry)
            && self.fleet.routes.contains_key(&reservation.route);
        if !known {
            return self.give_back(id, ReturnReason::NotConfigured, actions);
        }
        if self.is_stale(id) {
            return self.give_back(id, ReturnReason::Withdrawn, actions);
        }
        if let Err(reason) = self.check_key(&reservation, now) {
            return self.give_back(id, reason, actions);
        }
        if !self.is_repeated(id) {
            self.enqueue(reservation, now, actions);
        }
    }

    /// Whether a call may run as far as its idempotency key is concerned.
    pub(super) fn check_key(
        &self,
        reservation: &Reservation,
        now: Timestamp,
    ) -> Result<(), ReturnReason> {
        let Some(key) = reservation.call else {
            return Ok(());
        };
        let known = self
            .keys
            .check(&self.name, &self.fleet, &reservation.route, key, now);
        known.map_err(|state| match state {
            KeyUse::Running => ReturnReason::KeyRunning,
            KeyUse::Complete => ReturnReason::KeyComplete,
            KeyUse::Unknown => ReturnReason::KeyUnknown,
            KeyUse::Elsewhere => ReturnReason::NotConfigured,
        })
    }

    pub(super) fn withdraw(&mut self, id: ReservationId, actions: &mut Vec<Action>) {
        if self.queue.remove(id).is_some() {
            self.demand.observe(0, 1);
            self.give_back(id, ReturnReason::Withdrawn, actions);
        }
        self.offers.withdraw(id);
    }

    /// Drops what waits or is offered for other attempts of a request.
    pub(super) fn drop_attempts(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        self.offers.void_request(request);
        if let Some(attempt) = self.queue.attempt(request) {
            self.withdraw(ReservationId { request, attempt }, actions);
        }
    }

    pub(super) fn give_back(
        &mut self,
        id: ReservationId,
        reason: ReturnReason,
        actions: &mut Vec<Action>,
    ) {
        self.returns.count(reason);
        actions.push(Action::Return { id, reason });
    }

    pub(super) fn weight(&self, team: &TeamName) -> u32 {
        self.fleet.teams.get(team).map_or(1, |team| team.weight)
    }

    /// Whether the request has gone on to a later attempt, or has run.
    fn is_stale(&self, id: ReservationId) -> bool {
        let later = |attempt| attempt > id.attempt;
        self.running.contains_key(&id.request)
            || self.history.has_run(id.request)
            || self.queue.attempt(id.request).is_some_and(later)
            || self.offers.attempt(id.request).is_some_and(later)
    }

    /// Whether the reservation waits already or has an offer.
    fn is_repeated(&self, id: ReservationId) -> bool {
        let same = Some(id.attempt);
        self.queue.attempt(id.request) == same || self.offers.attempt(id.request) == same
    }

    fn enqueue(&mut self, reservation: Reservation, now: Timestamp, actions: &mut Vec<Action>) {
        let id = reservation.id;
        self.drop_attempts(id.request, actions);
        let waiting = self.expect(reservation, now);
        let wait = self.expected_wait(&waiting);
        if now + wait >= waiting.latest_start() {
            return self.give_back(id, ReturnReason::Late, actions);
        }
        let weight = self.weight(&waiting.reservation.team);
        match self.queue.push(waiting, weight) {
            Admission::Kept => {}
            Admission::Displaced(other) => {
                self.give_back(other.reservation.id, ReturnReason::Displaced, actions);
            }
            Admission::Full => self.give_back(id, ReturnReason::Full, actions),
        }
    }

    /// Adds what is expected of a reservation.
    fn expect(&mut self, reservation: Reservation, now: Timestamp) -> Waiting {
        let (route, cost) = (&reservation.route, reservation.cost);
        let tokens = u64::from(cost.prompt) + self.estimator.output(route, cost);
        let class = self.sizes.class(tokens, now);
        let expected = self.estimator.service(route, cost);
        let patience = micros(expected).saturating_mul(PATIENCE_FACTOR);
        let rank = match self.policy.order {
            Order::Arrival => now.as_micros(),
            Order::ShortFirst => now.as_micros().saturating_add(patience),
        };
        let service = match self.policy.lateness {
            Lateness::Deadline => Duration::ZERO,
            Lateness::Expected => expected,
        };
        Waiting {
            deadline: now + reservation.remaining,
            reservation,
            service,
            class,
            rank,
        }
    }

    /// Time until a new reservation is expected to get a slot. Reservations ahead of it count only
    /// as often as those here used to be served here.
    fn expected_wait(&self, waiting: &Waiting) -> Duration {
        let Some(slots) = &self.slots else {
            return Duration::ZERO;
        };
        let Reservation { tier, team, .. } = &waiting.reservation;
        let ahead = self.queue.work_ahead(*tier, team, waiting.class);
        let served = self.demand.of(micros(ahead)).unwrap_or(0);
        Duration::from_micros(served / u64::from(slots.limit().max(1)))
    }
}
