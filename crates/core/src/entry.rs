//! Decisions of one entry: whether a request is admitted, at which agents it reserves a slot, and
//! which offer it accepts.
//!
//! The entry owns a request from its arrival until the last byte of the answer. It accepts one
//! offer at a time, sends the body only under that offer, and reserves again only after the agent
//! has reported that the request did not run.

mod containment;
mod ledger;
mod machine;
mod message;
mod pending;
mod placement;
mod route_waits;

pub use containment::{BodyState, QUARANTINE_TIME, SUSPECT_TIME, Verdict, Warning};
pub use ledger::{
    Charge, HANDOVER_TIME, HOLDER_LIMIT, LOAN_LIFETIME, Ledger, Loan, LoanId, LoanRequest, Return,
    ShareState, Shortfall,
};
pub use machine::{Entry, EntryState, OPEN_TEAM};
pub use message::{Action, Arrival, Ending, Event};
pub use placement::{Affinity, Placement};
