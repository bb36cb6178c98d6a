//! `comfreyhaven state`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::ops::admin;
use crate::output;

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("state")
        .about("Print the state of one process as JSON")
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .help("Admin address of the process, such as 10.0.1.1:7002")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
}

/// Queries the process and prints its state.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    if let Some(&address) = matches.get_one::<SocketAddr>("address") {
        output::json(&admin::state(address)?)?;
    }
    Ok(ExitCode::SUCCESS)
}
