//! Charging teams, and waiting for borrowed tokens.

use std::time::Duration;

use super::super::ledger::{Ask, Loan, Shortfall};
use super::super::message::Action;
use super::super::pending::{Pending, Phase};
use super::Entry;
use crate::id::RequestId;
use crate::name::TeamName;
use crate::refusal::{Refusal, RefusalKind};
use crate::time::Timestamp;

/// How long a request waits for tokens at most.
const PAYMENT_WAIT: Duration = Duration::from_millis(500);

/// How often a waiting request looks for tokens.
const PAYMENT_INTERVAL: Duration = Duration::from_millis(20);

/// Requests of one team that wait for tokens at most.
const UNPAID_LIMIT: usize = 64;

impl Entry {
    /// Charges a request that has just arrived, or lets it wait behind the others of its team.
    pub(super) fn pay(&mut self, request: RequestId, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if !self.fleet.teams.contains_key(&pending.team) {
            return self.bind(request, now, actions);
        }
        let until = pending.deadline.min(now + PAYMENT_WAIT);
        pending.phase = Phase::Unpaid { until };
        let team = pending.team.clone();
        let waiting = self.unpaid.entry(team.clone()).or_default();
        if waiting.len() >= UNPAID_LIMIT {
            let refusal = Refusal::new(RefusalKind::RateExceeded).with_retry(PAYMENT_WAIT);
            return self.refuse(request, refusal, now, actions);
        }
        waiting.push_back(request);
        self.charge(&team, request, now, actions);
    }

    /// Looks again at a request that waits for tokens.
    pub(super) fn pay_again(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.requests.get(&request) {
            let team = pending.team.clone();
            self.charge(&team, request, now, actions);
        }
    }

    /// Charges every waiting request of a team that its tokens now cover.
    fn charge_all(&mut self, team: &TeamName, now: Timestamp, actions: &mut Vec<Action>) {
        for request in self.unpaid.get(team).cloned().unwrap_or_default() {
            self.charge(team, request, now, actions);
        }
    }

    /// Charges one request, or lets it wait while a loan or its team's rate may soon cover it.
    ///
    /// A request that the tokens cover does not wait behind a larger one that they do not cover, as
    /// it would not with one exact bucket.
    fn charge(
        &mut self,
        team: &TeamName,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let Phase::Unpaid { until } = pending.phase else {
            return;
        };
        let tokens = pending.arrival.cost.total();
        match self.ledger.take(team, tokens, now) {
            Ok(charge) => {
                pending.charge = charge;
                self.leave_unpaid(team, request);
                self.bind(request, now, actions);
            }
            Err(Shortfall::TooLarge) => {
                let refusal = Refusal::new(RefusalKind::RateExceeded);
                self.refuse(request, refusal, now, actions);
            }
            Err(Shortfall::Short { refill }) => {
                self.borrow(team, tokens, now, actions);
                let lent = self.ledger.prospect(team, tokens, now);
                let soon = refill <= PAYMENT_INTERVAL;
                if now < until && (soon || lent.is_some_and(|time| time < until)) {
                    return self.set_timer(request, until.min(now + PAYMENT_INTERVAL));
                }
                let refusal = Refusal::new(RefusalKind::RateExceeded).with_retry(refill);
                self.refuse(request, refusal, now, actions);
            }
        }
    }

    /// Asks peers for what a waiting request of a team lacks.
    fn borrow(&mut self, team: &TeamName, tokens: u64, now: Timestamp, actions: &mut Vec<Action>) {
        let waiting = self.unpaid.get(team).into_iter().flatten();
        let costs = waiting.filter_map(|request| self.requests.get(request));
        let total = costs.map(|pending| pending.arrival.cost.total()).sum();
        let asks = self.ledger.asks(team, tokens, total, now);
        actions.extend(asks.into_iter().map(|ask| Action::Borrow(Box::new(ask))));
    }

    /// Takes a request out of the line of those that wait for tokens.
    pub(super) fn leave_unpaid(&mut self, team: &TeamName, request: RequestId) {
        if let Some(waiting) = self.unpaid.get_mut(team) {
            waiting.retain(|other| *other != request);
            if waiting.is_empty() {
                self.unpaid.remove(team);
            }
        }
    }

    /// Tells peers what the ledger has to tell.
    pub(super) fn tell_peers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut asks = self.ledger.confirmations(now);
        asks.extend(self.ledger.flush(now));
        actions.extend(asks.into_iter().map(|ask| Action::Borrow(Box::new(ask))));
    }

    pub(super) fn borrow_asked(&mut self, ask: Ask, now: Timestamp, actions: &mut Vec<Action>) {
        let declared = self.fleet.hosts.contains_key(&ask.peer);
        let team = ask.team.as_ref();
        let first = team.and_then(|team| self.unpaid.get(team)?.front());
        let first = first.and_then(|request| self.requests.get(request));
        let waiting = first.map(|pending| pending.arrival.cost.total());
        if declared {
            actions.push(Action::Lend(self.ledger.lend(&ask, waiting, now)));
        }
    }

    pub(super) fn lent(
        &mut self,
        ask: &Ask,
        loan: Option<Loan>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.ledger.lent(ask, loan, now);
        if let Some(team) = &ask.team {
            self.charge_all(team, now, actions);
        }
    }

    /// Gives a request's unused tokens back to the share that paid them.
    pub(super) fn refund(&mut self, pending: &Pending, unused: u64, now: Timestamp) {
        self.ledger
            .refund(&pending.team, &pending.charge, unused, now);
    }
}
