//! `comfreyhaven render`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use comfreyhaven_config::builder::Configuration;
use comfreyhaven_core::Generation;

use super::{files, paths_from};
use crate::error::CliError;
use crate::ops::documents;

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("render")
        .about("Print documents in canonical form, with teams distributed over teams-0 to teams-f")
        .arg(
            Arg::new("generation")
                .long("generation")
                .value_name("NUMBER")
                .help("Generation of every document")
                .required(true)
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIRECTORY")
                .help("Write each document to a file in this directory instead of printing it")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(files().required(true))
}

/// Checks the documents, and prints or writes them in canonical form.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let fleet = documents::load(&paths_from(matches))?;
    let generation = matches.get_one("generation").copied().unwrap_or(1);
    let rendered = Configuration::from(&fleet).publish(Generation(generation))?;
    match matches.get_one::<PathBuf>("directory") {
        Some(directory) => documents::write(directory, &rendered)?,
        None => {
            for document in &rendered {
                println!("# {}\n{}", document.name(), document.text());
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
