//! Late binding: reserves slots at several agents and accepts the first offer.

use std::time::Duration;

use super::super::message::Action;
use super::super::pending::{FANOUT, Phase};
use super::super::placement::Placement;
use super::Entry;
use crate::id::{OfferId, RequestId, ReservationId};
use crate::idempotency;
use crate::name::EndpointName;
use crate::refusal::{Execution, Refusal, RefusalKind, ReturnReason};
use crate::time::Timestamp;

/// Time during which only the agent that probably caches the prompt holds a reservation.
const WIDEN_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of further rounds over all agents for a request that was displaced.
const ROUND_LIMIT: u32 = 3;

impl Entry {
    /// Starts an attempt to bind a request to an agent: selects the candidates and reserves at the
    /// first ones.
    pub(super) fn bind(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let body = self.requests.get(&request).map(|p| p.arrival.body);
        let isolated = body.is_some_and(|body| self.is_suspect(body, now));
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.isolated = isolated;
        let arrival = &pending.arrival;
        pending.candidates = if let Some(key) = arrival.call {
            let owner = idempotency::owner(&self.fleet, &arrival.route, key);
            owner.into_iter().cloned().collect()
        } else {
            let fleet = &self.fleet;
            let names = self
                .placement
                .candidates(fleet, &arrival.route, &arrival.prefixes, now);
            names.into_iter().rev().collect()
        };
        pending.phase = Phase::AwaitingOffer;
        pending.reason = None;
        pending.displaced = false;
        pending.first_bound = pending.first_bound.min(now);
        let has_prefixes = !pending.arrival.prefixes.is_empty();
        pending.fanout = if isolated || has_prefixes { 1 } else { FANOUT };
        let mut time = pending.deadline;
        if has_prefixes && !isolated {
            time = time.min(now + WIDEN_DELAY);
        }
        self.set_timer(request, time);
        self.reserve(request, now, actions);
    }

    /// Places reservations until the request holds as many as it may, at most [`FANOUT`]. Refuses
    /// the request if it holds none and no candidate is left.
    fn reserve(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        while pending.reserved.len() < pending.fanout {
            let Some(endpoint) = pending.candidates.pop() else {
                break;
            };
            if !Placement::is_eligible(&self.fleet, &endpoint) {
                continue;
            }
            let reservation = Box::new(pending.reservation(&self.name, self.boot, now));
            pending.reserved.insert(endpoint.clone());
            actions.push(Action::Reserve {
                endpoint,
                reservation,
            });
        }
        if pending.reserved.is_empty() {
            self.handle_exhausted(request, now, actions);
        }
    }

    /// Reserves at more agents because the one that probably caches the prompt has not made an
    /// offer within [`WIDEN_DELAY`].
    pub(super) fn widen(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.widen();
            let deadline = pending.deadline;
            self.set_timer(request, deadline);
            self.reserve(request, now, actions);
        }
    }

    /// Handles a request whose reservation every candidate has returned.
    ///
    /// An agent without a free slot may have accepted less urgent work since it returned the
    /// reservation. A displaced request therefore tries all agents again and is shed only after a
    /// round in which each agent has reported that no less urgent request waits there, or after
    /// [`ROUND_LIMIT`] rounds.
    fn handle_exhausted(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if pending.displaced && pending.rounds < ROUND_LIMIT {
            pending.rounds += 1;
            pending.attempt += 1;
            return self.bind(request, now, actions);
        }
        let delay = self.route_waits.retry_delay(&pending.arrival.route);
        let refusal = exhausted_refusal(pending.reason, delay);
        self.refuse(request, refusal, now, actions);
    }

    pub(super) fn handle_offer(
        &mut self,
        id: ReservationId,
        endpoint: EndpointName,
        offer: OfferId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let request = id.request;
        let release = Action::Release {
            endpoint: endpoint.clone(),
            request,
            offer,
        };
        let pending = self.requests.get_mut(&request);
        let Some(pending) = pending.filter(|pending| pending.is_current(id)) else {
            return actions.push(release);
        };
        pending.reserved.remove(&endpoint);
        if !Placement::is_eligible(&self.fleet, &endpoint) {
            pending.record_return(ReturnReason::Leaving);
            actions.push(release);
            return self.reserve(request, now, actions);
        }
        let wait = now.since(pending.first_bound);
        self.route_waits.record(&pending.arrival.route, wait);
        let others = std::mem::take(&mut pending.reserved);
        let withdraw = |endpoint| Action::Withdraw { endpoint, id };
        actions.extend(others.into_iter().map(withdraw));
        if self.stops_dispatch(request, now, actions) {
            return actions.push(release);
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            self.undispatched.remove(&pending.shed_key());
            self.placement
                .record_sent(&endpoint, &pending.arrival.prefixes);
            pending.phase = Phase::Dispatched {
                endpoint: endpoint.clone(),
                offer,
                answering: false,
            };
            let deadline = pending.deadline;
            self.set_timer(request, deadline);
        }
        actions.push(Action::Dispatch {
            request,
            endpoint,
            offer,
        });
    }

    /// Checks just before the body is sent that the request may still run and that its reservation
    /// still fits: a body that has become suspect in the meantime has to be reserved to run alone.
    /// Returns whether the dispatch is stopped.
    fn stops_dispatch(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(pending) = self.requests.get(&request) else {
            return true;
        };
        let body = pending.arrival.body;
        let refusal = self
            .access_refusal(pending)
            .or(self.quarantine_refusal(body, now));
        if let Some(refusal) = refusal {
            self.refuse(request, refusal, now, actions);
            return true;
        }
        let suspect = self.is_suspect(body, now);
        let Some(pending) = self.requests.get_mut(&request) else {
            return true;
        };
        if suspect && !pending.isolated {
            pending.attempt += 1;
            self.bind(request, now, actions);
            return true;
        }
        false
    }

    pub(super) fn handle_return(
        &mut self,
        id: ReservationId,
        endpoint: &EndpointName,
        reason: ReturnReason,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.requests.get_mut(&id.request);
        let Some(pending) = pending.filter(|pending| pending.is_current(id)) else {
            return;
        };
        if pending.reserved.remove(endpoint) {
            pending.record_return(reason);
            pending.widen();
            self.reserve(id.request, now, actions);
        }
    }
}

/// Returns the refusal of a request whose reservation every candidate has returned.
fn exhausted_refusal(reason: Option<ReturnReason>, delay: Duration) -> Refusal {
    let kind = match reason {
        Some(ReturnReason::Full | ReturnReason::Displaced) => RefusalKind::Overloaded,
        Some(ReturnReason::Late) => RefusalKind::DeadlineExceeded,
        Some(ReturnReason::KeyRunning | ReturnReason::KeyUnknown) => {
            return Refusal::new(RefusalKind::Duplicate).with_execution(Execution::Unknown);
        }
        Some(ReturnReason::KeyComplete) => {
            return Refusal::new(RefusalKind::Duplicate).with_execution(Execution::Complete);
        }
        Some(ReturnReason::Quarantined) => return Refusal::new(RefusalKind::Quarantined),
        Some(
            ReturnReason::Leaving
            | ReturnReason::EndpointDown
            | ReturnReason::NotConfigured
            | ReturnReason::Withdrawn,
        )
        | None => RefusalKind::NoEndpoint,
    };
    Refusal::new(kind).with_retry(delay)
}
