//! The state machine of an agent.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::Serialize;

use super::history::{History, RunStatus};
use super::message::{Action, Event, RunEnd};
use super::offers::{OFFER_LIFETIME, Offers};
use super::queue::{Admission, Charge, Queue, QueueDepth, Waiting};
use super::slots::Slots;
use crate::fleet::{Endpoint, Fleet};
use crate::id::{BootNonce, Generation, OfferId, RequestId, ReservationId};
use crate::name::{EndpointName, TeamName};
use crate::refusal::{NotRunReason, ReturnReason};
use crate::request::{Cost, Reservation, Tier};
use crate::time::Timestamp;

/// Reservations that wait at one agent at most.
const QUEUE_LIMIT: usize = 1_024;

/// A body that the endpoint is working on.
#[derive(Debug)]
struct Running {
    offer: OfferId,
    tier: Tier,
    team: TeamName,
    cost: Cost,
}

/// The decisions of one agent process.
#[derive(Debug)]
pub struct Agent {
    name: EndpointName,
    fleet: Arc<Fleet>,
    slots: Option<Slots>,
    queue: Queue,
    offers: Offers,
    running: HashMap<RequestId, Running>,
    history: History,
    endpoint: Option<u64>,
    leaving: bool,
}

/// What an agent shows of itself on request.
#[derive(Debug, Clone, Serialize)]
pub struct AgentState {
    boot: String,
    generations: BTreeMap<String, Generation>,
    configured: bool,
    limit: u32,
    warm: bool,
    running: usize,
    offers: usize,
    queue: Vec<QueueDepth>,
    endpoint: Option<u64>,
    leaving: bool,
}

impl Agent {
    /// An agent that has just started. It takes nothing before it is configured and its endpoint
    /// has answered.
    #[must_use]
    pub fn new(name: EndpointName, boot: BootNonce) -> Self {
        Self {
            name,
            fleet: Arc::default(),
            slots: None,
            queue: Queue::new(QUEUE_LIMIT),
            offers: Offers::new(boot),
            running: HashMap::new(),
            history: History::default(),
            endpoint: None,
            leaving: false,
        }
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.offers.drop_expired(now);
        match event {
            Event::Configured(fleet) => self.configure(fleet),
            Event::Reserve(reservation) => self.reserve(reservation, now, &mut actions),
            Event::Withdraw(id) => self.withdraw(id, &mut actions),
            Event::Release(offer) => self.offers.void(offer),
            Event::Claim { offer, request } => self.claim(offer, request, now, &mut actions),
            Event::Inquire { offer, request } => {
                let status = self.status_for(offer, request);
                actions.push(Action::Report { request, status });
            }
            Event::FirstToken(_) | Event::Tick => {}
            Event::Finished { request, end } => self.finish(request, end, now),
            Event::EndpointUp { boot, .. } => self.endpoint_up(boot),
            Event::EndpointDown => self.endpoint_down(),
            Event::Leave => self.leaving = true,
        }
        self.settle(now, &mut actions);
        actions
    }

    /// When the agent must be given [`Event::Tick`], at the latest.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let times = [self.queue.next_deadline(), self.offers.next_expiry()];
        times
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Timestamp::NEVER)
    }

    /// Whether nothing runs and nothing is offered, so that a leaving process may exit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.offers.len() == 0 && self.queue.is_empty()
    }

    /// The agent's state for operators.
    #[must_use]
    pub fn state(&self) -> AgentState {
        AgentState {
            boot: self.offers.boot().to_string(),
            generations: self.fleet.generations.clone(),
            configured: self.slots.is_some(),
            limit: self.slots.as_ref().map_or(0, Slots::limit),
            warm: self.slots.as_ref().is_some_and(Slots::is_warm),
            running: self.running.len(),
            offers: self.offers.len(),
            queue: self.queue.depths(),
            endpoint: self.endpoint,
            leaving: self.leaving,
        }
    }

    fn declared(&self) -> Option<&Endpoint> {
        self.fleet.endpoints.get(&self.name)
    }

    fn configure(&mut self, fleet: Arc<Fleet>) {
        self.fleet = fleet;
        let endpoint = self.fleet.endpoints.get(&self.name);
        match (&mut self.slots, endpoint) {
            (Some(slots), Some(endpoint)) => slots.configure(endpoint),
            (slots, endpoint) => *slots = endpoint.map(Slots::new),
        }
    }

    /// Why this agent takes no new work at all, if so.
    fn closed(&self) -> Option<ReturnReason> {
        let Some(endpoint) = self.declared() else {
            return Some(ReturnReason::NotConfigured);
        };
        if self.leaving || !self.fleet.is_in_service(&endpoint.centre) {
            return Some(ReturnReason::Leaving);
        }
        self.endpoint
            .is_none()
            .then_some(ReturnReason::EndpointDown)
    }

    fn reserve(&mut self, reservation: Reservation, now: Timestamp, actions: &mut Vec<Action>) {
        let id = reservation.id;
        let known = self.fleet.hosts.contains_key(&reservation.entry)
            && self.fleet.routes.contains_key(&reservation.route);
        if !known {
            actions.push(Action::Return {
                id,
                reason: ReturnReason::NotConfigured,
            });
            return;
        }
        if self.is_stale(id) {
            actions.push(Action::Return {
                id,
                reason: ReturnReason::Withdrawn,
            });
            return;
        }
        if !self.is_repeated(id) {
            self.enqueue(reservation, now, actions);
        }
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
        if let Some(attempt) = self.queue.attempt(id.request) {
            let earlier = ReservationId { attempt, ..id };
            self.withdraw(earlier, actions);
        }
        let weight = self.weight(&reservation.team);
        let deadline = now + reservation.remaining;
        let waiting = Waiting {
            reservation,
            deadline,
        };
        let (id, reason) = match self.queue.push(waiting, weight) {
            Admission::Kept => return,
            Admission::Displaced(other) => (other.reservation.id, ReturnReason::Displaced),
            Admission::Full => (id, ReturnReason::Full),
        };
        actions.push(Action::Return { id, reason });
    }

    fn weight(&self, team: &TeamName) -> u32 {
        self.fleet.teams.get(team).map_or(1, |team| team.weight)
    }

    fn withdraw(&mut self, id: ReservationId, actions: &mut Vec<Action>) {
        if self.queue.remove(id).is_some() {
            actions.push(Action::Return {
                id,
                reason: ReturnReason::Withdrawn,
            });
        }
        self.offers.withdraw(id);
    }

    fn claim(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.running.contains_key(&request) || self.history.has_run(request) {
            self.offers.void(offer);
            actions.push(Action::Close(offer));
            return;
        }
        match self.admit(offer, request, now) {
            Ok(running) => {
                self.running.insert(request, running);
                actions.push(Action::Run(offer));
                self.drop_attempts(request, actions);
            }
            Err(reason) => actions.push(Action::Reject { offer, reason }),
        }
    }

    /// Drops what else waits or is offered for a request that runs.
    fn drop_attempts(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        self.offers.void_request(request);
        if let Some(attempt) = self.queue.attempt(request) {
            self.withdraw(ReservationId { request, attempt }, actions);
        }
    }

    fn admit(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
    ) -> Result<Running, NotRunReason> {
        let pending = self
            .offers
            .take(offer, request, now)
            .ok_or(NotRunReason::OfferVoid)?;
        match self.closed() {
            Some(ReturnReason::EndpointDown) => return Err(NotRunReason::EndpointDown),
            Some(_) => return Err(NotRunReason::Leaving),
            None => {}
        }
        if now >= pending.deadline {
            return Err(NotRunReason::Late);
        }
        Ok(Running {
            offer,
            tier: pending.reservation.tier,
            team: pending.reservation.team,
            cost: pending.reservation.cost,
        })
    }

    /// What became of a request. An offer whose body has not come is void from now on, so that a
    /// body still under way is refused.
    fn status_for(&mut self, offer: OfferId, request: RequestId) -> RunStatus {
        if self.running.contains_key(&request) {
            return RunStatus::Running;
        }
        if self.history.has_run(request) {
            return RunStatus::Ran;
        }
        if !self.offers.has_made(offer) || !self.history.covers(offer.sequence) {
            return RunStatus::Unknown;
        }
        self.offers.void(offer);
        RunStatus::NeverRuns
    }

    fn finish(&mut self, request: RequestId, end: RunEnd, now: Timestamp) {
        let Some(run) = self.running.remove(&request) else {
            return;
        };
        let ran = !matches!(end, RunEnd::NotRun(_));
        if ran {
            self.history.record(request, run.offer.sequence, now);
        }
        if let Some(used) = used_tokens(end) {
            let expected = run.cost.total();
            let weight = self.weight(&run.team);
            let charge = Charge { expected, used };
            self.queue.correct(run.tier, &run.team, weight, charge);
        }
        let Some(slots) = &mut self.slots else { return };
        match end {
            RunEnd::Whole { .. } => slots.on_whole(),
            RunEnd::Broken | RunEnd::NotRun(_) => slots.on_cold(),
            RunEnd::Cancelled => {}
        }
    }

    fn endpoint_up(&mut self, boot: u64) {
        let restarted = self
            .endpoint
            .replace(boot)
            .is_some_and(|earlier| earlier != boot);
        if let (true, Some(slots)) = (restarted, &mut self.slots) {
            slots.on_cold();
        }
    }

    fn endpoint_down(&mut self) {
        self.endpoint = None;
        if let Some(slots) = &mut self.slots {
            slots.on_cold();
        }
    }

    /// Gives back what can no longer be served here, then offers what is free.
    fn settle(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for late in self.queue.take_late(now) {
            actions.push(Action::Return {
                id: late.reservation.id,
                reason: ReturnReason::Late,
            });
        }
        if let Some(reason) = self.closed() {
            for waiting in self.queue.drain() {
                actions.push(Action::Return {
                    id: waiting.reservation.id,
                    reason,
                });
            }
        }
        while self.has_room() {
            let Some(waiting) = self.queue.pop() else {
                return;
            };
            let id = waiting.reservation.id;
            let offer = self.offers.make(waiting.reservation, waiting.deadline, now);
            actions.push(Action::Offer {
                id,
                offer,
                lifetime: OFFER_LIFETIME,
            });
        }
    }

    fn has_room(&self) -> bool {
        let (Some(slots), Some(next)) = (&self.slots, self.queue.peek()) else {
            return false;
        };
        let count = self.running.len() + self.offers.len();
        let held = self.running.values().map(|run| run.cost.total());
        let used = held.sum::<u64>() + self.offers.tokens();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        slots.fits(count, used, next.reservation.cost.total())
    }
}

/// Tokens that a run is charged for, or `None` if they are not known.
fn used_tokens(end: RunEnd) -> Option<u64> {
    match end {
        RunEnd::Whole { output, prefill } => Some(u64::from(output) + u64::from(prefill)),
        RunEnd::NotRun(_) => Some(0),
        RunEnd::Cancelled | RunEnd::Broken => None,
    }
}
