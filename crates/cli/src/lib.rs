//! The command line for operators, as a library.
//!
//! Each subcommand has a module with its arguments (`cli`) and its execution (`exec`). The
//! operations themselves are in [`ops`] and can be called without a command line.

mod addresses;
mod commands;
mod error;
pub mod ops;
mod output;

pub use commands::{cli, exec};
pub use error::CliError;
