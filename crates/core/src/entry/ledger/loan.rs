//! Messages between borrowers and lenders of tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{HostName, TeamName};

/// Time after sending a loan request within which the borrower may credit the loan and keep it
/// beyond its own capacity.
pub const LOAN_LIFETIME: Duration = Duration::from_secs(1);

/// Identifies a loan at its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId(pub u64);

/// Tokens of a loan that were not used, or arrived too late to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The loan.
    pub loan: LoanId,
    /// Number that distinguishes the returns of one loan, so that duplicates are ignored.
    pub number: u64,
    /// Tokens returned to the lender.
    pub tokens: u64,
}

/// A request to borrow tokens of a team. It also carries notices on earlier loans of the lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// Number of the request within one process.
    pub id: u64,
    /// The other side: the lender at the borrower, and the borrower at the lender.
    pub peer: HostName,
    /// The team, or `None` to query only which hosts the peer knows.
    pub team: Option<TeamName>,
    /// Tokens that the caller's request lacks.
    pub need: u64,
    /// Maximum number of tokens that the borrower can use.
    pub limit: u64,
    /// Earlier loans of this lender that are spent, returned, or counted against the borrower's own
    /// capacity.
    pub settled: Vec<LoanId>,
    /// Tokens of earlier loans that are returned to the lender.
    pub returned: Vec<Return>,
}

impl LoanRequest {
    /// Creates a request for no tokens. It carries notices, or queries whether the peer knows the
    /// same hosts.
    #[must_use]
    pub fn empty(peer: HostName) -> Self {
        Self {
            id: 0,
            peer,
            team: None,
            need: 0,
            limit: 0,
            settled: Vec::new(),
            returned: Vec::new(),
        }
    }
}

/// The answer to a loan request: tokens that the lender has already debited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Identifies the loan when it is settled or returned.
    pub id: LoanId,
    /// Tokens granted, from zero to the limit of the request.
    pub tokens: u64,
    /// Tokens left in the lender's share.
    pub left: u64,
    /// Fingerprint of the hosts that the lender knows.
    pub holders: u64,
    /// Time until a new holder may start. By then every process knows which hosts the current
    /// configuration has removed, and no outstanding loan exceeds the lender's new capacity. `None`
    /// if the lender has just started and does not know.
    pub settling: Option<Duration>,
}
