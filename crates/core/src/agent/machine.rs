//! The state machine of an agent.

mod reserving;
mod running;
mod state;

use std::collections::HashMap;
use std::sync::Arc;

pub use self::state::AgentState;
use self::state::Tally;
use super::estimate::{Estimator, Ratio};
use super::history::History;
use super::inherited::Inherited;
use super::message::{Action, Event};
use super::offers::{OFFER_LIFETIME, Offers};
use super::policy::{Policy, Reserve};
use super::queue::{Class, Queue};
use super::sizes::Sizes;
use super::slots::{LimitCause, Slots};
use crate::fleet::{Endpoint, Fleet};
use crate::id::{BootNonce, OfferId, RequestId};
use crate::idempotency::KeyMemory;
use crate::name::EndpointName;
use crate::refusal::{NotRunReason, ReturnReason};
use crate::request::Reservation;
use crate::time::Timestamp;

/// Reservations that wait at one agent at most.
const QUEUE_LIMIT: usize = 1_024;

/// Part of the limit that is kept for short requests, as a divisor.
const SHORT_PART: u32 = 4;

/// A body that the endpoint is working on.
#[derive(Debug)]
struct Running {
    offer: OfferId,
    reservation: Reservation,
    class: Class,
    started: Timestamp,
    first: Option<Timestamp>,
    /// When tokens were last counted, and how many had come after the first.
    progress: (Timestamp, u32),
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
    keys: KeyMemory,
    endpoint: Option<u64>,
    /// Whether a run broke off since the endpoint last answered a probe.
    doubtful: bool,
    inherited: Inherited,
    estimator: Estimator,
    sizes: Sizes,
    /// Reservations that were offered a slot here, among those that left the queue.
    demand: Ratio,
    /// Time of whole runs.
    served: Ratio,
    returns: Tally<ReturnReason>,
    rejections: Tally<NotRunReason>,
    policy: Policy,
    leaving: bool,
    /// Whether the platform lists the host as leaving.
    listed: bool,
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
            keys: KeyMemory::default(),
            endpoint: None,
            doubtful: false,
            inherited: Inherited::default(),
            estimator: Estimator::default(),
            sizes: Sizes::default(),
            demand: Ratio::default(),
            served: Ratio::default(),
            returns: Tally::default(),
            rejections: Tally::default(),
            policy: Policy::default(),
            leaving: false,
            listed: false,
        }
    }

    /// The same agent with another policy. Use it before the first event.
    #[must_use]
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        self.offers.drop_expired(now);
        match event {
            Event::Configured(fleet) => self.configure(fleet, now),
            Event::Reserve(reservation) => self.reserve(reservation, now, &mut actions),
            Event::Withdraw(id) => self.withdraw(id, &mut actions),
            Event::Release(offer) => self.offers.void(offer),
            Event::Claim { offer, request } => self.claim(offer, request, now, &mut actions),
            Event::Inquire { offer, request } => {
                let status = self.status_for(offer, request);
                actions.push(Action::Report { request, status });
            }
            Event::FirstToken(request) => self.first_token(request, now),
            Event::Progress { request, tokens } => self.progress(request, tokens, now),
            Event::Tick => {}
            Event::Finished { request, end } => self.finish(request, end, now),
            Event::EndpointUp { boot, running } => self.endpoint_up(boot, running, now),
            Event::EndpointDown => self.endpoint_down(),
            Event::Leave => self.leaving = true,
            Event::Listed(leaving) => self.listed = leaving,
        }
        self.settle(now, &mut actions);
        actions
    }

    /// When the agent must be given [`Event::Tick`], at the latest.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let times = [self.queue.next_start(), self.offers.next_expiry()];
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

    fn declared(&self) -> Option<&Endpoint> {
        self.fleet.endpoints.get(&self.name)
    }

    fn configure(&mut self, fleet: Arc<Fleet>, now: Timestamp) {
        self.keys.configure(&fleet, now);
        self.fleet = fleet;
        let routes = &self.fleet.routes;
        self.estimator.retain(|route| routes.contains_key(route));
        let endpoint = self.fleet.endpoints.get(&self.name);
        match (&mut self.slots, endpoint) {
            (Some(slots), Some(endpoint)) => slots.configure(endpoint),
            (slots, endpoint) => *slots = endpoint.map(|e| Slots::new(e, self.policy)),
        }
    }

    /// Why this agent takes no new work at all, if so.
    fn closed(&self) -> Option<ReturnReason> {
        let Some(endpoint) = self.declared() else {
            return Some(ReturnReason::NotConfigured);
        };
        if self.leaving || self.listed || !self.fleet.is_in_service(&endpoint.centre) {
            return Some(ReturnReason::Leaving);
        }
        self.endpoint
            .is_none()
            .then_some(ReturnReason::EndpointDown)
    }

    fn endpoint_up(&mut self, boot: u64, reported: u32, now: Timestamp) {
        let own = count(self.running.len());
        self.doubtful = false;
        match self.endpoint.replace(boot) {
            Some(earlier) if earlier == boot => self.inherited.report(reported, now),
            Some(_) => {
                self.inherited.clear();
                self.cool(LimitCause::Restarted);
            }
            None => self.inherited.assume(reported, own, now),
        }
    }

    fn endpoint_down(&mut self) {
        if self.endpoint.take().is_some() {
            self.cool(LimitCause::Unreachable);
        }
    }

    /// Gives back what can no longer be served here, then offers what is free.
    fn settle(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for late in self.queue.take_late(now) {
            self.give_back(late.reservation.id, ReturnReason::Late, actions);
        }
        if let Some(reason) = self.closed() {
            for waiting in self.queue.drain() {
                self.give_back(waiting.reservation.id, reason, actions);
            }
        }
        while let Some(class) = self.next_class(now) {
            let Some(waiting) = self.queue.pop(class) else {
                break;
            };
            self.demand.observe(1, 1);
            let id = waiting.reservation.id;
            let offer = self.offers.make(waiting, now);
            actions.push(Action::Offer {
                id,
                offer,
                lifetime: OFFER_LIFETIME,
            });
        }
        self.inherited.observe(count(self.running.len()), now);
    }

    /// The classes that may take a slot now: [`Class::Long`] stands for both.
    fn next_class(&self, now: Timestamp) -> Option<Class> {
        let slots = self.slots.as_ref().filter(|_| !self.doubtful)?;
        let next = self.queue.peek(Class::Long)?;
        let class = match next.class {
            Class::Long if self.free_for_long(slots, now) == 0 => Class::Short,
            Class::Long | Class::Short => Class::Long,
        };
        let next = self.queue.peek(class)?;
        if self.must_wait(&next.reservation) {
            return None;
        }
        let active = self.running.len() + self.offers.len();
        let active = count(active).saturating_add(self.inherited.runs());
        let cost = next.reservation.cost.total();
        slots
            .fits(active, self.held_tokens(), cost)
            .then_some(class)
    }

    /// Whether a reservation must wait since it, or one that has a slot, must run alone.
    fn must_wait(&self, next: &Reservation) -> bool {
        let idle = self.running.is_empty() && self.offers.len() == 0;
        let apart = self.running.values().any(|run| run.reservation.alone);
        let busy = !idle || self.inherited.runs() > 0;
        (next.alone && busy) || apart || self.offers.any_alone()
    }

    /// Slots that long requests may still take.
    fn free_for_long(&self, slots: &Slots, now: Timestamp) -> u32 {
        let kept = match self.policy.reserve {
            Reserve::Short if self.sizes.expects_short(now) => slots.limit() / SHORT_PART,
            Reserve::Short | Reserve::None => 0,
        };
        let running = self.running.values().filter(|run| run.class == Class::Long);
        let long = count(running.count() + self.offers.long());
        (slots.limit() - kept).saturating_sub(long)
    }

    /// KV tokens that runs and offers hold at most.
    fn held_tokens(&self) -> u64 {
        let running = self.running.values();
        let held: u64 = running.map(|run| run.reservation.cost.total()).sum();
        held + self.offers.tokens()
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
