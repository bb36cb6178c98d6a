//! The state of an agent and the handling of its events.

mod reserving;
mod running;
mod state;

use std::collections::HashMap;
use std::sync::Arc;

pub use self::state::AgentState;
use self::state::ReasonCounts;
use super::concurrency::{ConcurrencyLimit, LimitCause};
use super::estimate::{Estimator, Ratio};
use super::history::History;
use super::message::{Action, Event};
use super::offers::{OFFER_LIFETIME, Offers};
use super::policy::{Policy, Reserve};
use super::queue::{Queue, SizeClass};
use super::size_class::SizeClassifier;
use super::untracked::UntrackedRuns;
use crate::fleet::{Endpoint, Fleet};
use crate::id::{BootNonce, OfferId, RequestId};
use crate::idempotency::KeyMemory;
use crate::name::EndpointName;
use crate::refusal::{NotRunReason, ReturnReason};
use crate::request::Reservation;
use crate::time::Timestamp;

/// Maximum number of reservations in the queue of one agent.
const QUEUE_LIMIT: usize = 1_024;

/// The limit divided by this number is the number of slots reserved for short requests.
const SHORT_RESERVE_DIVISOR: u32 = 4;

/// A request that the endpoint is working on.
#[derive(Debug)]
struct Running {
    offer: OfferId,
    reservation: Reservation,
    class: SizeClass,
    started: Timestamp,
    first_token: Option<Timestamp>,
    /// Time of the last token count, and the number of tokens received after the first one by then.
    progress: (Timestamp, u32),
}

/// The state machine of one agent process.
#[derive(Debug)]
pub struct Agent {
    name: EndpointName,
    fleet: Arc<Fleet>,
    limiter: Option<ConcurrencyLimit>,
    queue: Queue,
    offers: Offers,
    running: HashMap<RequestId, Running>,
    history: History,
    keys: KeyMemory,
    endpoint_boot: Option<u64>,
    /// Whether a run has ended as broken since the endpoint last answered a probe. Nothing is
    /// offered or run until the next answer.
    unverified: bool,
    untracked: UntrackedRuns,
    estimator: Estimator,
    classifier: SizeClassifier,
    /// Fraction of the reservations leaving the queue that were offered a slot rather than
    /// withdrawn.
    offer_ratio: Ratio,
    /// Mean duration of complete runs, in microseconds.
    run_time: Ratio,
    returns: ReasonCounts<ReturnReason>,
    rejections: ReasonCounts<NotRunReason>,
    policy: Policy,
    leaving: bool,
    /// Whether the platform reports the host as leaving.
    host_leaving: bool,
}

impl Agent {
    /// Creates the agent of a process that has just started. It accepts no work until it has a
    /// configuration and its endpoint has answered a probe.
    #[must_use]
    pub fn new(name: EndpointName, boot: BootNonce) -> Self {
        Self {
            name,
            fleet: Arc::default(),
            limiter: None,
            queue: Queue::new(QUEUE_LIMIT),
            offers: Offers::new(boot),
            running: HashMap::new(),
            history: History::default(),
            keys: KeyMemory::default(),
            endpoint_boot: None,
            unverified: false,
            untracked: UntrackedRuns::default(),
            estimator: Estimator::default(),
            classifier: SizeClassifier::default(),
            offer_ratio: Ratio::default(),
            run_time: Ratio::default(),
            returns: ReasonCounts::default(),
            rejections: ReasonCounts::default(),
            policy: Policy::default(),
            leaving: false,
            host_leaving: false,
        }
    }

    /// Replaces the policy. Must be called before the first event.
    #[must_use]
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Handles one event and returns the actions that the process must carry out.
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
            Event::HostLeaving(leaving) => self.host_leaving = leaving,
        }
        self.process_queue(now, &mut actions);
        actions
    }

    /// Returns the latest time at which the agent must receive [`Event::Tick`].
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let times = [self.queue.next_latest_start(), self.offers.next_expiry()];
        times
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Timestamp::NEVER)
    }

    /// Returns whether no request is running, offered or queued, so that a leaving process may
    /// exit.
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
        match (&mut self.limiter, endpoint) {
            (Some(limiter), Some(endpoint)) => limiter.configure(endpoint),
            (limit, endpoint) => *limit = endpoint.map(|e| ConcurrencyLimit::new(e, self.policy)),
        }
    }

    /// Returns the reason why this agent accepts no new work, or `None` if it accepts work.
    fn unavailable_reason(&self) -> Option<ReturnReason> {
        let Some(endpoint) = self.declared() else {
            return Some(ReturnReason::NotConfigured);
        };
        if self.leaving || self.host_leaving || !self.fleet.is_in_service(&endpoint.centre) {
            return Some(ReturnReason::Leaving);
        }
        self.endpoint_boot
            .is_none()
            .then_some(ReturnReason::EndpointDown)
    }

    fn endpoint_up(&mut self, boot: u64, reported: u32, now: Timestamp) {
        let own = saturating_u32(self.running.len());
        self.unverified = false;
        match self.endpoint_boot.replace(boot) {
            Some(earlier) if earlier == boot => self.untracked.apply_report(reported, now),
            Some(_) => {
                self.untracked.clear();
                self.reset_limit(LimitCause::Restarted);
            }
            None => self.untracked.reset(reported, own, now),
        }
    }

    fn endpoint_down(&mut self) {
        if self.endpoint_boot.take().is_some() {
            self.reset_limit(LimitCause::Unreachable);
        }
    }

    /// Returns reservations that can no longer be served here, then offers the free slots.
    fn process_queue(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for waiting in self.queue.remove_late(now) {
            self.return_reservation(waiting.reservation.id, ReturnReason::Late, actions);
        }
        if let Some(reason) = self.unavailable_reason() {
            for waiting in self.queue.drain() {
                self.return_reservation(waiting.reservation.id, reason, actions);
            }
        }
        while let Some(class) = self.next_class(now) {
            let Some(waiting) = self.queue.pop(class) else {
                break;
            };
            self.offer_ratio.observe(1, 1);
            let id = waiting.reservation.id;
            let offer = self.offers.create(waiting, now);
            actions.push(Action::Offer {
                id,
                offer,
                lifetime: OFFER_LIFETIME,
            });
        }
        self.untracked
            .record_own(saturating_u32(self.running.len()), now);
    }

    /// Returns the size classes that may take a slot now, where [`SizeClass::Long`] means both.
    fn next_class(&self, now: Timestamp) -> Option<SizeClass> {
        let limiter = self.limiter.as_ref().filter(|_| !self.unverified)?;
        let next = self.queue.peek(SizeClass::Long)?;
        let class = match next.class {
            SizeClass::Long if self.free_long_slots(limiter, now) == 0 => SizeClass::Short,
            SizeClass::Long | SizeClass::Short => SizeClass::Long,
        };
        let next = self.queue.peek(class)?;
        if self.must_wait(&next.reservation) {
            return None;
        }
        let active = self.running.len() + self.offers.len();
        let active = saturating_u32(active).saturating_add(self.untracked.runs());
        let cost = next.reservation.cost.total();
        limiter
            .fits(active, self.held_tokens(), cost)
            .then_some(class)
    }

    /// Returns whether a reservation must wait because it, or a request that already has a slot,
    /// must run alone.
    fn must_wait(&self, next: &Reservation) -> bool {
        let idle = self.running.is_empty() && self.offers.len() == 0;
        let exclusive = self.running.values().any(|run| run.reservation.alone);
        let busy = !idle || self.untracked.runs() > 0;
        (next.alone && busy) || exclusive || self.offers.any_alone()
    }

    /// Returns the number of slots that long requests may still take.
    fn free_long_slots(&self, limiter: &ConcurrencyLimit, now: Timestamp) -> u32 {
        let reserved = match self.policy.reserve {
            Reserve::Short if self.classifier.expects_short(now) => {
                limiter.limit() / SHORT_RESERVE_DIVISOR
            }
            Reserve::Short | Reserve::None => 0,
        };
        let running = self
            .running
            .values()
            .filter(|run| run.class == SizeClass::Long);
        let long = saturating_u32(running.count() + self.offers.long_count());
        (limiter.limit() - reserved).saturating_sub(long)
    }

    /// Returns an upper bound on the KV tokens held by running and offered requests.
    fn held_tokens(&self) -> u64 {
        let running = self.running.values();
        let held: u64 = running.map(|run| run.reservation.cost.total()).sum();
        held + self.offers.tokens()
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
