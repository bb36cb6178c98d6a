//! Reservations and offers.

use super::super::message::Action;
use super::super::pending::Phase;
use super::super::placement::Placement;
use super::{Entry, RETRY_DELAY};
use crate::id::{OfferId, RequestId, ReservationId};
use crate::name::EndpointName;
use crate::refusal::{Refusal, RefusalKind, ReturnReason};
use crate::time::Timestamp;

/// Reservations that one request holds at once.
const FANOUT: usize = 3;

impl Entry {
    /// Starts an attempt to bind a request.
    pub(super) fn bind(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let arrival = &pending.arrival;
        let mut names =
            self.placement
                .candidates(&self.fleet, &arrival.route, &arrival.prefixes, now);
        names.reverse();
        pending.unasked = names;
        pending.phase = Phase::Waiting;
        pending.reason = None;
        let deadline = pending.deadline;
        self.set_timer(request, deadline);
        self.place(request, now, actions);
    }

    /// Places reservations until [`FANOUT`] wait, or refuses the request if nobody is left to ask.
    fn place(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        while pending.waiting.len() < FANOUT {
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
            let refusal = no_place(pending.reason);
            self.refuse(request, refusal, now, actions);
        }
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
        let others = std::mem::take(&mut pending.waiting);
        let withdraw = |endpoint| Action::Withdraw { endpoint, id };
        actions.extend(others.into_iter().map(withdraw));
        let revoked = self.requests.get(&request).and_then(|p| self.revoked(p));
        if let Some(refusal) = revoked {
            actions.push(release);
            return self.refuse(request, refusal, now, actions);
        }
        self.clear_timer(request);
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.phase = Phase::Dispatched {
                endpoint: endpoint.clone(),
                offer,
                begun: false,
            };
        }
        actions.push(Action::Dispatch {
            request,
            endpoint,
            offer,
        });
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
            self.place(id.request, now, actions);
        }
    }
}

/// The refusal of a request that every candidate has returned.
fn no_place(reason: Option<ReturnReason>) -> Refusal {
    let kind = match reason {
        Some(ReturnReason::Full | ReturnReason::Displaced) => RefusalKind::Overloaded,
        Some(ReturnReason::Late) => RefusalKind::DeadlineExceeded,
        Some(ReturnReason::Quarantined) => return Refusal::new(RefusalKind::Quarantined),
        Some(
            ReturnReason::Leaving
            | ReturnReason::EndpointDown
            | ReturnReason::NotConfigured
            | ReturnReason::Withdrawn,
        )
        | None => RefusalKind::NoEndpoint,
    };
    Refusal::new(kind).with_retry(RETRY_DELAY)
}
