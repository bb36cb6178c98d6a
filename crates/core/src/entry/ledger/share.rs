//! One host's share of one team: a token bucket that lends and borrows.
//!
//! At any time the levels of all shares, with the loans that are on their way or kept beyond a
//! borrower's capacity, are at most the team's burst. The lender keeps the room of a loan free
//! until the loan is settled or can no longer be credited.

use std::collections::VecDeque;
use std::time::Duration;

use super::headroom::Headroom;
use super::loan::{Ask, LOAN_LIFETIME, LoanId};
use super::{Charge, ShareState, Shortfall};
use crate::fleet::Team;
use crate::name::TeamName;
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
    /// When the rest of the need would be here.
    pub(super) wait: Duration,
}

#[derive(Debug)]
struct Lent {
    id: LoanId,
    parts: u128,
    expiry: Timestamp,
}

#[derive(Debug)]
struct Borrowed {
    parts: u128,
    expiry: Timestamp,
}

#[derive(Debug)]
pub(super) struct Share {
    rate: u64,
    burst: u64,
    /// One in so many of the team is held here; zero is none.
    divisor: u64,
    /// The divisor that comes in force, and when.
    next: (u64, Timestamp),
    level: u128,
    updated: Timestamp,
    lent: VecDeque<Lent>,
    borrowed: VecDeque<Borrowed>,
    headroom: Headroom,
}

impl Share {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            rate: 0,
            burst: 0,
            divisor: 0,
            next: (0, now),
            level: 0,
            updated: now,
            lent: VecDeque::new(),
            borrowed: VecDeque::new(),
            headroom: Headroom::default(),
        }
    }

    /// Takes a declaration. A part that grows does so at `settled`.
    pub(super) fn configure(
        &mut self,
        team: &Team,
        part: Option<u64>,
        settled: Timestamp,
        now: Timestamp,
    ) {
        self.refill(now);
        self.headroom.note(self.capacity_left());
        (self.rate, self.burst) = (team.rate, team.burst);
        let divisor = part.unwrap_or_default();
        let grows = divisor != 0 && (self.divisor == 0 || divisor < self.divisor);
        if grows && now < settled {
            self.next = (divisor, settled);
        } else {
            self.divisor = divisor;
            self.next = (divisor, now);
        }
        self.clip();
    }

    /// Lets a part that waits come in force at another time.
    pub(super) fn begin(&mut self, time: Timestamp) {
        self.next.1 = time;
    }

    fn refill(&mut self, now: Timestamp) {
        let (divisor, start) = self.next;
        if divisor != self.divisor && start <= now {
            self.fill(start.max(self.updated));
            self.headroom.note(self.capacity_left());
            self.divisor = divisor;
        }
        self.fill(now);
        self.drop_lent(|lent| lent.expiry <= now);
        self.borrowed.retain(|loan| now < loan.expiry);
        self.absorb();
    }

    /// Forgets loans whose room is needed no longer.
    fn drop_lent(&mut self, over: impl Fn(&Lent) -> bool) {
        if self.lent.iter().any(&over) {
            self.headroom.note(self.capacity_left());
            self.lent.retain(|lent| !over(lent));
        }
    }

    fn fill(&mut self, until: Timestamp) {
        let elapsed = until.since(self.updated).as_micros();
        self.updated = self.updated.max(until);
        if self.divisor > 0 {
            let parts =
                elapsed * u128::from(self.rate) * PARTS_PER_MICRO / u128::from(self.divisor);
            self.level += parts;
        }
        self.clip();
    }

    fn clip(&mut self) {
        self.level = self.level.min(self.room());
    }

    fn capacity(&self) -> u128 {
        match self.divisor {
            0 => 0,
            divisor => u128::from(self.burst) * PARTS_PER_TOKEN / u128::from(divisor),
        }
    }

    /// What the level may be while loans are out.
    fn room(&self) -> u128 {
        self.capacity().saturating_sub(self.lent_parts())
    }

    fn lent_parts(&self) -> u128 {
        self.lent.iter().map(|lent| lent.parts).sum()
    }

    fn borrowed_parts(&self) -> u128 {
        self.borrowed.iter().map(|loan| loan.parts).sum()
    }

    /// Tokens borrowed beyond the capacity.
    pub(super) fn borrowed(&self) -> u64 {
        tokens(self.borrowed_parts().div_ceil(PARTS_PER_TOKEN) * PARTS_PER_TOKEN)
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
        while let Some(first) = self.borrowed.front().map(|loan| loan.parts) {
            let spent = first.min(parts);
            self.reduce_first(spent);
            parts -= spent;
            if parts == 0 {
                return Charge::default();
            }
        }
        let mark = self.debit(parts);
        Charge { own: parts, mark }
    }

    /// Lowers the level. Returns the number of the low point of the headroom before it.
    fn debit(&mut self, parts: u128) -> u64 {
        let mark = self.headroom.note(self.capacity_left());
        self.level -= parts;
        mark
    }

    /// Gives unused tokens of a charge back, as if they had never been charged. Those that a loan
    /// paid are lost.
    pub(super) fn give(&mut self, charge: Charge, unused: u64, now: Timestamp) {
        self.refill(now);
        let parts = (u128::from(unused) * PARTS_PER_TOKEN).min(charge.own);
        self.headroom.note(self.capacity_left());
        self.level += self.headroom.refund(parts, charge.mark);
        self.clip();
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
        self.drop_lent(|lent| ask.settled.contains(&lent.id));
        let level = tokens(self.level);
        let spare = if busy { 0 } else { ask.need.max(level / 2) };
        let granted = spare.min(ask.most).min(level);
        if granted > 0 {
            let parts = u128::from(granted) * PARTS_PER_TOKEN;
            self.debit(parts);
            let expiry = now + ROOM_LIFETIME;
            self.lent.push_back(Lent { id, parts, expiry });
        }
        let missing = ask.need.saturating_sub(granted);
        Grant {
            tokens: granted,
            left: level - granted,
            wait: self.fill_time(missing),
        }
    }

    fn fill_time(&self, count: u64) -> Duration {
        let slowness = u128::from(count) * u128::from(self.divisor) * 1_000_000;
        let micros = slowness / u128::from(self.rate.max(1));
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Credits a loan that lasts until `expiry`.
    pub(super) fn borrow(&mut self, count: u64, expiry: Timestamp, now: Timestamp) {
        self.refill(now);
        let parts = u128::from(count) * PARTS_PER_TOKEN;
        self.borrowed.push_back(Borrowed { parts, expiry });
        self.absorb();
    }

    /// What operators see, or nothing if the share is full and no loan is out.
    pub(super) fn state(&self, team: &TeamName, now: Timestamp) -> Option<ShareState> {
        let elapsed = now.since(self.updated).as_micros() * u128::from(self.rate);
        let filled = match self.divisor {
            0 => 0,
            divisor => elapsed * PARTS_PER_MICRO / u128::from(divisor),
        };
        let level = (self.level + filled).min(self.room());
        let lent = self.lent.iter().filter(|lent| now < lent.expiry);
        let lent: u128 = lent.map(|lent| lent.parts).sum();
        let borrowed = self.borrowed_parts();
        if level == self.capacity() && lent == 0 && borrowed == 0 {
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
