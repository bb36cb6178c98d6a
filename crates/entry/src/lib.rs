//! Entry process of comfreyhaven: owns each caller's request from arrival to last byte.
//!
//! The control thread decides; each request has one task that talks to its caller and to the
//! agents it is reserved at, and carries out the decisions on it.

mod caller;
mod command;
mod describe;
mod driver;
mod http;
mod intake;
mod link;
mod links;
mod metrics;
mod peers;
mod pool;
mod process;
mod relay;

pub use process::run;
