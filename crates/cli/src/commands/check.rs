//! `comfreyhaven check`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use comfreyhaven_config::lint::{Warning, lint};
use comfreyhaven_config::{Problem, Problems};
use serde::Serialize;

use super::{check_plan, files, paths_from};
use crate::error::CliError;
use crate::ops::documents;
use crate::output::{self, Output};

/// Findings of a check, printed as JSON.
#[derive(Serialize)]
struct Report {
    problems: Vec<Problem>,
    warnings: Vec<Warning>,
}

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("check")
        .about("Check documents together, with the checks of the processes")
        .long_about(
            "Check documents together, with the checks of the processes. A single .json file is a \
             configuration of direct entries as operators send it to the platform.",
        )
        .arg(files().required(true))
        .args(check_plan::args())
        .arg(Output::arg())
}

/// Checks the documents and prints the problems or warnings.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let paths = paths_from(matches);
    if let [path] = &paths[..]
        && check_plan::is_plan(path)
    {
        return check_plan::exec(path, matches);
    }
    let output = Output::from_matches(matches);
    let fleet = match documents::load(&paths) {
        Err(CliError::Problems(Problems(problems))) if output == Output::Json => {
            let warnings = Vec::new();
            output::json(&Report { problems, warnings })?;
            return Ok(ExitCode::FAILURE);
        }
        loaded => loaded?,
    };
    let warnings = lint(&fleet);
    if output == Output::Json {
        let problems = Vec::new();
        output::json(&Report { problems, warnings })?;
        return Ok(ExitCode::SUCCESS);
    }
    for warning in &warnings {
        println!("warning: {warning}");
    }
    let (teams, routes) = (fleet.teams.len(), fleet.routes.len());
    let (hosts, endpoints) = (fleet.hosts.len(), fleet.endpoints.len());
    println!("no problems: {teams} teams, {routes} routes, {hosts} hosts, {endpoints} endpoints");
    Ok(ExitCode::SUCCESS)
}
