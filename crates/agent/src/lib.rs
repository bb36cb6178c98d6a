//! Agent process of comfreyhaven: all requests to one endpoint pass through its queue.
//!
//! Entries place reservations over the control service and send bodies over HTTP. The control
//! thread owns the queue and makes every decision. Each body has one task that forwards bytes
//! between its entry and the endpoint.

mod answer_reader;
mod bodies;
mod command;
mod describe;
mod endpoint;
mod metrics;
mod peers;
mod probe;
mod process;
mod reservations;

pub use process::run;
