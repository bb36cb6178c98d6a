//! Admission of reservations to the queue.

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

/// A reservation lets shorter ones overtake it for this multiple of its own service time.
const OVERTAKE_FACTOR: u64 = 4;

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
            return self.return_reservation(id, ReturnReason::NotConfigured, actions);
        }
        if self.is_stale(id) {
            return self.return_reservation(id, ReturnReason::Withdrawn, actions);
        }
        if let Err(reason) = self.check_key(&reservation, now) {
            return self.return_reservation(id, reason, actions);
        }
        if !self.is_duplicate(id) {
            self.enqueue(reservation, now, actions);
        }
    }

    /// Checks whether the idempotency key of a call allows it to run.
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
            self.offer_ratio.observe(0, 1);
            self.return_reservation(id, ReturnReason::Withdrawn, actions);
        }
        self.offers.withdraw(id);
    }

    /// Withdraws every queued or offered attempt of a request.
    pub(super) fn withdraw_attempts(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        self.offers.void_request(request);
        if let Some(attempt) = self.queue.attempt(request) {
            self.withdraw(ReservationId { request, attempt }, actions);
        }
    }

    pub(super) fn return_reservation(
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

    /// Returns whether a later attempt of the request is known, or the request has run.
    fn is_stale(&self, id: ReservationId) -> bool {
        let later = |attempt| attempt > id.attempt;
        self.running.contains_key(&id.request)
            || self.history.has_run(id.request)
            || self.queue.attempt(id.request).is_some_and(later)
            || self.offers.attempt(id.request).is_some_and(later)
    }

    /// Returns whether the reservation is already queued or has an offer.
    fn is_duplicate(&self, id: ReservationId) -> bool {
        let same = Some(id.attempt);
        self.queue.attempt(id.request) == same || self.offers.attempt(id.request) == same
    }

    fn enqueue(&mut self, reservation: Reservation, now: Timestamp, actions: &mut Vec<Action>) {
        let id = reservation.id;
        self.withdraw_attempts(id.request, actions);
        let waiting = self.with_estimates(reservation, now);
        let wait = self.expected_wait(&waiting);
        if now + wait >= waiting.latest_start() {
            return self.return_reservation(id, ReturnReason::Late, actions);
        }
        let weight = self.weight(&waiting.reservation.team);
        match self.queue.push(waiting, weight) {
            Admission::Queued => {}
            Admission::Displaced(other) => {
                self.return_reservation(other.reservation.id, ReturnReason::Displaced, actions);
            }
            Admission::Full => self.return_reservation(id, ReturnReason::Full, actions),
        }
    }

    /// Adds the estimates of size and service time to a reservation, and its queue rank.
    fn with_estimates(&mut self, reservation: Reservation, now: Timestamp) -> Waiting {
        let (route, cost) = (&reservation.route, reservation.cost);
        let tokens = u64::from(cost.prompt) + self.estimator.expected_output(route, cost);
        let class = self.classifier.classify(tokens, now);
        let expected = self.estimator.service_time(route, cost);
        let margin = micros(expected).saturating_mul(OVERTAKE_FACTOR);
        let rank = match self.policy.order {
            Order::Arrival => now.as_micros(),
            Order::ShortFirst => now.as_micros().saturating_add(margin),
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

    /// Returns the expected time until a new reservation gets a slot. The work ahead of it is
    /// scaled by the recent fraction of queued reservations that were served here, since the others
    /// are withdrawn when another endpoint serves them.
    fn expected_wait(&self, waiting: &Waiting) -> Duration {
        let Some(limiter) = &self.limiter else {
            return Duration::ZERO;
        };
        let Reservation { tier, team, .. } = &waiting.reservation;
        let ahead = self.queue.work_ahead(*tier, team, waiting.class);
        let served = self.offer_ratio.expected_total(micros(ahead)).unwrap_or(0);
        Duration::from_micros(served / u64::from(limiter.limit().max(1)))
    }
}
