//! Measures the slopes behind docs/CAPACITY.md and works out the target size from them.

mod error;
mod fit;
mod fleet;
mod gauge;
mod measure;
mod report;
mod role;
mod series;
mod target;

use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

use crate::error::CapacityError;
use crate::measure::Area;
use crate::report::Output;

/// Counts the bytes that are allocated, so that memory is measured to the byte.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

fn cli() -> Command {
    Command::new("comfreyhaven-capacity")
        .about("Measures what state, messages and decisions cost, each at four sizes or more")
        .after_help(
            "Every slope is printed with its points, its fit and its residual, then the roles at \
             the target size. Connections and streams go over loopback; the streams need \
             `cargo build --release --workspace` first. Ends within a few minutes and under 2 GB.",
        )
        .arg(
            Arg::new("area")
                .long("area")
                .value_name("AREA")
                .help("Measure one area only, without the roles")
                .value_parser(value_parser!(Area)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .help("How to print")
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
    let mut findings = series::Findings::default();
    for area in areas {
        measure::run(area, &mut findings)?;
    }
    let rows = match area {
        Some(_) => Vec::new(),
        None => role::rows(&findings)?,
    };
    report::print(&findings, &rows, output)
}
