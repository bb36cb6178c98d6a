//! Benchmarks of comfreyhaven and of a naive scheduler under the same load, which is drawn from a
//! recorded trace.

mod accounting;
mod capacity;
mod evaluation;
mod fault;
mod measure;
mod path;
mod plot;
mod report;
mod scenario;
mod schedule;
mod system;

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::error::TrialError;
use crate::fleet::{Limits, SampleFleet};
use crate::load;

use capacity::Capacity;
use evaluation::RunData;
pub use measure::Measure;
use measure::Row;
use report::Report;
pub use scenario::Scenario;
use system::{System, SystemKind};

/// Rate limit of each team, in percent of the fleet's capacity.
const TEAM_RATE_PERCENT: u64 = 50;

/// Burst of each team, in seconds of its rate.
const BURST_SECONDS: u64 = 2;

/// Time after a start in which the entries' shares of every team's rate fill up.
const FILL_TIME: Duration = Duration::from_secs(1);

/// Selection of the measurements.
#[derive(Debug, Clone)]
pub struct Options {
    /// Scenarios to run.
    pub scenarios: Vec<Scenario>,
    /// Number of runs of each scenario, or `None` for [`Scenario::seeds`].
    pub seeds: Option<u64>,
    /// Fleet and trace to use.
    pub fleet: SampleFleet,
    /// Whether to measure the latency and throughput of the path through one entry and one agent.
    pub path: bool,
}

/// Runs every scenario with both systems, prints the measures and writes them to the directory
/// `output`.
///
/// # Errors
/// Returns a [`TrialError`] if a process does not start, a call to an endpoint fails or a file
/// cannot be written.
pub async fn run(options: &Options, output: &Path) -> Result<(), TrialError> {
    std::fs::create_dir_all(output)?;
    let mut report = Report::default();
    let capacity = Capacity::new(options.fleet, &options.fleet.trace()?);
    println!("{}: {capacity}\n", options.fleet);
    for &scenario in &options.scenarios {
        let seeds = options.seeds.unwrap_or(scenario.seeds());
        for seed in 1..=seeds {
            eprintln!("{scenario} seed {seed}");
            let scheduled = run_scenario(options.fleet, scenario, seed, SystemKind::Comfreyhaven);
            let naive = run_scenario(options.fleet, scenario, seed, SystemKind::Naive);
            let (scheduled, naive) = tokio::try_join!(scheduled, naive)?;
            report.extend([scheduled, naive]);
        }
        println!("{}", report.table(scenario));
        report.write(&output.join("bench.csv"))?;
    }
    println!(
        "### overview, comfreyhaven / naive\n\n{}",
        report.overview()
    );
    plot::draw(&report, &output.join("bench.svg"))?;
    if options.path {
        println!("{}", path::measure(options.fleet).await?);
    }
    Ok(())
}

async fn run_scenario(
    fleet: SampleFleet,
    scenario: Scenario,
    seed: u64,
    kind: SystemKind,
) -> Result<Row, TrialError> {
    let records = fleet.trace()?;
    let capacity = Capacity::new(fleet, &records);
    let rate = capacity.tokens() * TEAM_RATE_PERCENT / 100;
    let limits = Limits {
        rate,
        burst: rate * BURST_SECONDS,
    };
    let requests = schedule::requests(fleet, &records, &capacity, scenario, seed);
    let mut system = System::start(kind, fleet, limits).await?;
    tokio::time::sleep(FILL_TIME).await;
    let balancer = Arc::new(system.balancer()?);
    let load = load::run(balancer, requests);
    let fault = fault::inject(scenario, &mut system, fleet);
    let (outcomes, fault) = tokio::join!(load, fault);
    fault?;
    let counts = system.endpoint_counts().await?;
    let data = RunData {
        fleet,
        scenario,
        limits,
        outcomes: &outcomes,
        counts: &counts,
    };
    Ok(Row {
        scenario,
        seed,
        kind,
        values: evaluation::evaluate(&data),
    })
}
