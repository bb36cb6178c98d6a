//! `comfreyhaven explain`.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use comfreyhaven_core::RequestId;

use crate::addresses;
use crate::error::CliError;
use crate::ops::ask;
use crate::output::{self, Output};

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    Command::new("explain")
        .about("Show what entries decided on a request, and why")
        .arg(
            Arg::new("request")
                .value_name("REQUEST-ID")
                .help("Identifier from the answer's x-comfreyhaven-request header, or from a log")
                .required(true)
                .value_parser(value_parser!(RequestId)),
        )
        .arg(addresses::arg(
            "Operators' port of an entry, such as 10.0.1.1:7002",
        ))
        .arg(Output::arg())
}

/// Asks each entry and prints what the ones that know the request say.
pub(super) fn exec(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let addresses = addresses::of(matches);
    let Some(&request) = matches.get_one::<RequestId>("request") else {
        return Ok(ExitCode::SUCCESS);
    };
    let found = ask::explain(request, &addresses)?;
    if Output::of(matches) == Output::Json {
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
