//! Rate and burst of each team, as one entry may spend them.
//!
//! A team's rate and burst are split evenly among its holders: declared entry hosts that a
//! rendezvous hash picks. A share starts empty, so that a restart never makes tokens. An entry that
//! is short borrows from the holders. The argument that no window exceeds the promise is in
//! `docs/design/rate.md`.

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
pub use holders::{HOLDERS_LIMIT, HolderSet};
pub use loan::{Ask, LOAN_LIFETIME, Loan, LoanId, Return};
use share::{Share, Wish};

/// Time in which every process that can be reached has a configuration in force.
///
/// A share that grows or begins because the set of hosts changed does so only after this time.
pub const HANDOVER: Duration = Duration::from_secs(10);

/// How long words to a lender wait for an ask that takes them along.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Generation of a document that was never published before.
const FIRST_GENERATION: Generation = Generation(1);

/// Pause between the questions of a process that has just started.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Why tokens could not be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortfall {
    /// The request is larger than the team's whole burst, or the team's rate is zero.
    TooLarge,
    /// The share holds too little now.
    Short {
        /// When the team's own rate would have filled the gap.
        refill: Duration,
    },
}

/// What a request was charged, by which its unused tokens are given back.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Charge {
    /// Parts of tokens that the share's own level paid.
    own: u128,
    /// Low point of the share's headroom at which it paid.
    mark: u64,
    /// Tokens that loans paid.
    loans: Vec<(HostName, LoanId, u64)>,
}

/// What operators see of one team's share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShareState {
    /// The team.
    pub team: TeamName,
    /// Tokens that may be spent here now.
    pub level: u64,
    /// Tokens that this host's share holds when full.
    pub capacity: u64,
    /// Tokens lent to other hosts whose room is still held for them.
    pub lent: u64,
    /// Tokens borrowed beyond the share's capacity.
    pub borrowed: u64,
}

/// This entry's shares of every declared team.
#[derive(Debug)]
pub struct Ledger {
    name: HostName,
    holders: HolderSet,
    shares: BTreeMap<TeamName, Account>,
    /// Peers that have not yet confirmed the set of hosts to a process that has just started.
    unheard: BTreeSet<HostName>,
    /// Whether this process has shares, and so knows which hosts were declared before.
    opened: bool,
    /// Whether this process, or a peer that has confirmed, knows that no undeclared host may spend
    /// after `begin`.
    vouched: bool,
    begin: Timestamp,
    /// When a change of the set of hosts is in force everywhere.
    settled: Timestamp,
    confirm: Timestamp,
    /// When lenders of a team are told what there is to tell.
    flushes: BTreeSet<(Timestamp, TeamName)>,
    next: u64,
}

#[derive(Debug)]
struct Account {
    share: Share,
    borrower: Borrower,
    flush: Option<Timestamp>,
}

impl Ledger {
    /// A ledger without shares. `first` numbers its asks and loans; it is drawn at random, so that
    /// the messages of an earlier process match nothing.
    #[must_use]
    pub fn new(name: HostName, first: u64) -> Self {
        Self {
            name,
            holders: HolderSet::default(),
            shares: BTreeMap::new(),
            unheard: BTreeSet::new(),
            opened: false,
            vouched: false,
            begin: Timestamp::ZERO,
            settled: Timestamp::ZERO,
            confirm: Timestamp::NEVER,
            flushes: BTreeSet::new(),
            next: first,
        }
    }

    /// Takes a configuration: shares that shrink do so at once, shares that grow because the set of
    /// hosts changed do so after [`HANDOVER`].
    pub fn configure(&mut self, fleet: &Fleet, now: Timestamp) {
        let holders = HolderSet::new(fleet);
        if holders != self.holders {
            self.change_holders(&holders, is_first(fleet), now);
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
            account.share.configure(team, part, self.settled, now);
            account.borrower.peers = holders.peers(&self.name, &team.name);
            account.borrower.rate = team.rate / holders.count(&team.name).max(1);
        }
        self.holders = holders;
        self.open_if_vouched(now);
    }

    /// A host that is no longer declared may spend until it knows. One that is new waits until the
    /// others have told that they know it, and one of them what was declared before.
    fn change_holders(&mut self, holders: &HolderSet, first: bool, now: Timestamp) {
        let begins = !self.opened || !self.holders.contains(&self.name);
        if begins || !self.holders.is_subset(holders) {
            self.settled = now + HANDOVER;
        }
        if begins {
            self.opened = false;
            self.unheard = holders.others(&self.name);
            self.vouched = first;
            self.begin = now;
            self.confirm = now;
        }
    }

    /// Takes `tokens` of a team.
    ///
    /// # Errors
    /// Returns a [`Shortfall`] if the tokens are not here.
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

    /// Gives back tokens that were charged and not used.
    pub fn refund(&mut self, team: &TeamName, charge: &Charge, unused: u64, now: Timestamp) {
        if let Some(account) = self.shares.get_mut(team) {
            account.share.give(charge, unused, now);
        }
        self.flush_after(team, now + FLUSH_DELAY);
    }

    /// The asks to send now so that a request of `tokens` can be paid, if any peer may help. `total`
    /// is what all requests of the team lack that wait here.
    pub fn asks(&mut self, team: &TeamName, tokens: u64, total: u64, now: Timestamp) -> Vec<Ask> {
        let Some(account) = self.shares.get_mut(team) else {
            return Vec::new();
        };
        let wish = account.share.wish(tokens, total, now);
        let peers = account.borrower.asks(&wish, now);
        self.address(team, peers, &wish, now)
    }

    fn address(
        &mut self,
        team: &TeamName,
        peers: Vec<HostName>,
        wish: &Wish,
        now: Timestamp,
    ) -> Vec<Ask> {
        let Some(account) = self.shares.get_mut(team) else {
            return Vec::new();
        };
        let mut asks = Vec::new();
        for peer in peers {
            self.next = self.next.wrapping_add(1);
            account.borrower.sent(&peer, self.next, now);
            let words = account.share.words(&peer);
            asks.push(Ask {
                id: self.next,
                peer,
                team: Some(team.clone()),
                need: wish.need,
                most: wish.most,
                settled: words.settled,
                returned: words.returned,
            });
        }
        asks
    }

    /// When peers may grant what a request of `tokens` lacks, or `None` if they seem to have too
    /// little. It is now if an ask is under way.
    pub fn prospect(&mut self, team: &TeamName, tokens: u64, now: Timestamp) -> Option<Timestamp> {
        let account = self.shares.get_mut(team)?;
        let wish = account.share.wish(tokens, tokens, now);
        account.borrower.prospect(wish.need, now)
    }

    /// Answers a peer's ask. The tokens are debited before the answer leaves. `waiting` is the size
    /// of the request of that team that waits for tokens here, if one does. Of two holders that both
    /// lack tokens, the one that lacks more lends.
    pub fn lend(&mut self, ask: &Ask, waiting: Option<u64>, now: Timestamp) -> Loan {
        let id = LoanId(self.next);
        let account = ask.team.as_ref().and_then(|team| self.shares.get_mut(team));
        let grant = account.map(|account| {
            let lack = waiting.map(|tokens| account.share.wish(tokens, tokens, now).need);
            let busy = lack.is_some_and(|lack| (lack, &self.name) <= (ask.need, &ask.peer));
            account.share.lend(id, ask, busy, now)
        });
        let grant = grant.unwrap_or_default();
        if grant.tokens > 0 {
            self.next = self.next.wrapping_add(1);
        }
        Loan {
            id,
            tokens: grant.tokens,
            left: grant.left,
            holders: self.holders.fingerprint(),
            settling: self.opened.then(|| self.settling(now)),
        }
    }

    /// Time until a new holder may begin: every process knows of the hosts that this set left out,
    /// and no loan is out that the parts of this set do not hold.
    fn settling(&self, now: Timestamp) -> Duration {
        let overhangs = self
            .shares
            .values()
            .map(|account| account.share.overhang(now));
        overhangs.fold(self.settled.since(now), Duration::max)
    }

    /// Takes the answer to an ask, or its failure.
    pub fn lent(&mut self, ask: &Ask, loan: Option<Loan>, now: Timestamp) {
        if let Some(loan) = &loan {
            self.confirmed(&ask.peer, loan, now);
        }
        let Some(team) = &ask.team else { return };
        let Some(account) = self.shares.get_mut(team) else {
            return;
        };
        let asked = account.borrower.answered(ask, loan.as_ref(), now);
        let (Some(asked), Some(loan)) = (asked, loan) else {
            return;
        };
        if loan.tokens > 0 {
            let expiry = asked + LOAN_LIFETIME;
            account.share.borrow(&ask.peer, &loan, expiry, now);
            self.flush_after(team, expiry.min(now + FLUSH_DELAY));
        }
    }

    /// Sees to it that lenders are told what there is to tell, soon after `time`.
    fn flush_after(&mut self, team: &TeamName, time: Timestamp) {
        if let Some(account) = self.shares.get_mut(team) {
            let time = time.min(account.flush.unwrap_or(time));
            if let Some(earlier) = account.flush.replace(time) {
                self.flushes.remove(&(earlier, team.clone()));
            }
            self.flushes.insert((time, team.clone()));
        }
    }

    /// Words to lenders that have waited long enough.
    pub fn flush(&mut self, now: Timestamp) -> Vec<Ask> {
        let mut asks = Vec::new();
        while let Some((time, team)) = self.flushes.pop_first() {
            if now < time {
                self.flushes.insert((time, team));
                break;
            }
            let Some(account) = self.shares.get_mut(&team) else {
                continue;
            };
            account.flush = None;
            for (peer, words) in account.share.all_words(now) {
                asks.push(Ask {
                    team: Some(team.clone()),
                    settled: words.settled,
                    returned: words.returned,
                    ..Ask::question(peer)
                });
            }
            if let Some(expiry) = account.share.next_expiry() {
                self.flush_after(&team, expiry);
            }
        }
        asks
    }

    fn confirmed(&mut self, peer: &HostName, loan: &Loan, now: Timestamp) {
        if self.opened || loan.holders != self.holders.fingerprint() {
            return;
        }
        self.unheard.remove(peer);
        if let Some(settling) = loan.settling {
            self.vouched = true;
            self.begin = self.begin.max(now + settling);
        }
        self.open_if_vouched(now);
    }

    /// Lets the shares of a new process begin before [`HANDOVER`] has passed, if that is safe.
    fn open_if_vouched(&mut self, now: Timestamp) {
        if self.opened || !self.vouched || !self.unheard.is_empty() || self.holders.is_empty() {
            return;
        }
        self.open();
        self.settled = self.settled.min(self.begin.max(now));
        for account in self.shares.values_mut() {
            account.share.begin(self.settled);
        }
    }

    fn open(&mut self) {
        self.opened = true;
        self.unheard.clear();
        self.confirm = Timestamp::NEVER;
    }

    /// Asks that tell a process that has just started whether its peers know the same hosts.
    pub fn confirmations(&mut self, now: Timestamp) -> Vec<Ask> {
        if now < self.confirm {
            return Vec::new();
        }
        if now >= self.settled {
            self.open();
            return Vec::new();
        }
        self.confirm = now + CONFIRM_INTERVAL;
        let peers = self.unheard.iter().cloned();
        peers.map(Ask::question).collect()
    }

    /// When [`Ledger::confirmations`] or [`Ledger::flush`] has something to say.
    #[must_use]
    pub fn wake(&self) -> Timestamp {
        let flush = self.flushes.first().map(|(time, _)| *time);
        self.confirm.min(flush.unwrap_or(Timestamp::NEVER))
    }

    /// Every share that is not simply full.
    #[must_use]
    pub fn states(&self, now: Timestamp) -> Vec<ShareState> {
        let state = |(team, account): (&TeamName, &Account)| account.share.state(team, now);
        self.shares.iter().filter_map(state).collect()
    }
}

/// Whether a configuration is the first that was ever published, so that no other host can have
/// been declared before.
fn is_first(fleet: &Fleet) -> bool {
    let mut generations = fleet.generations.values();
    generations.all(|generation| *generation <= FIRST_GENERATION)
}
