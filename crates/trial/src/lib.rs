//! Recorded traces of both co-operatives, a load tool, and what is measured with them.
//!
//! Each subcommand has a file in `commands`; what it does is in the library modules.

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
