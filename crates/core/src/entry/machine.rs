//! The state machine of an entry. It turns events (arrivals, offers, ends of runs, messages of
//! peers) into actions and performs no I/O itself.

mod admission;
mod binding;
mod charging;
mod endings;
mod quarantine;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use super::containment::{BodyState, Containment};
use super::ledger::{Ledger, ShareState};
use super::message::{Action, Event};
use super::pending::{Pending, Phase};
use super::placement::Placement;
use super::route_waits::RouteWaits;
use crate::fleet::Fleet;
use crate::id::{BootNonce, Generation, RequestId};
use crate::name::{EndpointName, HostName, TeamName};
use crate::refusal::{Refusal, RefusalKind, ReturnReason};
use crate::request::Tier;
use crate::time::Timestamp;

/// Time during which an agent that could not be reached is the last candidate.
const AVOIDANCE_TIME: Duration = Duration::from_secs(2);

/// Delay after which callers may retry when no capacity was available.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Team to which requests without a known key are assigned on open routes.
pub const OPEN_TEAM: &str = "open";

/// The state of one entry process, from which it makes its decisions.
#[derive(Debug)]
pub struct Entry {
    name: HostName,
    boot: BootNonce,
    fleet: Arc<Fleet>,
    placement: Placement,
    ledger: Ledger,
    requests: HashMap<RequestId, Pending>,
    /// Time at which each waiting request has to be checked next.
    timers: BTreeSet<(Timestamp, RequestId)>,
    /// Requests that wait for tokens of their team, in order of arrival.
    token_queues: BTreeMap<TeamName, VecDeque<RequestId>>,
    /// Requests whose body has not been sent, in order of urgency and then of arrival.
    undispatched: BTreeSet<(Tier, u64, RequestId)>,
    arrivals: u64,
    route_waits: RouteWaits,
    containment: Containment,
    leaving: bool,
}

/// Snapshot of an entry's state for operators.
#[derive(Debug, Clone, Serialize)]
pub struct EntryState {
    boot: String,
    generations: BTreeMap<String, Generation>,
    configured: bool,
    waiting: usize,
    dispatched: usize,
    leaving: bool,
    /// Number of requests whose body has not been sent, by tier.
    tiers: BTreeMap<Tier, usize>,
    /// Number of requests that wait for tokens, by team.
    #[serde(rename = "unpaid")]
    awaiting_tokens: BTreeMap<TeamName, usize>,
    shares: Vec<ShareState>,
    /// Bodies that must run alone or are refused.
    bodies: Vec<BodyState>,
    /// Agents that could not be reached recently and are the last candidates.
    #[serde(rename = "shunned")]
    avoided: Vec<EndpointName>,
}

impl Entry {
    /// Creates an entry without a configuration. It refuses every request until it is configured.
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
            token_queues: BTreeMap::new(),
            undispatched: BTreeSet::new(),
            arrivals: 0,
            route_waits: RouteWaits::default(),
            containment: Containment::default(),
            leaving: false,
        }
    }

    /// Processes one event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Configured(fleet) => self.configure(fleet, now, &mut actions),
            Event::Arrived(arrival) => self.handle_arrival(*arrival, now, &mut actions),
            Event::Offered {
                id,
                endpoint,
                offer,
            } => self.handle_offer(id, endpoint, offer, now, &mut actions),
            Event::Returned {
                id,
                endpoint,
                reason,
            } => self.handle_return(id, &endpoint, reason, now, &mut actions),
            Event::Unreachable { id, endpoint } => {
                self.placement.avoid(endpoint.clone(), now + AVOIDANCE_TIME);
                self.handle_return(id, &endpoint, ReturnReason::EndpointDown, now, &mut actions);
            }
            Event::AnswerStarted(request) => self.handle_answer_start(request),
            Event::Ended { request, ending } => self.handle_end(request, ending, now, &mut actions),
            Event::Inquired { request, status } => {
                self.handle_inquiry(request, status, now, &mut actions);
            }
            Event::CallerDisconnected(request) => {
                self.handle_disconnect(request, now, &mut actions);
            }
            Event::LoanRequested(request) => self.handle_loan_request(*request, now, &mut actions),
            Event::LoanAnswered { request, loan } => {
                self.handle_loan_answer(&request, loan, now, &mut actions);
            }
            Event::Warned(warning) => self.containment.apply_warning(&warning, now),
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    /// Returns the latest time at which the entry needs an [`Event::Tick`].
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let first = self.timers.first().map(|(time, _)| *time);
        first.unwrap_or(Timestamp::NEVER).min(self.ledger.wake())
    }

    /// Returns whether the entry owns no request, so that a leaving process may exit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the entry's state for operators.
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
            awaiting_tokens: self.token_queues.iter().map(count).collect(),
            shares: self.ledger.states(now),
            bodies: self.containment.states(now),
            avoided: self.placement.avoided(now),
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
        self.notify_peers(now, actions);
    }

    fn tick(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.notify_peers(now, actions);
        while let Some(&(time, request)) = self.timers.first()
            && time <= now
        {
            self.timers.pop_first();
            self.handle_timer(request, now, actions);
        }
    }

    /// Handles an expired timer of a request.
    fn handle_timer(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.timer = None;
        match pending.phase {
            Phase::AwaitingTokens { .. } => self.retry_charge(request, now, actions),
            Phase::AwaitingOffer if pending.deadline <= now => {
                let delay = self.route_waits.retry_delay(&pending.arrival.route);
                let refusal = Refusal::new(RefusalKind::DeadlineExceeded).with_retry(delay);
                self.refuse(request, refusal, now, actions);
            }
            Phase::Dispatched {
                answering: false, ..
            }
            | Phase::Inquiring { .. }
                if pending.deadline <= now =>
            {
                self.expire(request, actions);
            }
            Phase::AwaitingOffer => self.widen(request, now, actions),
            Phase::Dispatched { .. } | Phase::Inquiring { .. } => {}
        }
    }

    /// Sets the time at which a request is checked next.
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

    /// Removes a request together with its timer and its position in the token queue.
    fn remove(&mut self, request: RequestId) -> Option<Pending> {
        self.clear_timer(request);
        let pending = self.requests.remove(&request)?;
        self.undispatched.remove(&pending.shed_key());
        if matches!(pending.phase, Phase::AwaitingTokens { .. }) {
            self.leave_token_queue(&pending.team, request);
        }
        Some(pending)
    }
}
