//! Entry process of comfreyhaven: owns each caller's request from arrival to last byte.
//!
//! The control thread makes every decision. Each request has one task that communicates with the
//! caller and with the agents at which the request is reserved, and carries out the decisions.

mod agents;
mod caller;
mod command;
mod describe;
mod driver;
mod http;
mod link;
mod metrics;
mod peers;
mod pool;
mod process;
mod relay;
mod request_parser;

pub use process::run;
