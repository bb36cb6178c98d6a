//! Propagation of a configuration change to many processes, simulated with the real state machines
//! on a virtual clock.

mod simulation;

use std::time::Duration;

use self::simulation::Simulation;
use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::fit::Point;

const PROCESS_COUNTS: [u16; 4] = [120, 240, 480, 940];

/// Time in which calls are counted while nothing changes.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// Time after a change is known everywhere in which calls and exchanges are still counted.
const SETTLED_TIME: Duration = Duration::from_secs(10);

/// Simulated time after which a change that is not known everywhere fails the measurement.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let mut series: [Vec<Point>; 6] = Default::default();
    for size in PROCESS_COUNTS {
        let costs = simulate(size)?;
        for (points, cost) in series.iter_mut().zip(costs) {
            points.push(Point {
                size: f64::from(size),
                cost,
            });
        }
    }
    let costs = [
        Cost::StartPeak,
        Cost::IdleCalls,
        Cost::IdleExchanges,
        Cost::InForceMillis,
        Cost::ChangePeak,
        Cost::ChangeExchanges,
    ];
    for (cost, points) in costs.into_iter().zip(series) {
        findings.add_slope(cost, "process", points);
    }
    Ok(())
}

/// Simulates one fleet: its start, a time without changes, and one change.
fn simulate(size: u16) -> Result<[f64; 6], CapacityError> {
    let failure = CapacityError::Decision("put a change in force");
    let mut simulation = Simulation::new(size, u64::from(size));
    let started = simulation.now();
    if simulation.run_until_known(CHANGE_TIMEOUT).is_none() {
        return Err(failure);
    }
    simulation.run(IDLE_TIME);
    let start_peak = simulation.peak(started);

    let (idle, exchanges) = (simulation.now(), simulation.exchanges());
    simulation.run(IDLE_TIME);
    let idle_calls = simulation.calls_since(idle) / IDLE_TIME.as_secs_f64();
    let idle_exchanges =
        (simulation.exchanges() - exchanges) / f64::from(size) / IDLE_TIME.as_secs_f64();

    let (changed, exchanges) = (simulation.now(), simulation.exchanges());
    simulation.publish(2);
    let Some(time) = simulation.run_until_known(CHANGE_TIMEOUT) else {
        return Err(failure);
    };
    simulation.run(SETTLED_TIME);
    let change_exchanges = (simulation.exchanges() - exchanges) / f64::from(size);
    Ok([
        start_peak,
        idle_calls,
        idle_exchanges,
        time.as_secs_f64() * 1e3,
        simulation.peak(changed),
        change_exchanges,
    ])
}
