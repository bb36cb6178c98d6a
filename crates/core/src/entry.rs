//! Decisions of one entry: whether a request may run, where it is reserved, and which offer it takes.
//!
//! The entry owns a request from arrival to the last byte. It accepts exactly one offer at a time,
//! sends the body only under that offer, and goes back to reserving only on the agent's word that
//! nothing ran.

mod containment;
mod ledger;
mod machine;
mod message;
mod pending;
mod placement;
mod waits;

pub use containment::{BodyState, QUARANTINE_TIME, SUSPECT_TIME, Verdict, Warning};
pub use ledger::{
    Ask, Charge, HANDOVER, HOLDERS_LIMIT, LOAN_LIFETIME, Ledger, Loan, LoanId, Return, ShareState,
    Shortfall,
};
pub use machine::{Entry, EntryState, OPEN_TEAM};
pub use message::{Action, Arrival, Ending, Event};
pub use placement::{Affinity, Placement};
