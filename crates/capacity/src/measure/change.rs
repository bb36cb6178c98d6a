//! The spread of a change over many processes, by the real state machines on a virtual clock.

mod world;

use std::time::Duration;

use self::world::World;
use crate::error::CapacityError;
use crate::fit::Point;
use crate::series::{Cost, Findings};

const SIZES: [u16; 4] = [120, 240, 480, 940];

/// How long calls are counted while nothing changes.
const IDLE: Duration = Duration::from_secs(120);

/// How long calls are counted after a change.
const BUSY: Duration = Duration::from_secs(10);

/// Longest wait for a change to be in force.
const LIMIT: Duration = Duration::from_secs(60);

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let mut series: [Vec<Point>; 6] = Default::default();
    for size in SIZES {
        let costs = round(size)?;
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
        findings.add(cost, "process", points);
    }
    Ok(())
}

/// One fleet from its start over a time without change to a change.
fn round(size: u16) -> Result<[f64; 6], CapacityError> {
    let missing = CapacityError::Decision("put a change in force");
    let mut world = World::new(size, u64::from(size));
    let started = world.now();
    if world.settle(LIMIT).is_none() {
        return Err(missing);
    }
    world.run(IDLE);
    let start_peak = world.peak(started);

    let (idle, exchanges) = (world.now(), world.exchanges());
    world.run(IDLE);
    let idle_calls = world.calls_since(idle) / IDLE.as_secs_f64();
    let idle_exchanges = (world.exchanges() - exchanges) / f64::from(size) / IDLE.as_secs_f64();

    let (changed, exchanges) = (world.now(), world.exchanges());
    world.publish(2);
    let Some(time) = world.settle(LIMIT) else {
        return Err(missing);
    };
    world.run(BUSY);
    let change_exchanges = (world.exchanges() - exchanges) / f64::from(size);
    Ok([
        start_peak,
        idle_calls,
        idle_exchanges,
        time.as_secs_f64() * 1e3,
        world.peak(changed),
        change_exchanges,
    ])
}
