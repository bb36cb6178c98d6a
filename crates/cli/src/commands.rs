//! The subcommands.

mod check;

use clap::{ArgMatches, Command};

use crate::error::CliError;

/// Describes the whole command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("comfreyhaven")
        .about("Checks configurations and looks into a running fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::cli())
}

/// Carries out the subcommand that was given.
///
/// # Errors
/// Returns a [`CliError`] that says what failed and where.
pub fn exec(matches: &ArgMatches) -> Result<(), CliError> {
    match matches.subcommand() {
        Some(("check", matches)) => check::exec(matches),
        _ => Ok(()),
    }
}
