//! How a process learns of new configuration: from the service, and from its peers.
//!
//! Each published document has a [`Version`], and a process only ever moves to a higher one, whoever
//! it comes from. A few processes watch the configuration service and the others poll it slowly.
//! Whoever learns a document tells random peers at once, so that a change also reaches processes
//! for which the service is down or stale. A process that has just started, or that was paused,
//! asks its peers before it relies on what it has.

mod hold;
mod machine;
mod message;
mod peers;
mod service;
#[cfg(test)]
mod tests;
mod version;

pub use machine::Spread;
pub use message::{Action, Event, Index, Outcome};
pub use version::{Version, Versions};
