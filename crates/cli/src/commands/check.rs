//! `comfreyhaven check`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::ops;

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    Command::new("check")
        .about("Check documents together, as the processes do")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Document to be published")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Checks the files that were given.
pub(super) fn exec(matches: &ArgMatches) -> Result<(), CliError> {
    let files: Vec<PathBuf> = matches
        .get_many("file")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let fleet = ops::check(&files)?;
    let (teams, routes) = (fleet.teams.len(), fleet.routes.len());
    let (hosts, endpoints) = (fleet.hosts.len(), fleet.endpoints.len());
    println!("no problems: {teams} teams, {routes} routes, {hosts} hosts, {endpoints} endpoints");
    Ok(())
}
