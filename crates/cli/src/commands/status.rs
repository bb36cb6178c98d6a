//! `comfreyhaven status`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::ops::status;
use crate::output::{self, Output};

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    Command::new("status")
        .about("Show processes in one table: configuration, work and endpoints")
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .help("Operators' port of a process, such as 10.0.1.1:7002")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Output::arg())
}

/// Asks all processes at once. The exit code is 1 if one cannot be asked.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let addresses = matches.get_many::<SocketAddr>("address");
    let addresses: Vec<_> = addresses.into_iter().flatten().copied().collect();
    let lines = status::status(&addresses)?;
    match Output::of(matches) {
        Output::Json => output::json(&lines)?,
        Output::Table => println!("{}", status::table(&lines)),
    }
    let lost = lines.iter().any(|line| line.error.is_some());
    Ok(ExitCode::from(u8::from(lost)))
}
