//! The state machine of one agent: decides which reservation is offered the next free slot, and
//! which request bodies run.
//!
//! All requests to the endpoint pass through its agent. The endpoint has no notion of tiers, so the
//! agent holds the queue and admits no more requests than the endpoint has capacity for. A body
//! runs only under an offer that this process made, that has not expired and that has not been
//! used.

mod concurrency;
mod estimate;
mod history;
mod latency;
mod machine;
mod message;
mod offers;
mod policy;
mod queue;
mod size_class;
mod untracked;

pub use concurrency::{ConcurrencyLimit, LimitCause};
pub use history::{History, RunStatus};
pub use machine::{Agent, AgentState};
pub use message::{Action, Event, RunEnd};
pub use offers::OFFER_LIFETIME;
pub use policy::{Growth, Lateness, Order, Pacing, Policy, Reserve};
pub use queue::{Admission, Charge, Queue, QueueDepth, SizeClass, Waiting};
