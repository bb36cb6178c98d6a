//! Measures the costs behind docs/CAPACITY.md and extrapolates them to the target size.

mod error;
mod findings;
mod fit;
mod fleet;
mod gauge;
mod measure;
mod report;
mod role;
mod target;

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::error::CapacityError;
use crate::measure::Area;
use crate::report::Output;

/// Counts allocated bytes, so that memory measurements are exact.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

fn cli() -> Command {
    Command::new("comfreyhaven-capacity")
        .about("Measures the cost of state, messages and decisions, each at four or more sizes")
        .after_help(
            "Prints every slope with its points, its fit and its residual, then the costs of each \
            role at the target size. Connections and streams use loopback; the streams need \
            `cargo build --release --workspace` first. Takes a few minutes and less than 2 GB.",
        )
        .arg(
            Arg::new("area")
                .long("area")
                .value_name("AREA")
                .help("Measure only this area and omit the roles")
                .value_parser(value_parser!(Area)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .help("Format of the output")
                .default_value("table")
                .value_parser(value_parser!(Output)),
        )
}

fn main() -> ExitCode {
    let matches = cli().get_matches();
    let area = matches.get_one::<Area>("area").copied();
    let output = matches.get_one::<Output>("output").copied();
    match run(area, output.unwrap_or_default()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("comfreyhaven-capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(area: Option<Area>, output: Output) -> Result<(), CapacityError> {
    let areas: Vec<Area> = match area {
        Some(area) => vec![area],
        None => Area::all().collect(),
    };
    let mut findings = findings::Findings::default();
    for area in areas {
        measure::run(area, &mut findings)?;
    }
    let rows = match area {
        Some(_) => Vec::new(),
        None => role::rows(&findings)?,
    };
    report::print(&findings, &rows, output)
}
