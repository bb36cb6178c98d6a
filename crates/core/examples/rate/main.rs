//! Counts wrongful refusals of a team within its rate, with and without loans between entries.
//!
//! The entries run the real state machine, and a stub in place of the agents offers at once. One
//! exact token bucket for the fleet is charged and refunded for each admitted request. A refusal
//! for the rate is wrongful if that bucket held the tokens of the request. An admission is an
//! excess if the bucket lacked them.
//!
//! Run it with `cargo run --release -p comfreyhaven-core --example rate`.

mod bucket;
mod fleet;
mod simulation;

use simulation::{Callers, Scenario, Simulation};

fn main() {
    println!(
        "{:>5} {:>8} {:>7} {:>5} {:>7} | {:>8} {:>8} {:>8} {:>7} {:>6} {:>14} {:>7}",
        "hosts",
        "callers",
        "dead",
        "load",
        "burst",
        "mode",
        "sent",
        "wrongful",
        "in 100",
        "excess",
        "loan reqs/sent",
        "wait ms"
    );
    for hosts in [3, 24] {
        for callers in [Callers::Spread, Callers::One] {
            for dead in [false, true] {
                for (load, burst) in [(0.5, 2.0), (0.7, 2.0), (0.7, 0.5), (0.95, 2.0), (1.5, 2.0)] {
                    for borrows in [false, true] {
                        row(&Scenario {
                            hosts,
                            callers,
                            dead,
                            load,
                            burst,
                            borrows,
                        });
                    }
                }
            }
        }
    }
}

/// Runs a scenario with several seeds and prints one row for all of them.
fn row(scenario: &Scenario) {
    let mut sum = simulation::Outcome::default();
    for seed in 1..=SEEDS {
        sum.add(&Simulation::new(scenario, seed).run());
    }
    println!(
        "{:>5} {:>8} {:>7} {:>5} {:>6}s | {:>8} {:>8} {:>8} {:>7.3} {:>6} {:>14.3} {:>7.2}",
        scenario.hosts,
        scenario.callers,
        if scenario.dead { "one" } else { "none" },
        scenario.load,
        scenario.burst,
        if scenario.borrows { "borrow" } else { "shares" },
        sum.sent,
        sum.wrongful,
        100.0 * sum.wrongful as f64 / sum.sent as f64,
        sum.excess,
        sum.loan_requests as f64 / sum.sent as f64,
        sum.wait.as_secs_f64() * 1_000.0 / sum.sent as f64,
    );
}

const SEEDS: u64 = 3;
