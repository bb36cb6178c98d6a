//! The subcommands and their arguments.

mod check;
mod check_plan;
mod completion;
mod diff;
mod explain;
mod key;
mod new;
mod render;
mod state;
mod status;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::CliError;

const EXIT_CODES: &str = "Exit codes:\n  \
    0  success; for diff: no changes\n  \
    1  problems or differences were found, or the request is unknown\n  \
    2  the command failed";

/// Returns the definition of the command line.
#[must_use]
pub fn cli() -> Command {
    Command::new("comfreyhaven")
        .about("Check configurations and inspect a running fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::cli())
        .subcommand(completion::cli())
        .subcommand(diff::cli())
        .subcommand(explain::cli())
        .subcommand(key::cli())
        .subcommand(new::cli())
        .subcommand(render::cli())
        .subcommand(state::cli())
        .subcommand(status::cli())
}

/// Runs the subcommand given on the command line.
///
/// # Errors
/// Returns a [`CliError`] that states the file or process and the cause.
pub fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("check", matches)) => check::exec(matches),
        Some(("completion", matches)) => completion::exec(matches),
        Some(("diff", matches)) => diff::exec(matches),
        Some(("explain", matches)) => explain::exec(matches),
        Some(("key", matches)) => key::exec(matches),
        Some(("new", matches)) => new::exec(matches),
        Some(("render", matches)) => render::exec(matches),
        Some(("state", matches)) => state::exec(matches),
        Some(("status", matches)) => status::exec(matches),
        _ => Ok(ExitCode::SUCCESS),
    }
}

/// Returns the argument that accepts documents.
fn files() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help("Document, or directory of .ini documents")
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

/// Returns the paths given on the command line.
fn paths_from(matches: &ArgMatches) -> Vec<PathBuf> {
    let files = matches.get_many("file").into_iter().flatten();
    files.cloned().collect()
}
