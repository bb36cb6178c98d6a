//! Counts refusals of a team within its rate, with and without borrowing between entries.
//!
//! Entries decide by the real state machine; agents are played by a stub that offers at once. One
//! exact bucket is charged and refunded with what the entries admit. A request that is refused for
//! its rate although that bucket held its tokens is refused wrongly; a request that is admitted
//! although the bucket lacked them is an excess.
//!
//! Run it with `cargo run --release -p comfreyhaven-core --example rate`.

mod bucket;
mod fleet;
mod simulation;

use simulation::{Callers, Plan, Simulation};

fn main() {
    println!(
        "{:>5} {:>8} {:>7} {:>5} {:>7} | {:>8} {:>8} {:>8} {:>7} {:>6} {:>9} {:>7}",
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
        "asks/sent",
        "wait ms"
    );
    for hosts in [3, 24] {
        for callers in [Callers::Spread, Callers::One] {
            for dead in [false, true] {
                for (load, burst) in [(0.5, 2.0), (0.7, 2.0), (0.7, 0.5), (0.95, 2.0), (1.5, 2.0)] {
                    for borrows in [false, true] {
                        row(&Plan {
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

/// Runs one plan with several seeds and prints its row.
fn row(plan: &Plan) {
    let mut sum = simulation::Outcome::default();
    for seed in 1..=SEEDS {
        sum.add(&Simulation::new(plan, seed).run());
    }
    println!(
        "{:>5} {:>8} {:>7} {:>5} {:>6}s | {:>8} {:>8} {:>8} {:>7.3} {:>6} {:>9.3} {:>7.2}",
        plan.hosts,
        plan.callers,
        if plan.dead { "one" } else { "none" },
        plan.load,
        plan.burst,
        if plan.borrows { "borrow" } else { "shares" },
        sum.sent,
        sum.wrongful,
        100.0 * sum.wrongful as f64 / sum.sent as f64,
        sum.excess,
        sum.asks as f64 / sum.sent as f64,
        sum.wait.as_secs_f64() * 1_000.0 / sum.sent as f64,
    );
}

const SEEDS: u64 = 3;
