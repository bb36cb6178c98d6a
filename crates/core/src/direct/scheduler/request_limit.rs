//! Endpoints that name the requests per second that they take from all entries together.
//!
//! A few entries have a part of the requests that the limit allows in a sliding window, and keep to
//! it. The parts add up to the limit, whichever entries have been told of it, and need no exchange of
//! counts. The others borrow from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::availability::Absence;
use super::{PlacementRequest, Reason, Scheduler};
use crate::direct::endpoint_table::EndpointState;
use crate::direct::lending::LendingMessage;
use crate::direct::members::ASSUMED_MEMBERS;
use crate::direct::plan::{EndpointId, EndpointRecord};
use crate::direct::report::Incarnation;
use crate::direct::request_limit::RequestLimit;
use crate::direct::send_window::{WINDOW_MAX, split_limit};
use crate::time::Timestamp;

/// Time in which the requests to a limited endpoint are counted, unless it takes less than one in
/// that time.
const WINDOW: Duration = Duration::from_secs(4);

/// Part of the average time between two requests of this entry that has to pass between them.
const SPACING: f64 = 0.5;

/// Number of entries that have a part of an endpoint's limit.
const LENDERS: usize = 8;

/// Questions for requests that may be sent at once, for each service.
const QUESTIONS_LIMIT: usize = 4;

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
        self.allowed_from(state, now) <= now || self.lending.has_lent(state.incarnation(), now)
    }

    /// Returns the time from which this entry's part of an endpoint's limit allows a request, or never
    /// if this entry has no part of it.
    fn allowed_from(&self, state: &EndpointState, now: Timestamp) -> Timestamp {
        let Some(limit) = state.availability().limit(now) else {
            return Timestamp::ZERO;
        };
        let allowance = self.allowance(state, limit, now);
        if allowance.requests == 0 {
            return Timestamp::NEVER;
        }
        let charged = state.charged();
        let room = charged.room_for(allowance.requests, allowance.window);
        let requests = u32::try_from(allowance.requests).unwrap_or(u32::MAX);
        let spacing = (allowance.window / requests).mul_f64(SPACING);
        let spaced = charged
            .last()
            .map_or(Timestamp::ZERO, |last| last + spacing);
        room.max(spaced)
    }

    /// Counts a request that is sent to an endpoint now.
    pub(super) fn charge_limit(&mut self, id: &EndpointId, now: Timestamp) {
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        if now < self.allowed_from(state, now) {
            self.lending.use_lent(state.incarnation(), now);
        } else if let Some(state) = self.endpoints.get_mut(id) {
            state.charge(now);
        }
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
            first = first.min(self.obtainable_from(state, now));
            if first <= patience {
                return None;
            }
        }
        Some(Absence {
            reason: Reason::EndpointsLimited,
            until: (first < Timestamp::NEVER).then_some(first),
        })
    }

    /// Returns the time from which this entry may have or borrow a request to an endpoint.
    fn obtainable_from(&self, state: &EndpointState, now: Timestamp) -> Timestamp {
        let allowed = self.allowed_from(state, now);
        if allowed <= now || self.responsive_lenders(state, now).is_empty() {
            return allowed;
        }
        allowed.min(self.lending.quiet_until(state.incarnation()))
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
            requests: self.lender_part(state, requests, now),
            window,
        }
    }

    /// Returns this entry's part of the requests that a limit allows in a window.
    fn lender_part(&self, state: &EndpointState, requests: f64, now: Timestamp) -> usize {
        if self.is_discovering(now) {
            let rank = self.members.estimated_rank(state.digest(), ASSUMED_MEMBERS);
            return if rank < LENDERS {
                split_limit(requests, LENDERS, rank)
            } else {
                0
            };
        }
        let lenders = state.lenders(&self.members, LENDERS);
        let rank = lenders.iter().position(|lender| *lender == self.own);
        rank.map_or(0, |rank| split_limit(requests, lenders.len(), rank))
    }

    /// Returns the other entries that have a part of an endpoint's limit and respond.
    fn responsive_lenders(&self, state: &EndpointState, now: Timestamp) -> Vec<SocketAddr> {
        let lenders = state.lenders(&self.members, LENDERS);
        let able = lenders
            .iter()
            .filter(|lender| self.members.is_responsive(lender, now));
        able.copied().collect()
    }

    /// Returns the questions with which this entry asks others for requests to limited endpoints, for
    /// which its own requests wait.
    pub fn lending_questions(&mut self, now: Timestamp) -> Vec<(SocketAddr, LendingMessage)> {
        if !self.endpoints.has_limits(now) {
            return Vec::new();
        }
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<_> = waiting
            .map(|(service, queue)| (Arc::clone(service), queue.len()))
            .collect();
        let mut questions = Vec::new();
        for (service, waiting) in services {
            let most = waiting.min(QUESTIONS_LIMIT);
            let endpoints = self.borrowable(&service, most, now);
            for (endpoint, lenders) in endpoints {
                let first = self.random.random_range(0..LENDERS);
                questions.extend(self.lending.ask(endpoint, &lenders, first, now));
            }
        }
        questions
    }

    /// Returns up to `most` endpoints of a service that have a free slot, and of which this entry has
    /// no request left, with the entries that may lend one.
    fn borrowable(
        &self,
        service: &str,
        most: usize,
        now: Timestamp,
    ) -> Vec<(Incarnation, Vec<SocketAddr>)> {
        let limited = self.endpoints.of_service(service).filter(|state| {
            state.is_usable(now)
                && !self.closed.contains(&state.record().centre)
                && state.load().running < state.record().slots.max(1)
                && self.lending.quiet_until(state.incarnation()) <= now
                && !self.is_allowed(state, now)
        });
        let asked = limited.take(most);
        asked
            .map(|state| (state.incarnation(), self.responsive_lenders(state, now)))
            .collect()
    }

    /// Applies a peer's message about borrowed requests. Returns the answer to a question.
    pub fn apply_lending_message(
        &mut self,
        from: SocketAddr,
        message: LendingMessage,
        now: Timestamp,
    ) -> Option<LendingMessage> {
        match message {
            LendingMessage::Ask { endpoint, number } => Some(self.lend(endpoint, number, now)),
            LendingMessage::Lent { endpoint, number } => {
                self.lending.record_lent(endpoint, from, number, now);
                None
            }
            LendingMessage::Denied {
                endpoint,
                number,
                wait,
            } => {
                let wait = Duration::from_millis(wait.into());
                self.lending
                    .record_denied(endpoint, from, number, wait, now);
                None
            }
        }
    }

    /// Lends a request of this entry's part, if there is one.
    fn lend(&mut self, endpoint: Incarnation, number: u64, now: Timestamp) -> LendingMessage {
        let state = self.endpoints.incarnation(endpoint);
        let from = state.map_or(Timestamp::NEVER, |state| self.allowed_from(state, now));
        // Nothing is known of an endpoint without a limit that could be lent.
        let is_limited = state.is_some_and(|state| state.availability().limit(now).is_some());
        if !is_limited || now < from {
            return LendingMessage::denied(endpoint, number, from, now);
        }
        if let Some(state) = self.endpoints.incarnation_mut(endpoint) {
            state.charge(now);
        }
        LendingMessage::Lent { endpoint, number }
    }
}
