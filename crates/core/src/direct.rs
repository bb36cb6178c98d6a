//! Decisions of an entry that reaches its endpoints itself, with no agent beside them.
//!
//! Every entry keeps a book of the endpoints: what it runs there, what its peers say they run there,
//! and how fast each endpoint proved to be. A request is placed where its answer is expected to begin
//! soonest, waits here while every endpoint is full, and is turned away at once when it could not
//! begin in time. Entries tell each other their counts; nothing is shared but these reports.

mod allowance;
mod book;
mod budget;
mod currency;
mod curve;
mod members;
mod pace;
mod plan;
mod readings;
mod scheduler;
pub mod silence;
mod strain;
mod suspects;
mod tempo;
mod waiting;

pub use allowance::{Allowance, Excess, Fleet, Terms};
pub use book::{Book, Candidate, Load, Run, digest};
pub use budget::Budget;
pub use currency::Currency;
pub use curve::Curve;
pub use members::{Echo, EndpointLoad, Members, Report, ServiceLoad};
pub use pace::{Pace, part};
pub use plan::{
    Access, EndpointId, Listing, Plan, PlanTeam, Repeat, Route, ServicePlan, Unit, Weighted,
};
pub use readings::{Readings, Section, Told};
pub use scheduler::{
    Ask, Bounds, Ending, Heard, Outcome, Placement, Reason, Scheduler, Snapshot, Ticket, Totals,
    Turned,
};
pub use strain::Strain;
pub use suspects::Suspects;
pub use tempo::Tempo;
