//! `comfreyhaven status`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::addresses;
use crate::error::CliError;
use crate::ops::status;
use crate::output::{self, Output};

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    Command::new("status")
        .about("Show processes in one table: configuration, work and endpoints")
        .arg(addresses::arg(
            "Operators' port of a process, such as 10.0.1.1:7002",
        ))
        .arg(Output::arg())
}

/// Asks all processes at once. The exit code is 1 if one cannot be asked.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let addresses = addresses::of(matches);
    let lines = status::status(&addresses)?;
    match Output::of(matches) {
        Output::Json => output::json(&lines)?,
        Output::Table => println!("{}", status::table(&lines)),
    }
    let lost = lines.iter().any(|line| line.error.is_some());
    Ok(ExitCode::from(u8::from(lost)))
}
