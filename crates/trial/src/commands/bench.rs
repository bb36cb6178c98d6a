//! Arguments of `trial bench`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use strum::IntoEnumIterator;

use crate::bench::{self, Options, Scenario};
use crate::error::TrialError;
use crate::fleet::SampleFleet;

/// Value of `--only` that selects the measurement of the latency that entry and agent add.
const PATH_NAME: &str = "path";

/// Returns the command line of the subcommand.
pub(super) fn cli() -> Command {
    let names: Vec<&'static str> = Scenario::iter()
        .map(Into::into)
        .chain([PATH_NAME])
        .collect();
    Command::new("bench")
        .about("Compare comfreyhaven with a naive scheduler")
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("NAME")
                .help("Run only this scenario or measurement; may be given several times")
                .action(ArgAction::Append)
                .value_parser(names),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .help("Number of runs of each scenario [default: 3 of each load, 1 of each fault]")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .help("Sample fleet and trace to use")
                .default_value("hivecraft")
                .value_parser(["hivecraft", "bancada"]),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("DIRECTORY")
                .help("Directory for bench.csv and bench.svg")
                .default_value("out")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the selected scenarios and measurements.
pub(super) async fn exec(matches: &ArgMatches) -> Result<(), TrialError> {
    let only: Vec<&String> = matches.get_many("only").into_iter().flatten().collect();
    let wanted = |name: &str| only.is_empty() || only.iter().any(|&only| only == name);
    let fleet = matches.get_one::<String>("deployment");
    let options = Options {
        scenarios: Scenario::iter()
            .filter(|&scenario| wanted(scenario.into()))
            .collect(),
        seeds: matches.get_one("seeds").copied(),
        fleet: fleet
            .and_then(|name| name.parse().ok())
            .unwrap_or(SampleFleet::Hivecraft),
        path: wanted(PATH_NAME),
    };
    let output = matches.get_one::<PathBuf>("output");
    bench::run(&options, &output.cloned().unwrap_or_default()).await
}
