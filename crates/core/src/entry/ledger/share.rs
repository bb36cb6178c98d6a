//! One host's share of one team: a token bucket that lends and borrows.
//!
//! At any time the levels of all shares, with the loans that are on their way or kept beyond a
//! borrower's capacity, are at most the team's burst. The lender keeps the room of a loan free
//! until the loan is settled or can no longer be credited.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::headroom::Headroom;
use super::holders::Part;
use super::lending::Lending;
use super::loan::{Ask, LOAN_LIFETIME, Loan, LoanId, Return};
use super::outbox::{Outbox, Words};
use super::{Charge, ShareState, Shortfall};
use crate::fleet::Team;
use crate::name::{HostName, TeamName};
use crate::time::Timestamp;

/// Parts of a token, so that slow rates lose nothing to rounding.
const PARTS_PER_TOKEN: u128 = PARTS_PER_MICRO * 1_000_000;
const PARTS_PER_MICRO: u128 = 1 << 20;

/// How long a lender keeps the room of a loan. It is longer than [`LOAN_LIFETIME`], which began
/// earlier, so that clocks may run at speeds that differ by a tenth.
const ROOM_LIFETIME: Duration = LOAN_LIFETIME.saturating_add(Duration::from_millis(100));

/// What a share needs for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wish {
    /// Tokens that the request lacks.
    pub(super) need: u64,
    /// Tokens that can be used at most.
    pub(super) most: u64,
}

/// What a lender could spare.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Grant {
    /// Tokens debited.
    pub(super) tokens: u64,
    /// Tokens that are left.
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
    /// The part that comes in force, and when.
    next: (Part, Timestamp),
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
            next: (Part::default(), now),
            level: 0,
            updated: now,
            lending: Lending::default(),
            borrowed: VecDeque::new(),
            headroom: Headroom::default(),
            outbox: Outbox::default(),
        }
    }

    /// Takes a declaration. A part that grows does so at `settled`.
    pub(super) fn configure(
        &mut self,
        team: &Team,
        part: Part,
        settled: Timestamp,
        now: Timestamp,
    ) {
        self.refill(now);
        self.headroom.note(self.capacity_left());
        (self.rate, self.burst) = (team.rate, team.burst);
        if part.exceeds(self.part) && now < settled {
            self.next = (part, settled);
        } else {
            self.part = part;
            self.next = (part, now);
        }
        self.clip();
    }

    /// Lets a part that waits come in force at another time.
    pub(super) fn begin(&mut self, time: Timestamp) {
        self.next.1 = time;
    }

    fn refill(&mut self, now: Timestamp) {
        let (part, start) = self.next;
        if part != self.part && start <= now {
            self.fill(start.max(self.updated));
            self.headroom.note(self.capacity_left());
            self.part = part;
        }
        self.fill(now);
        self.release(&[], now);
        self.expire(now);
        self.absorb();
    }

    /// Releases the room of loans that are over.
    fn release(&mut self, settled: &[LoanId], now: Timestamp) {
        let (room, level) = (self.room(), self.level);
        let headroom = &mut self.headroom;
        let mark = || headroom.note(room.saturating_sub(level));
        self.lending.release(settled, now, mark);
    }

    /// Gives back what was borrowed and not spent in time.
    fn expire(&mut self, now: Timestamp) {
        let expired = |loan: &&Borrowed| loan.expiry <= now;
        for loan in self.borrowed.iter().filter(expired) {
            let tokens = tokens(loan.parts);
            self.outbox.give_back(&loan.lender, loan.id, tokens);
            self.outbox.settle(&loan.lender, loan.id);
        }
        self.borrowed.retain(|loan| now < loan.expiry);
    }

    fn fill(&mut self, until: Timestamp) {
        let elapsed = until.since(self.updated).as_micros();
        self.updated = self.updated.max(until);
        self.level += self.gain(elapsed);
        self.clip();
    }

    fn clip(&mut self) {
        self.level = self.level.min(self.room());
    }

    /// What the share gains in a time.
    fn gain(&self, micros: u128) -> u128 {
        let whole = micros * u128::from(self.rate) * PARTS_PER_MICRO;
        whole
            .checked_div(u128::from(self.part.divisor))
            .unwrap_or_default()
    }

    fn capacity(&self) -> u128 {
        u128::from(self.part.of(self.burst)) * PARTS_PER_TOKEN
    }

    /// What the level may be while loans are out.
    fn room(&self) -> u128 {
        self.capacity().saturating_sub(self.lending.room())
    }

    /// How long loans may be out beyond the capacity. They were given out of a larger part, so that
    /// whoever takes the rest of that part has to wait for them.
    pub(super) fn overhang(&self, now: Timestamp) -> Duration {
        let last = self
            .lending
            .last()
            .filter(|_| self.lending.room() > self.capacity());
        last.map_or(Duration::ZERO, |last| last.since(now))
    }

    fn borrowed_parts(&self) -> u128 {
        self.borrowed.iter().map(|loan| loan.parts).sum()
    }

    /// Moves loans into the level as far as its own room allows.
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
        self.room().saturating_sub(self.level)
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
        let have = self.level + self.borrowed_parts();
        if need <= have {
            return Ok(self.spend(need));
        }
        if count > self.burst || self.rate == 0 {
            return Err(Shortfall::TooLarge);
        }
        let micros = (need - have).div_ceil(u128::from(self.rate) * PARTS_PER_MICRO);
        Err(Shortfall::Short {
            refill: Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)),
        })
    }

    /// Spends loans first, since they expire.
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
            (charge.own, charge.mark) = (parts, self.debit(parts));
        }
        charge
    }

    /// Lowers the level. Returns the number of the low point of the headroom before it.
    fn debit(&mut self, parts: u128) -> u64 {
        let mark = self.headroom.note(self.capacity_left());
        self.level -= parts;
        mark
    }

    /// Gives unused tokens of a charge back, as if they had never been charged: first here, then to
    /// the lenders.
    pub(super) fn give(&mut self, charge: &Charge, unused: u64, now: Timestamp) {
        self.refill(now);
        let parts = u128::from(unused) * PARTS_PER_TOKEN;
        self.headroom.note(self.capacity_left());
        let own = match charge.own {
            0 => 0,
            own => self.headroom.refund(parts.min(own), charge.mark),
        };
        self.level += own;
        self.clip();
        let mut rest = tokens(parts - own);
        for (lender, loan, tokens) in &charge.loans {
            let back = rest.min(*tokens);
            self.outbox.give_back(lender, *loan, back);
            rest -= back;
        }
    }

    /// Takes what one lender is to be told.
    pub(super) fn words(&mut self, lender: &HostName) -> Words {
        self.outbox.take(lender)
    }

    /// Takes what the lenders are to be told at `now`.
    pub(super) fn all_words(&mut self, now: Timestamp) -> BTreeMap<HostName, Words> {
        self.refill(now);
        self.outbox.take_all()
    }

    /// When the first loan that is kept beyond the capacity expires.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.borrowed.iter().map(|loan| loan.expiry).min()
    }

    /// What a request of `count` tokens lacks, and how much can be used for all that wait.
    pub(super) fn wish(&mut self, count: u64, total: u64, now: Timestamp) -> Wish {
        self.refill(now);
        let have = self.level + self.borrowed_parts();
        let lack = |count: u64| {
            let parts = (u128::from(count) * PARTS_PER_TOKEN).saturating_sub(have);
            u64::try_from(parts.div_ceil(PARTS_PER_TOKEN)).unwrap_or(u64::MAX)
        };
        Wish {
            need: lack(count),
            most: lack(total.min(self.burst)).max(tokens(self.capacity_left())),
        }
    }

    /// Debits a loan. A share that is busy grants nothing.
    pub(super) fn lend(&mut self, id: LoanId, ask: &Ask, busy: bool, now: Timestamp) -> Grant {
        self.refill(now);
        self.take_back(&ask.returned);
        self.release(&ask.settled, now);
        let level = tokens(self.level);
        let spare = if busy { 0 } else { ask.need.max(level / 2) };
        let granted = spare.min(ask.most).min(level);
        if granted > 0 {
            let parts = u128::from(granted) * PARTS_PER_TOKEN;
            self.debit(parts);
            self.lending.add(id, parts, now + ROOM_LIFETIME);
        }
        Grant {
            tokens: granted,
            left: level - granted,
        }
    }

    fn take_back(&mut self, returned: &[Return]) {
        for back in returned {
            let parts = u128::from(back.tokens) * PARTS_PER_TOKEN;
            self.headroom.note(self.capacity_left());
            self.level += self.lending.take_back(back, parts, &mut self.headroom);
            self.clip();
        }
    }

    /// Credits a loan that lasts until `expiry`.
    pub(super) fn borrow(
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

    /// What operators see, or nothing if the share is full and no loan is out.
    pub(super) fn state(&self, team: &TeamName, now: Timestamp) -> Option<ShareState> {
        let gained = self.gain(now.since(self.updated).as_micros());
        let level = (self.level + gained).min(self.room());
        let lent = self.lending.room();
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
