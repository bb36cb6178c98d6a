//! The state machine of an entry.

mod admission;
mod binding;
mod containing;
mod endings;
mod payment;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::containment::{BodyState, Containment};
use super::ledger::{Ledger, ShareState};
use super::message::{Action, Event};
use super::pending::{Pending, Phase};
use super::placement::Placement;
use super::waits::Waits;
use crate::fleet::Fleet;
use crate::id::{BootNonce, Generation, RequestId};
use crate::name::{EndpointName, HostName, TeamName};
use crate::refusal::{Refusal, RefusalKind, ReturnReason};
use crate::request::Tier;
use crate::time::Timestamp;

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
    /// When requests that wait must be looked at.
    timers: BTreeSet<(Timestamp, RequestId)>,
    /// Requests that wait for tokens of their team, in the order of arrival.
    unpaid: BTreeMap<TeamName, VecDeque<RequestId>>,
    /// Requests whose body has not left, most urgent and oldest first.
    undispatched: BTreeSet<(Tier, u64, RequestId)>,
    arrivals: u64,
    waits: Waits,
    containment: Containment,
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
    /// Requests whose body has not left, by tier.
    tiers: BTreeMap<Tier, usize>,
    /// Requests that wait for tokens, by team.
    unpaid: BTreeMap<TeamName, usize>,
    shares: Vec<ShareState>,
    /// Bodies that run alone or are refused.
    bodies: Vec<BodyState>,
    /// Agents that are asked last.
    shunned: Vec<EndpointName>,
}

impl Entry {
    /// An entry that has just started. It refuses everything before it is configured.
    #[must_use]
    pub fn new(name: HostName, boot: BootNonce, seed: u64) -> Self {
        Self {
            ledger: Ledger::new(name.clone(), seed),
            name,
            boot,
            fleet: Arc::default(),
            placement: Placement::new(seed),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            unpaid: BTreeMap::new(),
            undispatched: BTreeSet::new(),
            arrivals: 0,
            waits: Waits::default(),
            containment: Containment::default(),
            leaving: false,
        }
    }

    /// Decides on one event.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configured(fleet) => self.configure(fleet, now, &mut actions),
            Event::Arrived(arrival) => self.arrive(*arrival, now, &mut actions),
            Event::Offered {
                id,
                endpoint,
                offer,
            } => self.offered(id, endpoint, offer, now, &mut actions),
            Event::Returned {
                id,
                endpoint,
                reason,
            } => self.returned(id, &endpoint, reason, now, &mut actions),
            Event::Unreachable { id, endpoint } => {
                self.placement.shun(endpoint.clone(), now + SHUN_TIME);
                self.returned(id, &endpoint, ReturnReason::EndpointDown, now, &mut actions);
            }
            Event::Begun(request) => self.begin(request),
            Event::Ended { request, ending } => self.end(request, ending, now, &mut actions),
            Event::Inquired { request, status } => {
                self.inquired(request, status, now, &mut actions);
            }
            Event::CallerGone(request) => self.caller_gone(request, now, &mut actions),
            Event::BorrowAsked(ask) => self.borrow_asked(*ask, now, &mut actions),
            Event::Lent { ask, loan } => self.lent(&ask, loan, now, &mut actions),
            Event::Warned(warning) => self.containment.warned(&warning, now),
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// When the entry must be given [`Event::Tick`], at the latest.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let first = self.timers.first().map(|(time, _)| *time);
        first.unwrap_or(Timestamp::NEVER).min(self.ledger.wake())
    }

    /// Whether no request is owned, so that a leaving process may exit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// The entry's state for operators.
    #[must_use]
    pub fn state(&self, now: Timestamp) -> EntryState {
        let count = |team: (&TeamName, &VecDeque<RequestId>)| (team.0.clone(), team.1.len());
        let dispatched = |p: &&Pending| p.phase.is_dispatched();
        let dispatched = self.requests.values().filter(dispatched).count();
        EntryState {
            boot: self.boot.to_string(),
            generations: self.fleet.generations.clone(),
            configured: !self.fleet.hosts.is_empty(),
            waiting: self.requests.len() - dispatched,
            dispatched,
            leaving: self.leaving,
            tiers: self.tiers(),
            unpaid: self.unpaid.iter().map(count).collect(),
            shares: self.ledger.states(now),
            bodies: self.containment.states(now),
            shunned: self.placement.shunned(now),
        }
    }

    fn tiers(&self) -> BTreeMap<Tier, usize> {
        let mut tiers = BTreeMap::new();
        for (tier, _, _) in &self.undispatched {
            *tiers.entry(*tier).or_default() += 1;
        }
        tiers
    }

    fn configure(&mut self, fleet: Arc<Fleet>, now: Timestamp, actions: &mut Vec<Action>) {
        self.ledger.configure(&fleet, now);
        self.fleet = fleet;
        self.tell_peers(now, actions);
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.tell_peers(now, actions);
        while let Some(&(time, request)) = self.timers.first()
            && time <= now
        {
            self.timers.pop_first();
            self.look_at(request, now, actions);
        }
    }

    /// Handles a timer of a request.
    fn look_at(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.timer = None;
        match pending.phase {
            Phase::Unpaid { .. } => self.pay_again(request, now, actions),
            Phase::Waiting if pending.deadline <= now => {
                let retry = self.waits.retry(&pending.arrival.route);
                let refusal = Refusal::new(RefusalKind::DeadlineExceeded).with_retry(retry);
                self.refuse(request, refusal, now, actions);
            }
            Phase::Dispatched { begun: false, .. } | Phase::Inquiring { .. }
                if pending.deadline <= now =>
            {
                self.give_up(request, actions);
            }
            Phase::Waiting => self.widen(request, now, actions),
            Phase::Dispatched { .. } | Phase::Inquiring { .. } => {}
        }
    }

    /// Sets the time at which a request is looked at next.
    fn set_timer(&mut self, request: RequestId, time: Timestamp) {
        self.clear_timer(request);
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.timer = Some(time);
            self.timers.insert((time, request));
        }
    }

    fn clear_timer(&mut self, request: RequestId) {
        let pending = self.requests.get_mut(&request);
        if let Some(time) = pending.and_then(|pending| pending.timer.take()) {
            self.timers.remove(&(time, request));
        }
    }

    /// Takes a request out, with its timer and its place among the unpaid.
    fn forget(&mut self, request: RequestId) -> Option<Pending> {
        self.clear_timer(request);
        let pending = self.requests.remove(&request)?;
        self.undispatched.remove(&pending.rank());
        if matches!(pending.phase, Phase::Unpaid { .. }) {
            self.leave_unpaid(&pending.team, request);
        }
        Some(pending)
    }
}
