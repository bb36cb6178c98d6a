//! Agent process of comfreyhaven: queues the requests for one endpoint and runs them there.
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
