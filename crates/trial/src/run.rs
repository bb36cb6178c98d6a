//! The main job: both deployments under their recorded traces.

use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_harness::Deployment;

use crate::error::TrialError;
use crate::fleet::{CENTRES, Deployed, Limits};
use crate::load::{self, Balancer, Outcome, Verdict};
use crate::table::{self, Summary};

/// Limits that the recorded traces stay within.
const LIMITS: Limits = Limits {
    rate: 60_000,
    burst: 60_000,
};

/// Time in which the shares of every team fill after a start.
const FILL_TIME: Duration = Duration::from_millis(1_500);

/// Runs both deployments at once, prints their tables, and sums up what callers got.
///
/// # Errors
/// Returns a [`TrialError`] if a deployment does not start or a trace cannot be read.
pub async fn run() -> Result<Summary, TrialError> {
    let (hivecraft, bancada) = tokio::try_join!(one(Deployed::Hivecraft), one(Deployed::Bancada))?;
    println!("{}", table::render("Hivecraft Assistant", &hivecraft));
    println!("{}", table::render("Bancada Viva", &bancada));
    for outcome in hivecraft.iter().chain(&bancada) {
        report(outcome);
    }
    Ok(Summary::new(hivecraft.iter().chain(&bancada)))
}

async fn one(deployed: Deployed) -> Result<Vec<Outcome>, TrialError> {
    let deployment = Deployment::start(deployed.plan(LIMITS)).await?;
    tokio::time::sleep(FILL_TIME).await;
    let shots = load::as_recorded(deployed, deployed.trace()?);
    Ok(load::run(Arc::new(balancer(&deployment)?), shots).await)
}

/// A balancer in front of every entry.
///
/// # Errors
/// Returns a [`TrialError`] if an entry announced no port.
pub fn balancer(deployment: &Deployment) -> Result<Balancer, TrialError> {
    let target = |index| Ok::<_, TrialError>(deployment.caller(index, "")?.target());
    Ok(Balancer::new(
        (0..CENTRES).map(target).collect::<Result<_, _>>()?,
    ))
}

fn report(outcome: &Outcome) {
    if outcome.verdict != Verdict::Whole {
        let record = &outcome.shot.record;
        println!(
            "not whole: {} {} at {} ms: {:?} after {} ms",
            record.team,
            record.route,
            record.at_ms,
            outcome.verdict,
            outcome.total().as_millis()
        );
    }
}
