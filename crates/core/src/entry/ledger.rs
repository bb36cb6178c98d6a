//! The tokens of each team that one entry may spend.
//!
//! A team's rate and burst are split evenly among its holders, which are declared entry hosts
//! chosen by a rendezvous hash. A share starts empty, so that a restart never creates tokens. An
//! entry that lacks tokens borrows from the holders. `docs/design/rate.md` explains why no
//! time window exceeds the team's rate and burst.

mod borrowing;
mod headroom;
mod holders;
mod lending;
mod loan;
mod outbox;
mod share;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

use crate::fleet::Fleet;
use crate::id::Generation;
use crate::name::{HostName, TeamName};
use crate::time::Timestamp;

use borrowing::Borrower;
pub use holders::{HOLDER_LIMIT, HolderSet};
pub use loan::{LOAN_LIFETIME, Loan, LoanId, LoanRequest, Return};
use share::{Share, Shortage};

/// Time within which every reachable process has a new configuration in force.
///
/// A share that grows or starts because the set of hosts changed does so only after this time.
pub const HANDOVER_TIME: Duration = Duration::from_secs(10);

/// Time for which notices to a lender wait for a loan request that can carry them.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Generation of a document that is published for the first time.
const FIRST_GENERATION: Generation = Generation(1);

/// Interval between the confirmation requests of a process that has just started.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Reason why tokens could not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortfall {
    /// The request exceeds the team's whole burst, or the team's rate is zero.
    TooLarge,
    /// The share currently holds too few tokens.
    Short {
        /// Time in which the team's whole rate would produce the missing tokens.
        refill: Duration,
    },
}

/// Tokens charged for a request and where they came from, so that unused tokens can be refunded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Charge {
    /// Amount paid from the share's own level, in parts of a token.
    own: u128,
    /// Number of the headroom minimum recorded when the share paid.
    minimum: u64,
    /// Tokens paid from loans, by lender and loan.
    loans: Vec<(HostName, LoanId, u64)>,
}

/// State of one team's share, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShareState {
    /// The team.
    pub team: TeamName,
    /// Tokens that this host may spend now.
    pub level: u64,
    /// Capacity of this host's share in tokens.
    pub capacity: u64,
    /// Tokens lent to other hosts for which capacity is still reserved.
    pub lent: u64,
    /// Borrowed tokens that exceed the share's capacity.
    pub borrowed: u64,
}

/// This entry's shares of all declared teams.
#[derive(Debug)]
pub struct Ledger {
    name: HostName,
    holders: HolderSet,
    shares: BTreeMap<TeamName, Account>,
    /// Peers that have not yet confirmed the set of hosts since this process started.
    unconfirmed: BTreeSet<HostName>,
    /// Whether the shares of this process are open. Such a process knows which hosts were declared
    /// before.
    opened: bool,
    /// Whether this process or a confirming peer has verified that no undeclared host may spend
    /// after `start`.
    verified: bool,
    start: Timestamp,
    /// Time at which the last change of the set of hosts is in force everywhere.
    hosts_settled: Timestamp,
    next_confirm: Timestamp,
    /// Times at which the pending notices of a team are sent to its lenders.
    flushes: BTreeSet<(Timestamp, TeamName)>,
    next_id: u64,
}

#[derive(Debug)]
struct Account {
    share: Share,
    borrower: Borrower,
    flush: Option<Timestamp>,
}

impl Ledger {
    /// Creates a ledger without shares. `first_id` is the first number of its loan requests and
    /// loans; the caller draws it at random so that messages of an earlier process match none of
    /// this one.
    #[must_use]
    pub fn new(name: HostName, first_id: u64) -> Self {
        Self {
            name,
            holders: HolderSet::default(),
            shares: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            opened: false,
            verified: false,
            start: Timestamp::ZERO,
            hosts_settled: Timestamp::ZERO,
            next_confirm: Timestamp::NEVER,
            flushes: BTreeSet::new(),
            next_id: first_id,
        }
    }

    /// Applies a configuration. Shares that shrink do so at once; shares that grow because the set
    /// of hosts changed do so after [`HANDOVER_TIME`].
    pub fn configure(&mut self, fleet: &Fleet, now: Timestamp) {
        let holders = HolderSet::new(fleet);
        if holders != self.holders {
            self.change_holders(&holders, is_first_published(fleet), now);
        }
        self.shares.retain(|team, _| fleet.teams.contains_key(team));
        for team in fleet.teams.values() {
            let part = holders.part(&self.name, &team.name);
            let account = self
                .shares
                .entry(team.name.clone())
                .or_insert_with(|| Account {
                    share: Share::new(now),
                    borrower: Borrower::default(),
                    flush: None,
                });
            account.share.configure(team, part, self.hosts_settled, now);
            account.borrower.peers = holders.peers(&self.name, &team.name);
            account.borrower.rate = team.rate / holders.count(&team.name).max(1);
        }
        self.holders = holders;
        self.open_if_verified(now);
    }

    /// Applies a change of the set of hosts. A host that is no longer declared may spend until it
    /// receives the change. A new host waits until all others have confirmed the new set and one of
    /// them has reported which hosts were declared before.
    fn change_holders(&mut self, holders: &HolderSet, first: bool, now: Timestamp) {
        let starts = !self.opened || !self.holders.contains(&self.name);
        if starts || !self.holders.is_subset(holders) {
            self.hosts_settled = now + HANDOVER_TIME;
        }
        if starts {
            self.opened = false;
            self.unconfirmed = holders.others(&self.name);
            self.verified = first;
            self.start = now;
            self.next_confirm = now;
        }
    }

    /// Takes `tokens` from a team's share.
    ///
    /// # Errors
    /// Returns a [`Shortfall`] if the share and its loans do not hold the tokens.
    pub fn take(
        &mut self,
        team: &TeamName,
        tokens: u64,
        now: Timestamp,
    ) -> Result<Charge, Shortfall> {
        let Some(account) = self.shares.get_mut(team) else {
            return Err(Shortfall::TooLarge);
        };
        account.share.take(tokens, now)
    }

    /// Refunds tokens that were charged and not used.
    pub fn refund(&mut self, team: &TeamName, charge: &Charge, unused: u64, now: Timestamp) {
        if let Some(account) = self.shares.get_mut(team) {
            account.share.refund(charge, unused, now);
        }
        self.schedule_flush(team, now + FLUSH_DELAY);
    }

    /// Returns the loan requests to send now so that a request of `tokens` can be paid, if any peer
    /// may grant them. `total` is the cost of all requests of the team that wait here.
    pub fn loan_requests(
        &mut self,
        team: &TeamName,
        tokens: u64,
        total: u64,
        now: Timestamp,
    ) -> Vec<LoanRequest> {
        let Some(account) = self.shares.get_mut(team) else {
            return Vec::new();
        };
        let shortage = account.share.shortage(tokens, total, now);
        let peers = account.borrower.select_peers(&shortage, now);
        self.create_requests(team, peers, &shortage, now)
    }

    fn create_requests(
        &mut self,
        team: &TeamName,
        peers: Vec<HostName>,
        shortage: &Shortage,
        now: Timestamp,
    ) -> Vec<LoanRequest> {
        let Some(account) = self.shares.get_mut(team) else {
            return Vec::new();
        };
        let mut requests = Vec::new();
        for peer in peers {
            self.next_id = self.next_id.wrapping_add(1);
            account.borrower.record_sent(&peer, self.next_id, now);
            let notices = account.share.take_notices(&peer);
            requests.push(LoanRequest {
                id: self.next_id,
                peer,
                team: Some(team.clone()),
                need: shortage.need,
                limit: shortage.limit,
                settled: notices.settled,
                returned: notices.returned,
            });
        }
        requests
    }

    /// Returns the earliest time at which peers may grant the tokens that a request of `tokens`
    /// lacks, or `None` if they seem to have too few. The time is `now` while a loan request is
    /// pending.
    pub fn earliest_loan(
        &mut self,
        team: &TeamName,
        tokens: u64,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let account = self.shares.get_mut(team)?;
        let shortage = account.share.shortage(tokens, tokens, now);
        account.borrower.earliest_grant(shortage.need, now)
    }

    /// Answers a peer's loan request. The tokens are debited before the answer is sent. `waiting`
    /// is the size of the first request of that team that waits for tokens here, if any. Of two
    /// holders that both lack tokens, the one that lacks more lends, so that they do not refuse
    /// each other.
    pub fn lend(&mut self, request: &LoanRequest, waiting: Option<u64>, now: Timestamp) -> Loan {
        let id = LoanId(self.next_id);
        let account = request
            .team
            .as_ref()
            .and_then(|team| self.shares.get_mut(team));
        let grant = account.map(|account| {
            let lack = waiting.map(|tokens| account.share.shortage(tokens, tokens, now).need);
            let busy = lack.is_some_and(|lack| (lack, &self.name) <= (request.need, &request.peer));
            account.share.lend(id, request, busy, now)
        });
        let grant = grant.unwrap_or_default();
        if grant.tokens > 0 {
            self.next_id = self.next_id.wrapping_add(1);
        }
        Loan {
            id,
            tokens: grant.tokens,
            left: grant.left,
            holders: self.holders.fingerprint(),
            settling: self.opened.then(|| self.settling(now)),
        }
    }

    /// Returns the time until a new holder may start. By then every process knows which hosts the
    /// current configuration has removed, and no outstanding loan exceeds the lender's new
    /// capacity.
    fn settling(&self, now: Timestamp) -> Duration {
        let excess_times = self
            .shares
            .values()
            .map(|account| account.share.excess_time(now));
        excess_times.fold(self.hosts_settled.since(now), Duration::max)
    }

    /// Processes the answer to a loan request, or its failure.
    pub fn apply_answer(&mut self, request: &LoanRequest, loan: Option<Loan>, now: Timestamp) {
        if let Some(loan) = &loan {
            self.record_confirmation(&request.peer, loan, now);
        }
        let Some(team) = &request.team else { return };
        let Some(account) = self.shares.get_mut(team) else {
            return;
        };
        let sent = account
            .borrower
            .complete_request(request, loan.as_ref(), now);
        let (Some(sent), Some(loan)) = (sent, loan) else {
            return;
        };
        if loan.tokens > 0 {
            let expiry = sent + LOAN_LIFETIME;
            account.share.credit(&request.peer, &loan, expiry, now);
            self.schedule_flush(team, expiry.min(now + FLUSH_DELAY));
        }
    }

    /// Schedules the notices to a team's lenders for `time` or earlier.
    fn schedule_flush(&mut self, team: &TeamName, time: Timestamp) {
        if let Some(account) = self.shares.get_mut(team) {
            let time = time.min(account.flush.unwrap_or(time));
            if let Some(earlier) = account.flush.replace(time) {
                self.flushes.remove(&(earlier, team.clone()));
            }
            self.flushes.insert((time, team.clone()));
        }
    }

    /// Returns messages for the notices that are due.
    pub fn flush(&mut self, now: Timestamp) -> Vec<LoanRequest> {
        let mut requests = Vec::new();
        while let Some((time, team)) = self.flushes.pop_first() {
            if now < time {
                self.flushes.insert((time, team));
                break;
            }
            let Some(account) = self.shares.get_mut(&team) else {
                continue;
            };
            account.flush = None;
            for (peer, notices) in account.share.take_all_notices(now) {
                requests.push(LoanRequest {
                    team: Some(team.clone()),
                    settled: notices.settled,
                    returned: notices.returned,
                    ..LoanRequest::empty(peer)
                });
            }
            if let Some(expiry) = account.share.next_expiry() {
                self.schedule_flush(&team, expiry);
            }
        }
        requests
    }

    fn record_confirmation(&mut self, peer: &HostName, loan: &Loan, now: Timestamp) {
        if self.opened || loan.holders != self.holders.fingerprint() {
            return;
        }
        self.unconfirmed.remove(peer);
        if let Some(settling) = loan.settling {
            self.verified = true;
            self.start = self.start.max(now + settling);
        }
        self.open_if_verified(now);
    }

    /// Opens the shares of a new process before [`HANDOVER_TIME`] has passed if this is safe.
    fn open_if_verified(&mut self, now: Timestamp) {
        if self.opened || !self.verified || !self.unconfirmed.is_empty() || self.holders.is_empty()
        {
            return;
        }
        self.open();
        self.hosts_settled = self.hosts_settled.min(self.start.max(now));
        for account in self.shares.values_mut() {
            account.share.set_start(self.hosts_settled);
        }
    }

    fn open(&mut self) {
        self.opened = true;
        self.unconfirmed.clear();
        self.next_confirm = Timestamp::NEVER;
    }

    /// Returns the requests by which a process that has just started checks whether its peers know
    /// the same hosts.
    pub fn confirmation_requests(&mut self, now: Timestamp) -> Vec<LoanRequest> {
        if now < self.next_confirm {
            return Vec::new();
        }
        if now >= self.hosts_settled {
            self.open();
            return Vec::new();
        }
        self.next_confirm = now + CONFIRM_INTERVAL;
        let peers = self.unconfirmed.iter().cloned();
        peers.map(LoanRequest::empty).collect()
    }

    /// Returns the earliest time at which [`Ledger::confirmation_requests`] or [`Ledger::flush`]
    /// has something to send.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let flush = self.flushes.first().map(|(time, _)| *time);
        self.next_confirm.min(flush.unwrap_or(Timestamp::NEVER))
    }

    /// Returns the state of every share that is not full or has loans.
    #[must_use]
    pub fn states(&self, now: Timestamp) -> Vec<ShareState> {
        let state = |(team, account): (&TeamName, &Account)| account.share.state(team, now);
        self.shares.iter().filter_map(state).collect()
    }
}

/// Returns whether a configuration is the first that was ever published, so that no other host can
/// have been declared before.
fn is_first_published(fleet: &Fleet) -> bool {
    let mut generations = fleet.generations.values();
    generations.all(|generation| *generation <= FIRST_GENERATION)
}
