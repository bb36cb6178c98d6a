//! `comfreyhaven new`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::ops::starter;

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("new")
        .about("Write a commented starter configuration")
        .arg(
            Arg::new("directory")
                .value_name("DIRECTORY")
                .help("Directory for the documents; existing files are not overwritten")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Writes the documents and prints their paths.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let directory = matches.get_one::<PathBuf>("directory").cloned();
    for path in starter::write(&directory.unwrap_or_default())? {
        println!("wrote {}", path.display());
    }
    Ok(ExitCode::SUCCESS)
}
