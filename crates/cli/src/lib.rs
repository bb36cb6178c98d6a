//! Command line of comfreyhaven for operators.
//!
//! Each subcommand has a file in `commands` with a `cli()` that describes it and an `exec()` that
//! reads its arguments. What it does is in `ops`, which can be called without a command line.

mod commands;
mod error;
pub mod ops;

pub use commands::{cli, exec};
pub use error::CliError;
