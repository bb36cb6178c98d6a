//! Notices on loans that a borrower has not yet sent to its lenders.

use std::collections::BTreeMap;

use super::loan::{LoanId, Return};
use crate::name::HostName;

/// Maximum number of notices of each kind that wait for the next message to one lender. Further
/// ones are dropped, which loses tokens but never creates any.
const NOTICE_LIMIT: usize = 64;

/// Notices to one lender.
#[derive(Debug, Default)]
pub(super) struct Notices {
    pub(super) settled: Vec<LoanId>,
    pub(super) returned: Vec<Return>,
}

/// Pending notices by lender.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    notices: BTreeMap<HostName, Notices>,
    next_number: u64,
}

impl Outbox {
    /// Adds a notice that the lender may release the capacity reserved for a loan.
    pub(super) fn settle(&mut self, lender: &HostName, loan: LoanId) {
        let notices = self.notices.entry(lender.clone()).or_default();
        if notices.settled.len() < NOTICE_LIMIT {
            notices.settled.push(loan);
        }
    }

    /// Adds a notice that returns tokens of a loan to the lender.
    pub(super) fn return_tokens(&mut self, lender: &HostName, loan: LoanId, tokens: u64) {
        let notices = self.notices.entry(lender.clone()).or_default();
        if tokens > 0 && notices.returned.len() < NOTICE_LIMIT {
            self.next_number += 1;
            let number = self.next_number;
            notices.returned.push(Return {
                loan,
                number,
                tokens,
            });
        }
    }

    /// Removes and returns the notices to one lender.
    pub(super) fn take(&mut self, lender: &HostName) -> Notices {
        self.notices.remove(lender).unwrap_or_default()
    }

    /// Removes and returns all notices.
    pub(super) fn take_all(&mut self) -> BTreeMap<HostName, Notices> {
        std::mem::take(&mut self.notices)
    }
}
