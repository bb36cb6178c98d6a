//! Compares policies on engines that start cold, become cold without a restart, or run on while
//! their agent restarts.

use comfreyhaven_core::agent::{Growth, Pacing, Policy};

use crate::binding::{SECONDS, SEEDS, mean, run_seeds};
use crate::engine::{Spec, at};
use crate::outcomes::Outcomes;
use crate::setup::Setup;
use crate::workload::MIXED;

fn row(name: &str, case: &str, setup: &Setup) {
    let runs = run_seeds(setup, &MIXED, 1.0, 1.0);
    println!(
        "{name:<16} {case:<26} {:>7.2} {:>7.3} {:>7.3} {:>7.3} {:>8.3} {:>7.3}",
        mean(&runs, |o| f64::from(o.crashes)),
        mean(&runs, |o| o.goodput(0)),
        mean(&runs, |o| o.goodput(1)),
        mean(&runs, |o| o.goodput(2)),
        mean(&runs, |o| o.wait(95, |_| true)),
        mean(&runs, Outcomes::waste),
    );
}

/// Prints the table.
pub fn print() {
    println!("cold: 4 engines (cold 4, warm 16), load 1.0, {SECONDS} s, seeds {SEEDS:?}");
    println!(
        "{:<16} {:<26} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7}",
        "growth", "engines", "crashes", "good 0", "good 1", "good 2", "wait p95", "waste"
    );
    let growths = [
        ("multiplicative", Growth::Multiplicative),
        ("additive", Growth::Additive),
        ("held", Growth::Delayed),
    ];
    for (name, growth) in growths {
        let policy = Policy::default().with_growth(growth);
        for (warming, gradual) in [(16, false), (16, true), (64, false), (64, true)] {
            let spec = Spec {
                warming,
                gradual,
                ..Spec::new(1.0)
            };
            let setup = Setup {
                policy,
                ..Setup::new(vec![spec; 4])
            };
            let rise = if gradual { "gradually" } else { "at once" };
            row(name, &format!("warm {rise} after {warming}"), &setup);
        }
    }
    let middle = at(SECONDS / 2.0);
    for (name, pacing) in [("fixed", Pacing::Fixed), ("adaptive", Pacing::Adaptive)] {
        let policy = Policy::default().with_pacing(pacing);
        let turns_cold = Some((0, middle));
        let setup = Setup {
            policy,
            turns_cold,
            ..Setup::new(vec![Spec::new(1.0); 4])
        };
        row(name, "one slow at 30 s", &setup);
    }
    let restarts = Some((0, middle));
    let setup = Setup {
        restarts,
        ..Setup::new(vec![Spec::new(1.0); 4])
    };
    row("held", "an agent restarts at 30 s", &setup);
    println!();
}
