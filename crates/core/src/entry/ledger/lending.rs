//! Loans that a share has given out.

use std::collections::VecDeque;

use super::headroom::Headroom;
use super::loan::{LoanId, Return};
use crate::time::Timestamp;

/// Loans remembered for returns; the oldest is forgotten first.
const LOANS_LIMIT: usize = 256;

/// Returns of one loan at most.
const RETURNS_LIMIT: usize = 16;

#[derive(Debug)]
struct Lent {
    id: LoanId,
    parts: u128,
    /// Returns that were counted.
    returns: Vec<u64>,
    room: Room,
}

/// Whether a loan's room is kept free.
#[derive(Debug)]
enum Room {
    /// Until this time, or until the borrower has settled the loan.
    Kept(Timestamp),
    /// No longer, since the headroom's low point of this number.
    Released(u64),
}

/// The loans of one share.
#[derive(Debug, Default)]
pub(super) struct Lending {
    loans: VecDeque<Lent>,
}

impl Lending {
    pub(super) fn add(&mut self, id: LoanId, parts: u128, expiry: Timestamp) {
        if self.loans.len() >= LOANS_LIMIT {
            let old = |lent: &Lent| matches!(lent.room, Room::Released(_));
            if let Some(index) = self.loans.iter().position(old) {
                self.loans.remove(index);
            }
        }
        self.loans.push_back(Lent {
            id,
            parts,
            returns: Vec::new(),
            room: Room::Kept(expiry),
        });
    }

    /// The room that is kept for loans.
    pub(super) fn room(&self) -> u128 {
        let kept = |lent: &&Lent| matches!(lent.room, Room::Kept(_));
        self.loans.iter().filter(kept).map(|lent| lent.parts).sum()
    }

    /// Until when the last loan may be out, or nothing if none is.
    pub(super) fn last(&self) -> Option<Timestamp> {
        let kept = |lent: &Lent| match lent.room {
            Room::Kept(expiry) => Some(expiry),
            Room::Released(_) => None,
        };
        self.loans.iter().filter_map(kept).max()
    }

    /// Whether loans may be out at `now`.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        let out = |lent: &Lent| matches!(lent.room, Room::Kept(expiry) if now < expiry);
        !self.loans.iter().any(out)
    }

    /// Releases the room of loans that have expired or are among `settled`.
    pub(super) fn release(
        &mut self,
        settled: &[LoanId],
        now: Timestamp,
        mut mark: impl FnMut() -> u64,
    ) {
        for lent in &mut self.loans {
            let over = |expiry| expiry <= now || settled.contains(&lent.id);
            if matches!(lent.room, Room::Kept(expiry) if over(expiry)) {
                lent.room = Room::Released(mark());
            }
        }
    }

    /// Counts a return of `parts`. Returns what the share's level gains.
    pub(super) fn take_back(
        &mut self,
        back: &Return,
        parts: u128,
        headroom: &mut Headroom,
    ) -> u128 {
        let lent = self.loans.iter_mut().find(|lent| lent.id == back.loan);
        let Some(lent) = lent else { return 0 };
        if lent.returns.contains(&back.number) || lent.returns.len() >= RETURNS_LIMIT {
            return 0;
        }
        lent.returns.push(back.number);
        let parts = parts.min(lent.parts);
        lent.parts -= parts;
        match lent.room {
            Room::Kept(_) => parts,
            Room::Released(mark) => headroom.refund(parts, mark),
        }
    }
}
