//! The operators' command line, as a library.
//!
//! Each subcommand has a file with its arguments (`cli`) and its work (`exec`). What the work needs
//! is in [`ops`], which can be called without a command line.

mod addresses;
mod commands;
mod error;
pub mod ops;
mod output;

pub use commands::{cli, exec};
pub use error::CliError;
