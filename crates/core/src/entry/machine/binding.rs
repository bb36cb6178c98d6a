//! Reservations and offers.

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

/// How long the agent that probably caches a prompt is asked alone.
const WIDEN_DELAY: Duration = Duration::from_millis(20);

/// Rounds over all agents for a request that was displaced.
const ROUNDS_LIMIT: u32 = 3;

impl Entry {
    /// Starts an attempt to bind a request.
    pub(super) fn bind(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let body = self.requests.get(&request).map(|p| p.arrival.body);
        let alone = body.is_some_and(|body| self.is_suspect(body, now));
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.alone = alone;
        let arrival = &pending.arrival;
        pending.unasked = if let Some(key) = arrival.call {
            let home = idempotency::owner(&self.fleet, &arrival.route, key);
            home.into_iter().cloned().collect()
        } else {
            let fleet = &self.fleet;
            let names = self
                .placement
                .candidates(fleet, &arrival.route, &arrival.prefixes, now);
            names.into_iter().rev().collect()
        };
        pending.phase = Phase::Waiting;
        pending.reason = None;
        pending.displaced = false;
        pending.bound = pending.bound.min(now);
        let favoured = !pending.arrival.prefixes.is_empty();
        pending.fanout = if alone || favoured { 1 } else { FANOUT };
        let mut time = pending.deadline;
        if favoured && !alone {
            time = time.min(now + WIDEN_DELAY);
        }
        self.set_timer(request, time);
        self.place(request, now, actions);
    }

    /// Places reservations until [`FANOUT`] wait, or refuses the request if nobody is left to ask.
    fn place(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        while pending.waiting.len() < pending.fanout {
            let Some(endpoint) = pending.unasked.pop() else {
                break;
            };
            if !Placement::is_eligible(&self.fleet, &endpoint) {
                continue;
            }
            let reservation = Box::new(pending.reservation(&self.name, self.boot, now));
            pending.waiting.insert(endpoint.clone());
            actions.push(Action::Reserve {
                endpoint,
                reservation,
            });
        }
        if pending.waiting.is_empty() {
            self.nowhere(request, now, actions);
        }
    }

    /// Reserves at more agents, since the one that probably caches the prompt has not offered yet.
    pub(super) fn widen(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.widen();
            let deadline = pending.deadline;
            self.set_timer(request, deadline);
            self.place(request, now, actions);
        }
    }

    /// Handles a request that every candidate has returned.
    ///
    /// An agent that had no place may have given one to less urgent work since. So a request that was
    /// displaced asks all agents again before it is shed: it is shed only after a round in which each
    /// answered that nothing less urgent waits there.
    fn nowhere(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if pending.displaced && pending.rounds < ROUNDS_LIMIT {
            pending.rounds += 1;
            pending.attempt += 1;
            return self.bind(request, now, actions);
        }
        let retry = self.waits.retry(&pending.arrival.route);
        let refusal = no_place(pending.reason, retry);
        self.refuse(request, refusal, now, actions);
    }

    pub(super) fn offered(
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
        let waiting = self.requests.get_mut(&request);
        let Some(pending) = waiting.filter(|pending| pending.awaits(id)) else {
            return actions.push(release);
        };
        pending.waiting.remove(&endpoint);
        if !Placement::is_eligible(&self.fleet, &endpoint) {
            pending.note(ReturnReason::Leaving);
            actions.push(release);
            return self.place(request, now, actions);
        }
        let wait = now.since(pending.bound);
        self.waits.note(&pending.arrival.route, wait);
        let others = std::mem::take(&mut pending.waiting);
        let withdraw = |endpoint| Action::Withdraw { endpoint, id };
        actions.extend(others.into_iter().map(withdraw));
        if self.stop(request, now, actions) {
            return actions.push(release);
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            self.undispatched.remove(&pending.rank());
            self.placement.sent(&endpoint, &pending.arrival.prefixes);
            pending.phase = Phase::Dispatched {
                endpoint: endpoint.clone(),
                offer,
                begun: false,
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

    /// Checks at the last moment before the body leaves whether it still may, and as it was reserved.
    fn stop(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(&request) else {
            return true;
        };
        let body = pending.arrival.body;
        let refusal = self.revoked(pending).or(self.quarantined(body, now));
        if let Some(refusal) = refusal {
            self.refuse(request, refusal, now, actions);
            return true;
        }
        let apart = self.is_suspect(body, now);
        let Some(pending) = self.requests.get_mut(&request) else {
            return true;
        };
        if apart && !pending.alone {
            pending.attempt += 1;
            self.bind(request, now, actions);
            return true;
        }
        false
    }

    pub(super) fn returned(
        &mut self,
        id: ReservationId,
        endpoint: &EndpointName,
        reason: ReturnReason,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let waiting = self.requests.get_mut(&id.request);
        let Some(pending) = waiting.filter(|pending| pending.awaits(id)) else {
            return;
        };
        if pending.waiting.remove(endpoint) {
            pending.note(reason);
            pending.widen();
            self.place(id.request, now, actions);
        }
    }
}

/// The refusal of a request that every candidate has returned.
fn no_place(reason: Option<ReturnReason>, retry: Duration) -> Refusal {
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
    Refusal::new(kind).with_retry(retry)
}
