//! `comfreyhaven explain`.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use comfreyhaven_core::RequestId;

use crate::addresses;
use crate::error::CliError;
use crate::ops::{admin, logs};
use crate::output::{self, Output};

/// Returns the definition of the subcommand.
pub(super) fn cli() -> Command {
    Command::new("explain")
        .about("Show the decisions on a request, with their reasons")
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("Request id from a log or from the response header x-comfreyhaven-request")
                .required(true),
        )
        .arg(
            addresses::arg("Admin address of an entry, such as 10.0.1.1:7002")
                .required(false)
                .required_unless_present("log")
                .conflicts_with("log"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILE")
                .help("Process log to read instead of querying the entries; can be repeated")
                .action(ArgAction::Append),
        )
        .arg(Output::arg())
}

/// Queries each entry and prints the decisions of those that have a record of the request.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let Some(request) = matches.get_one::<String>("request") else {
        return Ok(ExitCode::SUCCESS);
    };
    if let Some(logs) = matches.get_many::<String>("log") {
        return from_logs(
            request,
            &logs.cloned().collect::<Vec<_>>(),
            Output::from_matches(matches),
        );
    }
    let addresses = addresses::from_matches(matches);
    let request: RequestId = request
        .parse()
        .map_err(|_| CliError::NoRequest(request.clone()))?;
    let found = admin::explain(request, &addresses)?;
    if Output::from_matches(matches) == Output::Json {
        output::json(&found)?;
        return Ok(ExitCode::SUCCESS);
    }
    for explanation in &found {
        println!("{}", explanation.address);
        let mut table = output::table(&["ms", "decision"]);
        let first = explanation.steps.first().map_or(0, |step| step.micros);
        for step in &explanation.steps {
            let millis = step.micros.saturating_sub(first) as f64 / 1e3;
            table.add_row([format!("{millis:.3}"), step.what.clone()]);
        }
        println!("{table}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the log lines of a request, after the last context events of each process.
fn from_logs(request: &str, logs: &[String], output: Output) -> Result<ExitCode, CliError> {
    let found = logs::explain(request, logs)?;
    if output == Output::Json {
        output::json(&found)?;
        return Ok(ExitCode::SUCCESS);
    }
    let first = found
        .iter()
        .find(|line| line.own)
        .map_or(0, |line| line.time);
    let mut table = output::table(&["ms", "log", "decision", "inputs and outcome"]);
    for line in &found {
        let millis = i128::from(line.time) - i128::from(first);
        table.add_row([&millis.to_string(), &line.log, &line.event, &line.fields]);
    }
    println!("{table}");
    Ok(ExitCode::SUCCESS)
}
