//! `comfreyhaven key`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::CliError;
use crate::ops::key;
use crate::output::{self, Output};

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    Command::new("key")
        .about("Make keys of teams")
        .subcommand_required(true)
        .subcommand(
            Command::new("new")
                .about("Make a key and print it, once, with the digest to publish")
                .arg(Output::arg()),
        )
}

/// Makes a key.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let Some(("new", matches)) = matches.subcommand() else {
        return Ok(ExitCode::SUCCESS);
    };
    let key = key::new();
    match Output::of(matches) {
        Output::Json => output::json(&key)?,
        Output::Table => {
            println!("key     {}", key.key);
            println!("digest  {}", key.digest);
            println!("Give the key to the team; it is not shown again. Publish the digest.");
        }
    }
    Ok(ExitCode::SUCCESS)
}
