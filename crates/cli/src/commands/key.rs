//! `comfreyhaven key`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::error::CliError;
use crate::ops::key;
use crate::output::{self, Output};

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("key")
        .about("Generate team keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("new")
                .about("Generate a key and print it once, with the digest to publish")
                .arg(Output::arg()),
        )
}

/// Generates a key and prints it with its digest.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let Some(("new", matches)) = matches.subcommand() else {
        return Ok(ExitCode::SUCCESS);
    };
    let key = key::new();
    match Output::from_matches(matches) {
        Output::Json => output::json(&key)?,
        Output::Table => {
            println!("key     {}", key.key);
            println!("digest  {}", key.digest);
            println!("Give the key to the team; it cannot be shown again. Publish the digest.");
        }
    }
    Ok(ExitCode::SUCCESS)
}
