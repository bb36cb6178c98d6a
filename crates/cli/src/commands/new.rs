//! `comfreyhaven new`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::ops::starter;

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    Command::new("new")
        .about("Write a commented configuration to start from")
        .arg(
            Arg::new("directory")
                .value_name("DIRECTORY")
                .help("Where the documents are written; existing ones are kept")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Writes the documents.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let directory = matches.get_one::<PathBuf>("directory").cloned();
    for path in starter::write(&directory.unwrap_or_default())? {
        println!("wrote {}", path.display());
    }
    Ok(ExitCode::SUCCESS)
}
