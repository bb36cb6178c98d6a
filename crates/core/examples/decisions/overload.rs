//! Compares policies for short requests beside requests a hundred times longer, and pacing on
//! engines whose declared capacity is too high.

use comfreyhaven_core::agent::{Growth, Lateness, Order, Pacing, Policy, Reserve};

use crate::binding::{SECONDS, SEEDS, mean, run_seeds};
use crate::engine::Spec;
use crate::outcomes::Outcomes;
use crate::setup::Setup;
use crate::workload::{self, MIXED, ONE_TIER};

const SHORT_TOKENS: u32 = 100;

fn policies() -> [(&'static str, Policy); 5] {
    let plain = Policy::default()
        .with_order(Order::Arrival)
        .with_reserve(Reserve::None)
        .with_lateness(Lateness::Deadline);
    [
        ("arrival order", plain),
        ("short first", plain.with_order(Order::ShortFirst)),
        ("slots for short", plain.with_reserve(Reserve::Short)),
        (
            "short first + slots",
            Policy::default().with_lateness(Lateness::Deadline),
        ),
        ("+ late at once", Policy::default()),
    ]
}

/// Prints the tables.
pub fn print() {
    println!("overload: 4 engines, checks and plans in one tier, {SECONDS} s, seeds {SEEDS:?}");
    println!(
        "{:<24} {:>4} {:>10} {:>9} {:>13} {:>12} {:>7}",
        "policy", "load", "good short", "good long", "short p95 s", "long p95 s", "waste"
    );
    for load in [0.7, 1.0, 1.5, 2.0] {
        for (name, policy) in policies() {
            let setup = Setup {
                policy,
                ..Setup::new(vec![Spec::new(1.0); 4])
            };
            let runs = run_seeds(&setup, &ONE_TIER, load, 1.0);
            println!(
                "{name:<24} {load:>4.1} {:>10.3} {:>9.3} {:>13.3} {:>12.3} {:>7.3}",
                mean(&runs, |o| o.share(|r| r.kind.output < SHORT_TOKENS)),
                mean(&runs, |o| o.share(|r| r.kind.output >= SHORT_TOKENS)),
                mean(&runs, |o| o.wait(95, |r| r.kind.output < SHORT_TOKENS)),
                mean(&runs, |o| o.wait(95, |r| r.kind.output >= SHORT_TOKENS)),
                mean(&runs, Outcomes::waste),
            );
        }
    }
    pacing();
}

fn pacing() {
    println!("\npacing: 4 engines declared for 64 concurrent requests, three tiers");
    println!(
        "{:<10} {:<14} {:>5} {:>7} {:>7} {:>7} {:>9} {:>9} {:>9}",
        "pacing",
        "real capacity",
        "load",
        "good 0",
        "good 1",
        "good 2",
        "gap p50",
        "gap p95",
        "t0 p95"
    );
    for (capacity, knee) in [("64", u32::MAX), ("16", 16)] {
        for load in [0.5, 1.0, 1.5] {
            for (name, pacing) in [("fixed", Pacing::Fixed), ("adaptive", Pacing::Adaptive)] {
                let spec = Spec {
                    warm: 64,
                    knee,
                    ..Spec::new(1.0)
                };
                let policy = Policy::default()
                    .with_growth(Growth::Multiplicative)
                    .with_pacing(pacing);
                let setup = Setup {
                    policy,
                    ..Setup::new(vec![spec; 4])
                };
                // The load is relative to the capacity of the engines at a batch size of 16.
                let declared = workload::capacity(&MIXED, &[spec]);
                let real = workload::capacity(&MIXED, &[Spec::new(1.0)]);
                let runs = run_seeds(&setup, &MIXED, load * real / declared, 1.0);
                println!(
                    "{name:<10} {capacity:<14} {load:>5.1} {:>7.3} {:>7.3} {:>7.3} {:>9.3} {:>9.3} \
                     {:>9.3}",
                    mean(&runs, |o| o.goodput(0)),
                    mean(&runs, |o| o.goodput(1)),
                    mean(&runs, |o| o.goodput(2)),
                    mean(&runs, |o| o.gap(50)),
                    mean(&runs, |o| o.gap(95)),
                    mean(&runs, |o| o.wait(95, |r| r.kind.tier == 0)),
                );
            }
        }
    }
    println!();
}
