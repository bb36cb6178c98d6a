//! Charges requests to their teams, queues requests that lack tokens, and exchanges loans with
//! peers.

use std::time::Duration;

use super::super::ledger::{Loan, LoanRequest, Shortfall};
use super::super::message::Action;
use super::super::pending::{Pending, Phase};
use super::Entry;
use crate::id::RequestId;
use crate::name::TeamName;
use crate::refusal::{Refusal, RefusalKind};
use crate::time::Timestamp;

/// Maximum time for which a request waits for tokens.
const TOKEN_WAIT: Duration = Duration::from_millis(500);

/// Interval at which the charge of a waiting request is retried.
const CHARGE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests of one team that wait for tokens.
const TOKEN_QUEUE_LIMIT: usize = 64;

impl Entry {
    /// Adds a request that has just been admitted to the token queue of its team and tries to
    /// charge it. Requests of undeclared teams are not charged.
    pub(super) fn enqueue_charge(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if !self.fleet.teams.contains_key(&pending.team) {
            return self.bind(request, now, actions);
        }
        let until = pending.deadline.min(now + TOKEN_WAIT);
        pending.phase = Phase::AwaitingTokens { until };
        let team = pending.team.clone();
        let queue = self.token_queues.entry(team.clone()).or_default();
        if queue.len() >= TOKEN_QUEUE_LIMIT {
            let refusal = Refusal::new(RefusalKind::RateExceeded).with_retry(TOKEN_WAIT);
            return self.refuse(request, refusal, now, actions);
        }
        queue.push_back(request);
        self.charge(&team, request, now, actions);
    }

    /// Retries the charge of a request that waits for tokens.
    pub(super) fn retry_charge(
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
        for request in self.token_queues.get(team).cloned().unwrap_or_default() {
            self.charge(team, request, now, actions);
        }
    }

    /// Charges one request, or keeps it queued while a loan or the team's own rate may cover it in
    /// time.
    ///
    /// A request that the available tokens cover does not wait behind a larger one that they do not
    /// cover, just as with a single exact bucket.
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
        let Phase::AwaitingTokens { until } = pending.phase else {
            return;
        };
        let tokens = pending.arrival.cost.total();
        match self.ledger.take(team, tokens, now) {
            Ok(charge) => {
                pending.charge = charge;
                self.leave_token_queue(team, request);
                self.bind(request, now, actions);
            }
            Err(Shortfall::TooLarge) => {
                let refusal = Refusal::new(RefusalKind::RateExceeded);
                self.refuse(request, refusal, now, actions);
            }
            Err(Shortfall::Short { refill }) => {
                self.borrow(team, tokens, now, actions);
                let loan_time = self.ledger.earliest_loan(team, tokens, now);
                let soon = refill <= CHARGE_INTERVAL;
                if now < until && (soon || loan_time.is_some_and(|time| time < until)) {
                    return self.set_timer(request, until.min(now + CHARGE_INTERVAL));
                }
                let refusal = Refusal::new(RefusalKind::RateExceeded).with_retry(refill);
                self.refuse(request, refusal, now, actions);
            }
        }
    }

    /// Sends loan requests for the tokens that a waiting request lacks.
    fn borrow(&mut self, team: &TeamName, tokens: u64, now: Timestamp, actions: &mut Vec<Action>) {
        let waiting = self.token_queues.get(team).into_iter().flatten();
        let costs = waiting.filter_map(|request| self.requests.get(request));
        let total = costs.map(|pending| pending.arrival.cost.total()).sum();
        let requests = self.ledger.loan_requests(team, tokens, total, now);
        actions.extend(
            requests
                .into_iter()
                .map(|request| Action::Borrow(Box::new(request))),
        );
    }

    /// Removes a request from the token queue of its team.
    pub(super) fn leave_token_queue(&mut self, team: &TeamName, request: RequestId) {
        if let Some(queue) = self.token_queues.get_mut(team) {
            queue.retain(|other| *other != request);
            if queue.is_empty() {
                self.token_queues.remove(team);
            }
        }
    }

    /// Sends the confirmation requests and loan notices that are due.
    pub(super) fn notify_peers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut requests = self.ledger.confirmation_requests(now);
        requests.extend(self.ledger.flush(now));
        actions.extend(
            requests
                .into_iter()
                .map(|request| Action::Borrow(Box::new(request))),
        );
    }

    pub(super) fn handle_loan_request(
        &mut self,
        loan_request: LoanRequest,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let declared = self.fleet.hosts.contains_key(&loan_request.peer);
        let team = loan_request.team.as_ref();
        let first = team.and_then(|team| self.token_queues.get(team)?.front());
        let first = first.and_then(|request| self.requests.get(request));
        let waiting = first.map(|pending| pending.arrival.cost.total());
        if declared {
            actions.push(Action::Lend(self.ledger.lend(&loan_request, waiting, now)));
        }
    }

    pub(super) fn handle_loan_answer(
        &mut self,
        loan_request: &LoanRequest,
        loan: Option<Loan>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        self.ledger.apply_answer(loan_request, loan, now);
        if let Some(team) = &loan_request.team {
            self.charge_all(team, now, actions);
        }
    }

    /// Refunds a request's unused tokens to the share and the loans that paid for them.
    pub(super) fn refund(&mut self, pending: &Pending, unused: u64, now: Timestamp) {
        self.ledger
            .refund(&pending.team, &pending.charge, unused, now);
    }
}
