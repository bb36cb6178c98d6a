//! `trial bench`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use strum::IntoEnumIterator;

use crate::bench::{self, Options, Scenario};
use crate::error::TrialError;
use crate::fleet::Deployed;

/// Name by which `--only` picks the measurement of the path itself.
const PATH_NAME: &str = "path";

/// Describes the subcommand.
pub(super) fn cli() -> Command {
    let names: Vec<&'static str> = Scenario::iter()
        .map(Into::into)
        .chain([PATH_NAME])
        .collect();
    Command::new("bench")
        .about("Measure comfreyhaven beside a naive scheduler")
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("NAME")
                .help("Measure only this; may be repeated")
                .action(ArgAction::Append)
                .value_parser(names),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .help("Runs of each scenario [default: 3 of each load, 1 of each fault]")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .help("Whose fleet and trace")
                .default_value("hivecraft")
                .value_parser(["hivecraft", "bancada"]),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("DIRECTORY")
                .help("Where bench.csv and bench.svg are written")
                .default_value("out")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs what was asked for.
pub(super) async fn exec(matches: &ArgMatches) -> Result<(), TrialError> {
    let only: Vec<&String> = matches.get_many("only").into_iter().flatten().collect();
    let wanted = |name: &str| only.is_empty() || only.iter().any(|&only| only == name);
    let deployed = matches.get_one::<String>("deployment");
    let options = Options {
        scenarios: Scenario::iter()
            .filter(|&scenario| wanted(scenario.into()))
            .collect(),
        seeds: matches.get_one("seeds").copied(),
        deployed: deployed
            .and_then(|name| name.parse().ok())
            .unwrap_or(Deployed::Hivecraft),
        path: wanted(PATH_NAME),
    };
    let output = matches.get_one::<PathBuf>("output");
    bench::run(&options, &output.cloned().unwrap_or_default()).await
}
