//! Starts complete deployments of comfreyhaven with stand-ins, for tests, examples and benchmarks.
//!
//! Every process is a child on loopback with ephemeral ports, and each host has an IP of its own in
//! 127.0.0.0/8, which the configuration declares. Dropping a [`Deployment`] kills the processes
//! that it started and no others.

mod call;
mod child;
mod deployment;
mod error;
mod network;
mod plan;
mod render;

pub use call::{CallError, Caller, Reply};
pub use child::Child;
pub use deployment::{AgentRelays, Deployment};
pub use error::HarnessError;
pub use plan::{EndpointPlan, EntryPlan, Plan, RoutePlan, TeamPlan};
