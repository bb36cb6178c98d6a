//! An entry that connects to its endpoints directly.
//!
//! It serves deployments that run no agents beside the endpoints, have no list of entries, and keep
//! the configuration in a store of the platform. All decisions are made in
//! [`comfreyhaven_core::direct`]; this crate does the I/O, follows the store through the
//! [`store::Store`] port, and takes the platform's header names from a [`dialect::Dialect`].

mod accept;
mod answer;
mod body;
pub mod buffers;
pub mod clock;
pub mod context;
mod decimal;
pub mod dialect;
mod dispatch;
mod endpoint_call;
pub mod events;
mod follow;
mod front;
mod gossip;
mod header_timeout;
mod incoming;
mod internal;
mod lending;
pub mod metrics;
mod origins;
pub mod peers;
pub mod process;
mod prompt_parts;
mod repeated_fault;
pub mod retry_after;
mod run_survey;
pub mod settings;
mod slot_guard;
mod snapshot;
pub mod stated_limit;
pub mod store;
pub mod upstream;

pub use process::run;
