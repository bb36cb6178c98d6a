//! Measurements of comfreyhaven beside a naive scheduler, under the same recorded load.

mod account;
mod capacity;
mod fault;
mod judge;
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
use crate::fleet::{Deployed, Limits};
use crate::load;

use capacity::Capacity;
use judge::Trial;
pub use measure::Measure;
use measure::Row;
use report::Report;
pub use scenario::Scenario;
use system::{Kind, System};

/// Part of the fleet's capacity that each team may use, in percent.
const TEAM_RATE_PERCENT: u64 = 50;

/// Seconds of a team's rate that make its burst.
const BURST_SECONDS: u64 = 2;

/// Time in which the shares of every team fill after a start.
const FILL_TIME: Duration = Duration::from_secs(1);

/// What to measure.
#[derive(Debug, Clone)]
pub struct Options {
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// Runs of each scenario, or `None` for more of the loads than of the faults.
    pub seeds: Option<u64>,
    /// The deployment.
    pub deployed: Deployed,
    /// Whether to measure what the path itself takes.
    pub path: bool,
}

/// Runs every scenario through both systems, prints the measures and writes them to `output`.
///
/// # Errors
/// Returns a [`TrialError`] if a process does not start or a file cannot be written.
pub async fn run(options: &Options, output: &Path) -> Result<(), TrialError> {
    std::fs::create_dir_all(output)?;
    let mut report = Report::default();
    let capacity = Capacity::new(options.deployed, &options.deployed.trace()?);
    println!("{}: {capacity}\n", options.deployed);
    for &scenario in &options.scenarios {
        let seeds = options.seeds.unwrap_or(scenario.seeds());
        for seed in 1..=seeds {
            eprintln!("{scenario} seed {seed}");
            let scheduled = one(options.deployed, scenario, seed, Kind::Comfreyhaven);
            let naive = one(options.deployed, scenario, seed, Kind::Naive);
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
        println!("{}", path::measure(options.deployed).await?);
    }
    Ok(())
}

async fn one(
    deployed: Deployed,
    scenario: Scenario,
    seed: u64,
    kind: Kind,
) -> Result<Row, TrialError> {
    let records = deployed.trace()?;
    let capacity = Capacity::new(deployed, &records);
    let rate = capacity.tokens() * TEAM_RATE_PERCENT / 100;
    let limits = Limits {
        rate,
        burst: rate * BURST_SECONDS,
    };
    let shots = schedule::shots(deployed, &records, &capacity, scenario, seed);
    let mut system = System::start(kind, deployed, limits).await?;
    tokio::time::sleep(FILL_TIME).await;
    let balancer = Arc::new(system.balancer()?);
    let load = load::run(balancer, shots);
    let fault = fault::inject(scenario, &mut system, deployed);
    let (outcomes, fault) = tokio::join!(load, fault);
    fault?;
    let evidence = system.evidence().await?;
    let trial = Trial {
        deployed,
        scenario,
        limits,
        outcomes: &outcomes,
        evidence: &evidence,
    };
    Ok(Row {
        scenario,
        seed,
        kind,
        values: judge::judge(&trial),
    })
}
