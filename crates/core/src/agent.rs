//! Decisions of one agent: which reservation is offered the next free slot, and which bodies run.
//!
//! The agent is the only way to its endpoint. It holds the queue, because the endpoint knows no
//! tiers, and lets in only what the endpoint bears. A body runs only under an offer that this
//! process made, that has not expired and that has not been used.

mod estimate;
mod history;
mod inherited;
mod machine;
mod message;
mod offers;
mod policy;
mod queue;
mod signal;
mod sizes;
mod slots;

pub use history::{History, RunStatus};
pub use machine::{Agent, AgentState};
pub use message::{Action, Event, RunEnd};
pub use offers::OFFER_LIFETIME;
pub use policy::{Growth, Lateness, Order, Pacing, Policy, Reserve};
pub use queue::{Admission, Charge, Class, Queue, QueueDepth, Waiting};
pub use slots::{LimitCause, Slots};
