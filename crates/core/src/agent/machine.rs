//! The state machine of an agent.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::Serialize;

use super::history::{History, RunStatus};
use super::message::{Action, Event, RunEnd};
use super::offers::{OFFER_LIFETIME, Offers};
use super::queue::{Queue, QueueDepth, Waiting};
use super::slots::Slots;
use crate::fleet::{Endpoint, Fleet};
use crate::id::{BootNonce, Generation, OfferId, RequestId, ReservationId};
use crate::name::{EndpointName, TeamName};
use crate::refusal::{NotRunReason, ReturnReason};
use crate::request::Reservation;
use crate::time::Timestamp;

/// Reservations that wait at one agent at most.
const QUEUE_LIMIT: usize = 256;

/// The decisions of one agent process.
#[derive(Debug)]
pub struct Agent {
    name: EndpointName,
    fleet: Arc<Fleet>,
    slots: Option<Slots>,
    queue: Queue,
    offers: Offers,
    running: HashMap<RequestId, u64>,
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
        match event {
            Event::Configured(fleet) => self.configure(fleet),
            Event::Reserve(reservation) => self.reserve(reservation, now, &mut actions),
            Event::Withdraw(id) => self.withdraw(id, &mut actions),
            Event::Release(offer) => drop(self.offers.take(offer, now)),
            Event::Claim { offer, request } => self.claim(offer, request, now, &mut actions),
            Event::Inquire { offer, request } => self.inquire(offer, request, now, &mut actions),
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
        let deadline = now + reservation.remaining;
        if let Some(dropped) = self.queue.push(Waiting {
            reservation,
            deadline,
        }) {
            let own = dropped.reservation.id == id;
            let reason = if own {
                ReturnReason::Full
            } else {
                ReturnReason::Displaced
            };
            actions.push(Action::Return {
                id: dropped.reservation.id,
                reason,
            });
        }
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
        match self.admit(offer, request, now) {
            Ok(tokens) => {
                self.running.insert(request, tokens);
                self.history.record(request, RunStatus::Running, now);
                actions.push(Action::Run(offer));
            }
            Err(reason) => actions.push(Action::Reject { offer, reason }),
        }
    }

    fn admit(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
    ) -> Result<u64, NotRunReason> {
        let pending = self
            .offers
            .take(offer, now)
            .ok_or(NotRunReason::OfferVoid)?;
        let own = pending.reservation.id.request == request;
        if !own || self.has_run(request) {
            return Err(NotRunReason::OfferVoid);
        }
        match self.closed() {
            Some(ReturnReason::EndpointDown) => return Err(NotRunReason::EndpointDown),
            Some(_) => return Err(NotRunReason::Leaving),
            None => {}
        }
        if now >= pending.deadline {
            return Err(NotRunReason::Late);
        }
        Ok(pending.reservation.cost.total())
    }

    fn has_run(&self, request: RequestId) -> bool {
        matches!(
            self.history.get(request),
            Some(RunStatus::Running | RunStatus::Ran)
        )
    }

    fn inquire(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let status = self.status_for(offer, request, now);
        actions.push(Action::Report { request, status });
    }

    fn status_for(&mut self, offer: OfferId, request: RequestId, now: Timestamp) -> RunStatus {
        if let Some(status) = self.history.get(request).filter(|_| self.has_run(request)) {
            return status;
        }
        if offer.boot != self.offers.boot() {
            return RunStatus::Unknown;
        }
        // Without its offer, a body that is still under way is refused. A later attempt of the same
        // request gets an offer of its own.
        self.offers.void(request);
        self.history.record(request, RunStatus::NeverRuns, now);
        RunStatus::NeverRuns
    }

    fn finish(&mut self, request: RequestId, end: RunEnd, now: Timestamp) {
        self.running.remove(&request);
        let status = match end {
            RunEnd::NotRun(_) => RunStatus::NeverRuns,
            RunEnd::Whole { .. } | RunEnd::Cancelled | RunEnd::Broken => RunStatus::Ran,
        };
        self.history.record(request, status, now);
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
        self.offers.drop_expired(now);
        for late in self.queue.take_where(|waiting| waiting.deadline <= now) {
            actions.push(Action::Return {
                id: late.reservation.id,
                reason: ReturnReason::Late,
            });
        }
        if let Some(reason) = self.closed() {
            for waiting in self.queue.take_where(|_| true) {
                actions.push(Action::Return {
                    id: waiting.reservation.id,
                    reason,
                });
            }
        }
        while self.has_room() {
            let Some(waiting) = self.pop() else { return };
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
        let used = self.running.values().sum::<u64>() + self.offers.tokens();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        slots.fits(count, used, next.reservation.cost.total())
    }

    fn pop(&mut self) -> Option<Waiting> {
        let fleet = Arc::clone(&self.fleet);
        let weight = |team: &TeamName| fleet.teams.get(team).map_or(1, |team| team.weight);
        self.queue.pop(weight)
    }
}
