//! `comfreyhaven diff`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::ops::{diff, documents};
use crate::output::{self, Output};

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    let side = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .value_name(name.to_uppercase())
            .help(help)
            .required(true)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("diff")
        .about("Show the changes from OLD to NEW")
        .arg(side("old", "Document, or directory of documents"))
        .arg(side("new", "Document, or directory of documents"))
        .arg(Output::arg())
}

/// Compares the two configurations. The exit code is 1 if they differ.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let side = |name| matches.get_one::<PathBuf>(name).cloned().into_iter();
    let old = documents::load(&side("old").collect::<Vec<_>>())?;
    let new = documents::load(&side("new").collect::<Vec<_>>())?;
    let changes = diff::diff(&old, &new);
    match Output::from_matches(matches) {
        Output::Json => output::json(&changes)?,
        Output::Table if changes.is_empty() => println!("no changes"),
        Output::Table => changes.iter().for_each(|change| println!("{change}")),
    }
    Ok(ExitCode::from(u8::from(!changes.is_empty())))
}
