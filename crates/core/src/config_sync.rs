//! Propagation of configuration to a process, from the configuration service and from its peers.
//!
//! Each published document has a [`Version`], and a process only ever moves to a higher one,
//! whatever the source. A few processes watch the configuration service, the others poll it at long
//! intervals. A process that receives a new document contacts random peers at once, so that a
//! change also reaches processes for which the service is down or stale. A process that has just
//! started, or that was suspended, compares its documents with its peers before it relies on them.

mod confirmation_wait;
mod machine;
mod message;
mod peers;
mod service;
#[cfg(test)]
mod tests;
mod version;

pub use machine::ConfigSync;
pub use message::{Action, Event, Index, Outcome};
pub use version::{Version, Versions};
