//! What a borrower still has to tell its lenders.

use std::collections::BTreeMap;

use super::loan::{LoanId, Return};
use crate::name::HostName;

/// Words to one lender that wait for the next ask. More are dropped, which only loses tokens.
const WORDS_LIMIT: usize = 64;

/// Words to one lender.
#[derive(Debug, Default)]
pub(super) struct Words {
    pub(super) settled: Vec<LoanId>,
    pub(super) returned: Vec<Return>,
}

/// Words by lender.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    words: BTreeMap<HostName, Words>,
    next: u64,
}

impl Outbox {
    /// The lender need not keep the loan's room any longer.
    pub(super) fn settle(&mut self, lender: &HostName, loan: LoanId) {
        let words = self.words.entry(lender.clone()).or_default();
        if words.settled.len() < WORDS_LIMIT {
            words.settled.push(loan);
        }
    }

    /// The lender has tokens of a loan again.
    pub(super) fn give_back(&mut self, lender: &HostName, loan: LoanId, tokens: u64) {
        let words = self.words.entry(lender.clone()).or_default();
        if tokens > 0 && words.returned.len() < WORDS_LIMIT {
            self.next += 1;
            let number = self.next;
            words.returned.push(Return {
                loan,
                number,
                tokens,
            });
        }
    }

    /// Takes what one lender is to be told.
    pub(super) fn take(&mut self, lender: &HostName) -> Words {
        self.words.remove(lender).unwrap_or_default()
    }

    /// Takes everything.
    pub(super) fn take_all(&mut self) -> BTreeMap<HostName, Words> {
        std::mem::take(&mut self.words)
    }
}
