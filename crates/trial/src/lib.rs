//! Recorded traces of two sample fleets, a load generator that replays them, and benchmarks that
//! compare comfreyhaven with a naive scheduler.
//!
//! The files in `commands` parse the arguments of one subcommand each; the other modules do the
//! work.

pub mod bench;
mod commands;
mod error;
pub mod fleet;
pub mod load;
pub mod run;
pub mod table;
pub mod trace;

pub use commands::{cli, exec};
pub use error::TrialError;
