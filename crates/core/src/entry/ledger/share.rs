//! One host's share of one team: a token bucket that lends and borrows.
//!
//! The levels of all shares, plus the loans that are in transit or kept beyond a borrower's
//! capacity, never exceed the team's burst. The lender therefore reserves capacity for a loan until
//! the loan is settled or can no longer be credited.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::headroom::Headroom;
use super::holders::Part;
use super::lending::Lending;
use super::loan::{LOAN_LIFETIME, Loan, LoanId, LoanRequest, Return};
use super::outbox::{Notices, Outbox};
use super::{Charge, ShareState, Shortfall};
use crate::fleet::Team;
use crate::name::{HostName, TeamName};
use crate::time::Timestamp;

/// Subdivision of a token, so that low rates lose nothing to rounding.
const PARTS_PER_TOKEN: u128 = PARTS_PER_MICROTOKEN * 1_000_000;
const PARTS_PER_MICROTOKEN: u128 = 1 << 20;

/// Time for which a lender reserves capacity for a loan. It exceeds [`LOAN_LIFETIME`], which starts
/// earlier, so that the clock speeds of the two hosts may differ by a tenth.
const LENT_CAPACITY_LIFETIME: Duration = LOAN_LIFETIME.saturating_add(Duration::from_millis(100));

/// Tokens that a share lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Shortage {
    /// Tokens that one request lacks.
    pub(super) need: u64,
    /// Maximum number of tokens that can be used.
    pub(super) limit: u64,
}

/// A lender's decision on a loan request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Grant {
    /// Tokens debited.
    pub(super) tokens: u64,
    /// Tokens left in the share.
    pub(super) left: u64,
}

#[derive(Debug)]
struct Borrowed {
    lender: HostName,
    id: LoanId,
    parts: u128,
    expiry: Timestamp,
}

#[derive(Debug)]
pub(super) struct Share {
    rate: u64,
    burst: u64,
    part: Part,
    /// The part that is or will be in force, and its start.
    next_part: (Part, Timestamp),
    level: u128,
    updated: Timestamp,
    lending: Lending,
    borrowed: VecDeque<Borrowed>,
    headroom: Headroom,
    outbox: Outbox,
}

impl Share {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            rate: 0,
            burst: 0,
            part: Part::default(),
            next_part: (Part::default(), now),
            level: 0,
            updated: now,
            lending: Lending::default(),
            borrowed: VecDeque::new(),
            headroom: Headroom::default(),
            outbox: Outbox::default(),
        }
    }

    /// Applies the configuration of the team. A part that grows does so at `start`.
    pub(super) fn configure(&mut self, team: &Team, part: Part, start: Timestamp, now: Timestamp) {
        self.refill(now);
        self.headroom.record(self.capacity_left());
        (self.rate, self.burst) = (team.rate, team.burst);
        if part.exceeds(self.part) && now < start {
            self.next_part = (part, start);
        } else {
            self.part = part;
            self.next_part = (part, now);
        }
        self.clamp_level();
    }

    /// Changes the time at which the next part starts.
    pub(super) fn set_start(&mut self, time: Timestamp) {
        self.next_part.1 = time;
    }

    fn refill(&mut self, now: Timestamp) {
        let (part, start) = self.next_part;
        if part != self.part && start <= now {
            self.fill(start.max(self.updated));
            self.headroom.record(self.capacity_left());
            self.part = part;
        }
        self.fill(now);
        self.release(&[], now);
        self.expire(now);
        self.absorb();
    }

    /// Releases the capacity reserved for loans that have expired or are among `settled`.
    fn release(&mut self, settled: &[LoanId], now: Timestamp) {
        let (max_level, level) = (self.max_level(), self.level);
        let headroom = &mut self.headroom;
        let record_minimum = || headroom.record(max_level.saturating_sub(level));
        self.lending.release(settled, now, record_minimum);
    }

    /// Returns borrowed tokens that were not spent before they expired.
    fn expire(&mut self, now: Timestamp) {
        let expired = |loan: &&Borrowed| loan.expiry <= now;
        for loan in self.borrowed.iter().filter(expired) {
            let tokens = tokens(loan.parts);
            self.outbox.return_tokens(&loan.lender, loan.id, tokens);
            self.outbox.settle(&loan.lender, loan.id);
        }
        self.borrowed.retain(|loan| now < loan.expiry);
    }

    fn fill(&mut self, until: Timestamp) {
        let elapsed = until.since(self.updated).as_micros();
        self.updated = self.updated.max(until);
        self.level += self.gain(elapsed);
        self.clamp_level();
    }

    fn clamp_level(&mut self) {
        self.level = self.level.min(self.max_level());
    }

    /// Parts of a token gained in `micros` microseconds.
    fn gain(&self, micros: u128) -> u128 {
        let undivided = micros * u128::from(self.rate) * PARTS_PER_MICROTOKEN;
        undivided
            .checked_div(u128::from(self.part.divisor))
            .unwrap_or_default()
    }

    fn capacity(&self) -> u128 {
        u128::from(self.part.of(self.burst)) * PARTS_PER_TOKEN
    }

    /// Returns the maximum level while capacity is reserved for loans.
    fn max_level(&self) -> u128 {
        self.capacity().saturating_sub(self.lending.reserved())
    }

    /// Returns the time until no outstanding loan can exceed the capacity. Such loans were granted
    /// from a larger part, so the host that receives the rest of that part has to wait for them.
    pub(super) fn excess_time(&self, now: Timestamp) -> Duration {
        let latest = self
            .lending
            .latest_expiry()
            .filter(|_| self.lending.reserved() > self.capacity());
        latest.map_or(Duration::ZERO, |latest| latest.since(now))
    }

    fn borrowed_parts(&self) -> u128 {
        self.borrowed.iter().map(|loan| loan.parts).sum()
    }

    /// Moves borrowed tokens into the level as far as its free capacity allows.
    fn absorb(&mut self) {
        while let Some(loan) = self.borrowed.front_mut() {
            let parts = loan.parts.min(self.capacity_left());
            if parts == 0 {
                return;
            }
            self.level += parts;
            self.reduce_first(parts);
        }
    }

    fn capacity_left(&self) -> u128 {
        self.max_level().saturating_sub(self.level)
    }

    fn reduce_first(&mut self, parts: u128) {
        if let Some(loan) = self.borrowed.front_mut() {
            loan.parts -= parts;
            if loan.parts == 0 {
                self.outbox.settle(&loan.lender, loan.id);
                self.borrowed.pop_front();
            }
        }
    }

    pub(super) fn take(&mut self, count: u64, now: Timestamp) -> Result<Charge, Shortfall> {
        self.refill(now);
        let need = u128::from(count) * PARTS_PER_TOKEN;
        let available = self.level + self.borrowed_parts();
        if need <= available {
            return Ok(self.spend(need));
        }
        if count > self.burst || self.rate == 0 {
            return Err(Shortfall::TooLarge);
        }
        let micros = (need - available).div_ceil(u128::from(self.rate) * PARTS_PER_MICROTOKEN);
        Err(Shortfall::Short {
            refill: Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)),
        })
    }

    /// Spends borrowed tokens first, since they expire.
    fn spend(&mut self, mut parts: u128) -> Charge {
        let mut charge = Charge::default();
        while let Some(first) = self.borrowed.front().filter(|_| parts > 0) {
            let spent = first.parts.min(parts);
            charge
                .loans
                .push((first.lender.clone(), first.id, tokens(spent)));
            self.reduce_first(spent);
            parts -= spent;
        }
        if parts > 0 {
            (charge.own, charge.minimum) = (parts, self.debit(parts));
        }
        charge
    }

    /// Lowers the level. Returns the number of the headroom minimum recorded before.
    fn debit(&mut self, parts: u128) -> u64 {
        let minimum = self.headroom.record(self.capacity_left());
        self.level -= parts;
        minimum
    }

    /// Refunds unused tokens of a charge as if they had never been charged: first to this share,
    /// then to the lenders.
    pub(super) fn refund(&mut self, charge: &Charge, unused: u64, now: Timestamp) {
        self.refill(now);
        let parts = u128::from(unused) * PARTS_PER_TOKEN;
        self.headroom.record(self.capacity_left());
        let own = match charge.own {
            0 => 0,
            own => self.headroom.refund(parts.min(own), charge.minimum),
        };
        self.level += own;
        self.clamp_level();
        let mut rest = tokens(parts - own);
        for (lender, loan, tokens) in &charge.loans {
            let amount = rest.min(*tokens);
            self.outbox.return_tokens(lender, *loan, amount);
            rest -= amount;
        }
    }

    /// Removes and returns the notices to one lender.
    pub(super) fn take_notices(&mut self, lender: &HostName) -> Notices {
        self.outbox.take(lender)
    }

    /// Removes and returns the notices to all lenders that are pending at `now`.
    pub(super) fn take_all_notices(&mut self, now: Timestamp) -> BTreeMap<HostName, Notices> {
        self.refill(now);
        self.outbox.take_all()
    }

    /// Returns the earliest expiry of a loan kept beyond the capacity.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.borrowed.iter().map(|loan| loan.expiry).min()
    }

    /// Returns the tokens that a request of `count` tokens lacks, and the maximum that can be used
    /// for all waiting requests, which cost `total`.
    pub(super) fn shortage(&mut self, count: u64, total: u64, now: Timestamp) -> Shortage {
        self.refill(now);
        let available = self.level + self.borrowed_parts();
        let lack = |count: u64| {
            let parts = (u128::from(count) * PARTS_PER_TOKEN).saturating_sub(available);
            u64::try_from(parts.div_ceil(PARTS_PER_TOKEN)).unwrap_or(u64::MAX)
        };
        Shortage {
            need: lack(count),
            limit: lack(total.min(self.burst)).max(tokens(self.capacity_left())),
        }
    }

    /// Debits a loan. A share grants nothing if it is `busy`, that is, if its own waiting request
    /// takes precedence.
    pub(super) fn lend(
        &mut self,
        id: LoanId,
        request: &LoanRequest,
        busy: bool,
        now: Timestamp,
    ) -> Grant {
        self.refill(now);
        self.accept_returns(&request.returned);
        self.release(&request.settled, now);
        let level = tokens(self.level);
        let spare = if busy { 0 } else { request.need.max(level / 2) };
        let granted = spare.min(request.limit).min(level);
        if granted > 0 {
            let parts = u128::from(granted) * PARTS_PER_TOKEN;
            self.debit(parts);
            self.lending.add(id, parts, now + LENT_CAPACITY_LIFETIME);
        }
        Grant {
            tokens: granted,
            left: level - granted,
        }
    }

    fn accept_returns(&mut self, returned: &[Return]) {
        for item in returned {
            let parts = u128::from(item.tokens) * PARTS_PER_TOKEN;
            self.headroom.record(self.capacity_left());
            self.level += self.lending.accept_return(item, parts, &mut self.headroom);
            self.clamp_level();
        }
    }

    /// Credits a loan that expires at `expiry`.
    pub(super) fn credit(
        &mut self,
        lender: &HostName,
        loan: &Loan,
        expiry: Timestamp,
        now: Timestamp,
    ) {
        self.borrowed.push_back(Borrowed {
            lender: lender.clone(),
            id: loan.id,
            parts: u128::from(loan.tokens) * PARTS_PER_TOKEN,
            expiry,
        });
        self.refill(now);
    }

    /// Returns the state for operators, or `None` if the share is full and has neither lent nor
    /// borrowed.
    pub(super) fn state(&self, team: &TeamName, now: Timestamp) -> Option<ShareState> {
        let gained = self.gain(now.since(self.updated).as_micros());
        let level = (self.level + gained).min(self.max_level());
        let lent = self.lending.reserved();
        let borrowed = self.borrowed_parts();
        if level == self.capacity() && self.lending.is_idle(now) && borrowed == 0 {
            return None;
        }
        Some(ShareState {
            team: team.clone(),
            level: tokens(level + borrowed),
            capacity: tokens(self.capacity()),
            lent: tokens(lent),
            borrowed: tokens(borrowed),
        })
    }
}

fn tokens(parts: u128) -> u64 {
    u64::try_from(parts / PARTS_PER_TOKEN).unwrap_or(u64::MAX)
}
