//! `comfreyhaven status`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::addresses;
use crate::error::CliError;
use crate::ops::status;
use crate::output::{self, Output};

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("status")
        .about("Show configuration, load and condition of processes in one table")
        .arg(addresses::arg(
            "Admin address of a process, such as 10.0.1.1:7002",
        ))
        .arg(Output::arg())
}

/// Queries all processes in parallel. The exit code is 1 if one cannot be queried.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let addresses = addresses::from_matches(matches);
    let processes = status::status(&addresses)?;
    match Output::from_matches(matches) {
        Output::Json => output::json(&processes)?,
        Output::Table => println!("{}", status::table(&processes)),
    }
    let unreachable = processes.iter().any(|process| process.error.is_some());
    Ok(ExitCode::from(u8::from(unreachable)))
}
