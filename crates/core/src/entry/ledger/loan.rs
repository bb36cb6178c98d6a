//! Messages between a borrower and a lender.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{HostName, TeamName};

/// How long after it asked a borrower may credit a loan, or keep one beyond its own capacity.
pub const LOAN_LIFETIME: Duration = Duration::from_secs(1);

/// Names a loan at its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId(pub u64);

/// Tokens of a loan that were not used, or came too late to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The loan.
    pub loan: LoanId,
    /// Tells the returns of one loan apart.
    pub number: u64,
    /// Tokens that the lender has again.
    pub tokens: u64,
}

/// A wish to borrow tokens of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Numbers the asks of one process.
    pub id: u64,
    /// The lender, in the borrower's hands; the borrower, in the lender's.
    pub peer: HostName,
    /// The team, or `None` to learn only which hosts the peer knows.
    pub team: Option<TeamName>,
    /// Tokens that the request in hand lacks.
    pub need: u64,
    /// Tokens that the borrower can use at most.
    pub most: u64,
    /// Earlier loans of this lender that are spent, returned, or counted against the borrower's own
    /// capacity.
    pub settled: Vec<LoanId>,
    /// Tokens of earlier loans that the lender has again.
    pub returned: Vec<Return>,
}

impl Ask {
    /// An ask for no tokens, which tells whether the peer knows the same hosts.
    #[must_use]
    pub fn question(peer: HostName) -> Self {
        Self {
            id: 0,
            peer,
            team: None,
            need: 0,
            most: 0,
            settled: Vec::new(),
            returned: Vec::new(),
        }
    }
}

/// The answer to an ask: tokens that the lender has already debited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Names the loan when it is settled.
    pub id: LoanId,
    /// Tokens granted, from zero to the most that were asked for.
    pub tokens: u64,
    /// Tokens that the lender has left.
    pub left: u64,
    /// Fingerprint of the hosts that the lender knows.
    pub holders: u64,
    /// Time until every process knows of the hosts that this set left out, or `None` if the lender
    /// has just started and cannot know.
    pub settling: Option<Duration>,
}
