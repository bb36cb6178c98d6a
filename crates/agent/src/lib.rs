//! Agent process of comfreyhaven: the only way to its endpoint.
//!
//! Entries reserve over the control service and send bodies over HTTP. The control thread owns the
//! queue and decides; one task a body carries bytes between its entry and the endpoint.

mod bodies;
mod command;
mod describe;
mod endpoint;
mod metrics;
mod peers;
mod probe;
mod process;
mod reservations;
mod whole;

pub use process::run;
