//! The state machine of an entry.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::ledger::Ledger;
use super::message::{Action, Arrival, Ending, Event};
use super::pending::{Pending, Phase};
use super::placement::Placement;
use crate::agent::RunStatus;
use crate::fleet::{Fleet, Route, RouteAccess};
use crate::id::{BootNonce, Generation, OfferId, RequestId, ReservationId};
use crate::idempotency;
use crate::name::{EndpointName, HostName, TeamName};
use crate::refusal::{Execution, NotRunReason, Refusal, RefusalKind, ReturnReason};
use crate::time::Timestamp;

/// Reservations that one request holds at once.
const FANOUT: usize = 3;

/// How long an agent that could not be reached is asked last.
const SHUN_TIME: Duration = Duration::from_secs(2);

/// When callers may come back after a refusal for want of capacity.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Name of the team that requests without a key run for, on routes open to all.
pub const OPEN_TEAM: &str = "open";

/// The decisions of one entry process.
#[derive(Debug)]
pub struct Entry {
    name: HostName,
    boot: BootNonce,
    fleet: Arc<Fleet>,
    placement: Placement,
    ledger: Ledger,
    requests: HashMap<RequestId, Pending>,
    leaving: bool,
}

/// What an entry shows of itself on request.
#[derive(Debug, Clone, Serialize)]
pub struct EntryState {
    boot: String,
    generations: BTreeMap<String, Generation>,
    configured: bool,
    waiting: usize,
    dispatched: usize,
    leaving: bool,
}

impl Entry {
    /// An entry that has just started. It refuses everything before it is configured.
    #[must_use]
    pub fn new(name: HostName, boot: BootNonce, seed: u64) -> Self {
        Self {
            name,
            boot,
            fleet: Arc::default(),
            placement: Placement::new(seed),
            ledger: Ledger::default(),
            requests: HashMap::new(),
            leaving: false,
        }
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configured(fleet) => {
                self.ledger.configure(&fleet, now);
                self.fleet = fleet;
            }
            Event::Arrived(arrival) => self.arrive(*arrival, now, &mut actions),
            Event::Offered {
                id,
                endpoint,
                offer,
            } => self.offered(id, endpoint, offer, &mut actions),
            Event::Returned {
                id,
                endpoint,
                reason,
            } => {
                self.returned(id, &endpoint, reason, now, &mut actions);
            }
            Event::Unreachable { id, endpoint } => {
                self.placement.shun(endpoint.clone(), now + SHUN_TIME);
                self.returned(id, &endpoint, ReturnReason::EndpointDown, now, &mut actions);
            }
            Event::Begun(request) => self.begin(request),
            Event::Ended { request, ending } => self.end(request, ending, now, &mut actions),
            Event::Inquired { request, status } => {
                self.inquired(request, status, now, &mut actions);
            }
            Event::CallerGone(request) => self.caller_gone(request, &mut actions),
            Event::Leave => self.leaving = true,
            Event::Tick => self.expire(now, &mut actions),
        }
        actions
    }

    /// When the entry must be given [`Event::Tick`], at the latest.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let waiting = self
            .requests
            .values()
            .filter(|pending| pending.phase == Phase::Waiting);
        waiting
            .map(|pending| pending.deadline)
            .min()
            .unwrap_or(Timestamp::NEVER)
    }

    /// Whether no request is owned, so that a leaving process may exit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// The entry's state for operators.
    #[must_use]
    pub fn state(&self) -> EntryState {
        let waiting = self
            .requests
            .values()
            .filter(|p| p.phase == Phase::Waiting)
            .count();
        EntryState {
            boot: self.boot.to_string(),
            generations: self.fleet.generations.clone(),
            configured: !self.fleet.hosts.is_empty(),
            waiting,
            dispatched: self.requests.len() - waiting,
            leaving: self.leaving,
        }
    }

    fn arrive(&mut self, arrival: Arrival, now: Timestamp, actions: &mut Vec<Action>) {
        let request = arrival.id;
        match self.admit(arrival, now) {
            Ok(pending) => {
                self.requests.insert(request, pending);
                self.place(request, now, actions);
            }
            Err(refusal) => actions.push(Action::Refuse { request, refusal }),
        }
    }

    fn admit(&mut self, arrival: Arrival, now: Timestamp) -> Result<Pending, Refusal> {
        let fleet = Arc::clone(&self.fleet);
        if self.leaving || !fleet.hosts.contains_key(&self.name) {
            return Err(Refusal::new(RefusalKind::Unavailable).with_retry(RETRY_DELAY));
        }
        let route = fleet
            .routes
            .get(&arrival.route)
            .ok_or(Refusal::new(RefusalKind::NoRoute))?;
        let team = self.charge(&arrival, route, now)?;
        Ok(Pending {
            team,
            tier: route.tier,
            deadline: now + route.deadline,
            phase: Phase::Waiting,
            attempt: 0,
            unasked: self.unasked(&arrival, now),
            waiting: BTreeSet::new(),
            reason: None,
            arrival,
        })
    }

    /// Checks key and route, and takes the request's tokens from its team's share.
    fn charge(
        &mut self,
        arrival: &Arrival,
        route: &Route,
        now: Timestamp,
    ) -> Result<TeamName, Refusal> {
        let fleet = Arc::clone(&self.fleet);
        let team = arrival.key.as_ref().and_then(|key| fleet.team_of_key(key));
        let Some(team) = team else {
            return match route.access {
                RouteAccess::Open => {
                    TeamName::new(OPEN_TEAM).map_err(|_| Refusal::new(RefusalKind::Unauthenticated))
                }
                RouteAccess::Teams => Err(Refusal::new(RefusalKind::Unauthenticated)),
            };
        };
        if !fleet.may_use(Some(team), route) {
            return Err(Refusal::new(RefusalKind::Forbidden));
        }
        match self.ledger.take(&fleet, team, arrival.cost.total(), now) {
            Ok(()) => Ok(team.name.clone()),
            Err(Some(delay)) => Err(Refusal::new(RefusalKind::RateExceeded).with_retry(delay)),
            Err(None) => Err(Refusal::new(RefusalKind::RateExceeded)),
        }
    }

    fn unasked(&mut self, arrival: &Arrival, now: Timestamp) -> Vec<EndpointName> {
        if let Some(key) = arrival.call {
            let home = idempotency::home(&self.fleet, &arrival.route, key);
            return home.into_iter().cloned().collect();
        }
        let mut names =
            self.placement
                .candidates(&self.fleet, &arrival.route, &arrival.prefixes, now);
        names.reverse();
        names
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
            self.refuse(request, refusal, actions);
        }
    }

    fn offered(
        &mut self,
        id: ReservationId,
        endpoint: EndpointName,
        offer: OfferId,
        actions: &mut Vec<Action>,
    ) {
        let request = id.request;
        let waiting = self
            .requests
            .get_mut(&request)
            .filter(|pending| pending.awaits(id));
        let Some(pending) = waiting else {
            actions.push(Action::Release {
                endpoint,
                request,
                offer,
            });
            return;
        };
        pending.waiting.remove(&endpoint);
        let withdrawn = std::mem::take(&mut pending.waiting);
        actions.extend(
            withdrawn
                .into_iter()
                .map(|endpoint| Action::Withdraw { endpoint, id }),
        );
        if let Some(refusal) = self.revoked(request) {
            actions.push(Action::Release {
                endpoint,
                request,
                offer,
            });
            self.refuse(request, refusal, actions);
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.phase = Phase::Dispatched {
                endpoint: endpoint.clone(),
                offer,
                begun: false,
            };
            actions.push(Action::Dispatch {
                request,
                endpoint,
                offer,
            });
        }
    }

    /// Checks again, at the last moment before the body leaves, that the key still holds.
    fn revoked(&self, request: RequestId) -> Option<Refusal> {
        let pending = self.requests.get(&request)?;
        let route = self.fleet.routes.get(&pending.arrival.route);
        let Some(route) = route else {
            return Some(Refusal::new(RefusalKind::NoRoute));
        };
        let team = pending
            .arrival
            .key
            .as_ref()
            .and_then(|key| self.fleet.team_of_key(key));
        let same = team.is_some_and(|team| team.name == pending.team);
        if route.access == RouteAccess::Open || (same && self.fleet.may_use(team, route)) {
            return None;
        }
        Some(Refusal::new(RefusalKind::Unauthenticated))
    }

    fn returned(
        &mut self,
        id: ReservationId,
        endpoint: &EndpointName,
        reason: ReturnReason,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let request = id.request;
        let waiting = self
            .requests
            .get_mut(&request)
            .filter(|pending| pending.awaits(id));
        let Some(pending) = waiting else { return };
        if pending.waiting.remove(endpoint) {
            pending.note(reason);
            self.place(request, now, actions);
        }
    }

    fn begin(&mut self, request: RequestId) {
        let phase = self
            .requests
            .get_mut(&request)
            .map(|pending| &mut pending.phase);
        if let Some(Phase::Dispatched { begun, .. }) = phase {
            *begun = true;
        }
    }

    fn end(
        &mut self,
        request: RequestId,
        ending: Ending,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let Phase::Dispatched {
            endpoint,
            offer,
            begun,
        } = pending.phase.clone()
        else {
            return;
        };
        match ending {
            Ending::Whole { output } => self.complete(request, output, actions),
            Ending::NotRun(reason) => self.not_run(request, endpoint, reason, now, actions),
            Ending::NotSent => {
                self.not_run(request, endpoint, NotRunReason::EndpointDown, now, actions);
            }
            Ending::Failed => self.fail(request, Execution::InPart, actions),
            Ending::Lost if begun => self.fail(request, Execution::InPart, actions),
            Ending::Lost => {
                pending.phase = Phase::Inquiring {
                    endpoint: endpoint.clone(),
                    offer,
                };
                actions.push(Action::Inquire {
                    request,
                    endpoint,
                    offer,
                });
            }
        }
    }

    fn complete(&mut self, request: RequestId, output: u32, actions: &mut Vec<Action>) {
        if let Some(pending) = self.requests.remove(&request) {
            let unused = pending.arrival.cost.output.saturating_sub(output);
            self.ledger.refund(&pending.team, u64::from(unused));
        }
        actions.push(Action::Close(request));
    }

    fn fail(&mut self, request: RequestId, execution: Execution, actions: &mut Vec<Action>) {
        let kind = match execution {
            Execution::Unknown => RefusalKind::OutcomeUnknown,
            Execution::NotRun | Execution::InPart | Execution::Complete => {
                RefusalKind::EndpointFailed
            }
        };
        self.requests.remove(&request);
        let refusal = Refusal::new(kind).with_execution(execution);
        actions.push(Action::Refuse { request, refusal });
    }

    /// Binds a request again after the agent's word that nothing ran.
    fn not_run(
        &mut self,
        request: RequestId,
        endpoint: EndpointName,
        reason: NotRunReason,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if reason != NotRunReason::OfferVoid {
            self.placement.shun(endpoint, now + SHUN_TIME);
        }
        let Some(arrival) = self
            .requests
            .get(&request)
            .map(|pending| pending.arrival.clone())
        else {
            return;
        };
        let unasked = self.unasked(&arrival, now);
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempt += 1;
            pending.phase = Phase::Waiting;
            pending.unasked = unasked;
            pending.reason = None;
        }
        self.place(request, now, actions);
    }

    fn inquired(
        &mut self,
        request: RequestId,
        status: Option<RunStatus>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let phase = self
            .requests
            .get(&request)
            .map(|pending| pending.phase.clone());
        let Some(Phase::Inquiring { endpoint, .. }) = phase else {
            return;
        };
        match status {
            Some(RunStatus::NeverRuns) => {
                self.not_run(request, endpoint, NotRunReason::EndpointDown, now, actions);
            }
            Some(RunStatus::Running | RunStatus::Ran) => {
                self.fail(request, Execution::InPart, actions);
            }
            Some(RunStatus::Unknown) | None => self.fail(request, Execution::Unknown, actions),
        }
    }

    fn caller_gone(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        let id = pending.id();
        if pending.phase == Phase::Waiting {
            self.ledger
                .refund(&pending.team, pending.arrival.cost.total());
        }
        let withdraw = |endpoint| Action::Withdraw { endpoint, id };
        actions.extend(pending.waiting.into_iter().map(withdraw));
        actions.push(Action::Close(request));
    }

    fn expire(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let late = |pending: &&Pending| pending.phase == Phase::Waiting && pending.deadline <= now;
        let late: BTreeSet<_> = self
            .requests
            .values()
            .filter(late)
            .map(|p| p.arrival.id)
            .collect();
        for request in late {
            let refusal = Refusal::new(RefusalKind::DeadlineExceeded).with_retry(RETRY_DELAY);
            self.refuse(request, refusal, actions);
        }
    }

    /// Ends a request that has not run: its tokens go back and its reservations are withdrawn.
    fn refuse(&mut self, request: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
        if let Some(pending) = self.requests.remove(&request) {
            self.ledger
                .refund(&pending.team, pending.arrival.cost.total());
            let id = pending.id();
            let withdraw = |endpoint| Action::Withdraw { endpoint, id };
            actions.extend(pending.waiting.into_iter().map(withdraw));
        }
        actions.push(Action::Refuse { request, refusal });
    }
}

/// The refusal of a request that every candidate has returned.
fn no_place(reason: Option<ReturnReason>) -> Refusal {
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
    Refusal::new(kind).with_retry(RETRY_DELAY)
}
