//! Loans that a share has granted, and the capacity reserved for them.

use std::collections::VecDeque;

use super::headroom::Headroom;
use super::loan::{LoanId, Return};
use crate::time::Timestamp;

/// Maximum number of loans remembered for returns. Beyond it the oldest released loan is dropped.
const LOAN_LIMIT: usize = 256;

/// Maximum number of returns of one loan.
const RETURN_LIMIT: usize = 16;

#[derive(Debug)]
struct LentLoan {
    id: LoanId,
    parts: u128,
    /// Numbers of the returns already counted.
    returns: Vec<u64>,
    capacity: LentCapacity,
}

/// Whether capacity is reserved for a loan's tokens.
#[derive(Debug)]
enum LentCapacity {
    /// Reserved until this time, or until the borrower has settled the loan.
    Reserved(Timestamp),
    /// Released at the headroom minimum of this number.
    Released(u64),
}

/// The loans granted by one share.
#[derive(Debug, Default)]
pub(super) struct Lending {
    loans: VecDeque<LentLoan>,
}

impl Lending {
    pub(super) fn add(&mut self, id: LoanId, parts: u128, expiry: Timestamp) {
        if self.loans.len() >= LOAN_LIMIT {
            let released = |loan: &LentLoan| matches!(loan.capacity, LentCapacity::Released(_));
            if let Some(index) = self.loans.iter().position(released) {
                self.loans.remove(index);
            }
        }
        self.loans.push_back(LentLoan {
            id,
            parts,
            returns: Vec::new(),
            capacity: LentCapacity::Reserved(expiry),
        });
    }

    /// Returns the capacity reserved for loans, in parts of a token.
    pub(super) fn reserved(&self) -> u128 {
        let reserved = |loan: &&LentLoan| matches!(loan.capacity, LentCapacity::Reserved(_));
        self.loans
            .iter()
            .filter(reserved)
            .map(|loan| loan.parts)
            .sum()
    }

    /// Returns the latest time at which a loan may be outstanding, or `None` without a loan.
    pub(super) fn latest_expiry(&self) -> Option<Timestamp> {
        let reserved = |loan: &LentLoan| match loan.capacity {
            LentCapacity::Reserved(expiry) => Some(expiry),
            LentCapacity::Released(_) => None,
        };
        self.loans.iter().filter_map(reserved).max()
    }

    /// Returns whether no loan may be outstanding at `now`.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        let outstanding = |loan: &LentLoan| matches!(loan.capacity, LentCapacity::Reserved(expiry) if now < expiry);
        !self.loans.iter().any(outstanding)
    }

    /// Releases the capacity reserved for loans that have expired or are among `settled`.
    pub(super) fn release(
        &mut self,
        settled: &[LoanId],
        now: Timestamp,
        mut record_minimum: impl FnMut() -> u64,
    ) {
        for loan in &mut self.loans {
            let ended = |expiry| expiry <= now || settled.contains(&loan.id);
            if matches!(loan.capacity, LentCapacity::Reserved(expiry) if ended(expiry)) {
                loan.capacity = LentCapacity::Released(record_minimum());
            }
        }
    }

    /// Counts a return of `parts`. Returns the gain of the share's level.
    pub(super) fn accept_return(
        &mut self,
        returned: &Return,
        parts: u128,
        headroom: &mut Headroom,
    ) -> u128 {
        let loan = self.loans.iter_mut().find(|loan| loan.id == returned.loan);
        let Some(loan) = loan else { return 0 };
        if loan.returns.contains(&returned.number) || loan.returns.len() >= RETURN_LIMIT {
            return 0;
        }
        loan.returns.push(returned.number);
        let parts = parts.min(loan.parts);
        loan.parts -= parts;
        match loan.capacity {
            LentCapacity::Reserved(_) => parts,
            LentCapacity::Released(minimum) => headroom.refund(parts, minimum),
        }
    }
}
