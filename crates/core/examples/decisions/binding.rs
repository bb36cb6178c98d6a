//! Compares late binding with pushing, numbers of reservations, and forwarding by a leaving agent
//! with returning.

use std::time::Duration;

use crate::engine::{Spec, at};
use crate::outcomes::Outcomes;
use crate::setup::{Binding, Leaving, Setup};
use crate::simulation::Simulation;
use crate::workload::{self, Kind, MIXED};

pub const SEEDS: [u64; 3] = [11, 12, 13];
pub const SECONDS: f64 = 60.0;

/// Returns twelve engines of three speeds. The fastest are four times as fast as the slowest.
pub fn mixed_engines() -> Vec<Spec> {
    let speeds = [0.5, 0.5, 0.5, 0.5, 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0, 2.0];
    speeds.into_iter().map(Spec::new).collect()
}

/// Runs a setup once with each seed.
pub fn run_seeds(setup: &Setup, kinds: &[Kind], load: f64, greedy_factor: f64) -> Vec<Outcomes> {
    let rate = load * workload::capacity(kinds, &setup.engines);
    let run = |seed: &u64| {
        let requests = workload::arrivals(*seed, kinds, rate, SECONDS, greedy_factor);
        Simulation::new(setup.clone(), requests, *seed)?.run()
    };
    SEEDS.iter().filter_map(|seed| run(seed).ok()).collect()
}

/// Returns the mean of a figure over the runs.
pub fn mean(runs: &[Outcomes], of: impl Fn(&Outcomes) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

fn row(name: &str, load: f64, setup: &Setup) {
    let runs = run_seeds(setup, &MIXED, load, 1.0);
    println!(
        "{name:<28} {load:>4.1} {:>7.3} {:>7.3} {:>7.3} {:>8.3} {:>8.3} {:>8.3} {:>7.1} {:>7.3}",
        mean(&runs, |o| o.goodput(0)),
        mean(&runs, |o| o.goodput(1)),
        mean(&runs, |o| o.goodput(2)),
        mean(&runs, |o| o.wait(50, |_| true)),
        mean(&runs, |o| o.wait(95, |r| r.kind.tier == 0)),
        mean(&runs, |o| o.wait(95, |_| true)),
        mean(&runs, Outcomes::messages_per_request),
        mean(&runs, Outcomes::waste),
    );
}

/// Prints the tables.
pub fn print() {
    println!("binding: 12 engines of speeds 0.5, 1 and 2, {SECONDS} s, seeds {SEEDS:?}");
    println!(
        "{:<28} {:>4} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8} {:>7} {:>7}",
        "binding",
        "load",
        "good 0",
        "good 1",
        "good 2",
        "wait p50",
        "t0 p95",
        "wait p95",
        "msgs",
        "waste"
    );
    for load in [0.7, 1.0, 2.0] {
        for fanout in [1, 2, 3, 12] {
            let binding = Binding::Late { fanout };
            let setup = Setup {
                binding,
                ..Setup::new(mixed_engines())
            };
            row(&format!("late, {fanout} reservations"), load, &setup);
        }
        for millis in [100, 500, 2_000] {
            let binding = Binding::Push {
                age: Duration::from_millis(millis),
            };
            let setup = Setup {
                binding,
                ..Setup::new(mixed_engines())
            };
            row(&format!("push, reports {millis} ms old"), load, &setup);
        }
    }
    println!("\nforwarding: one of the fastest agents leaves at 30 s");
    for micros in [500, 40_000] {
        for (name, leaving) in [("return", Leaving::Return), ("forward", Leaving::Forward)] {
            for fanout in [1, 3] {
                let setup = Setup {
                    leaving,
                    binding: Binding::Late { fanout },
                    delay: Duration::from_micros(micros),
                    leaves: Some((8, at(SECONDS / 2.0))),
                    ..Setup::new(mixed_engines())
                };
                row(
                    &format!("{name}, {fanout} res., {} ms", micros as f64 / 1e3),
                    1.0,
                    &setup,
                );
            }
        }
    }
}
