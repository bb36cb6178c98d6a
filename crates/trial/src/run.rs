//! The main job: replays the recorded traces of both sample fleets at the same time.

use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_harness::Deployment;

use crate::error::TrialError;
use crate::fleet::{CENTRES, Limits, SampleFleet};
use crate::load::{self, Balancer, Outcome, Verdict};
use crate::table::{self, Summary};

/// Rate limits that no team exceeds in the recorded traces.
const LIMITS: Limits = Limits {
    rate: 60_000,
    burst: 60_000,
};

/// Time after a start in which the entries' shares of every team's rate fill up.
const FILL_TIME: Duration = Duration::from_millis(1_500);

/// Runs both fleets at the same time, prints a table for each and returns the counts of the
/// verdicts.
///
/// # Errors
/// Returns a [`TrialError`] if a deployment does not start or a trace cannot be parsed.
pub async fn run() -> Result<Summary, TrialError> {
    let (hivecraft, bancada) = tokio::try_join!(
        run_fleet(SampleFleet::Hivecraft),
        run_fleet(SampleFleet::Bancada)
    )?;
    println!("{}", table::render("Hivecraft Assistant", &hivecraft));
    println!("{}", table::render("Bancada Viva", &bancada));
    for outcome in hivecraft.iter().chain(&bancada) {
        print_if_incomplete(outcome);
    }
    Ok(Summary::new(hivecraft.iter().chain(&bancada)))
}

async fn run_fleet(fleet: SampleFleet) -> Result<Vec<Outcome>, TrialError> {
    let deployment = Deployment::start(fleet.plan(LIMITS)).await?;
    tokio::time::sleep(FILL_TIME).await;
    let requests = load::as_recorded(fleet, fleet.trace()?);
    Ok(load::run(Arc::new(balancer(&deployment)?), requests).await)
}

/// Creates a balancer in front of all entries.
///
/// # Errors
/// Returns a [`TrialError`] if an entry did not announce its port.
pub fn balancer(deployment: &Deployment) -> Result<Balancer, TrialError> {
    let target = |index| Ok::<_, TrialError>(deployment.caller(index, "")?.target());
    Ok(Balancer::new(
        (0..CENTRES).map(target).collect::<Result<_, _>>()?,
    ))
}

fn print_if_incomplete(outcome: &Outcome) {
    if outcome.verdict != Verdict::Whole {
        let record = &outcome.request.record;
        println!(
            "no complete answer: {} {} at {} ms: {:?} after {} ms",
            record.team,
            record.route,
            record.at_ms,
            outcome.verdict,
            outcome.total().as_millis()
        );
    }
}
