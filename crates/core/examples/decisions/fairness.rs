//! One team at ten times the rate of the others.

use comfreyhaven_core::agent::{Growth, Lateness, Policy};

use crate::binding::{SECONDS, SEEDS, mean, repeat};
use crate::engine::Spec;
use crate::fleet::TEAMS;
use crate::outcomes::Outcomes;
use crate::simulation::Setup;
use crate::workload::{Kind, MIXED, ONE_TIER, QUESTIONS};

/// Load of one modest team; five teams share the engines, so that a fifth is its fair share.
const MODEST_LOAD: f64 = 0.15;
const GREED: f64 = 10.0;

fn served(outcomes: &Outcomes, team: usize) -> f64 {
    outcomes.share(|request| request.team == team)
}

fn worst(outcomes: &Outcomes) -> f64 {
    (1..TEAMS)
        .map(|team| served(outcomes, team))
        .fold(1.0, f64::min)
}

/// Prints the table.
pub fn print() {
    let load = MODEST_LOAD * (TEAMS as f64 - 1.0 + GREED);
    println!(
        "fairness: 4 engines, team 0 sends {GREED} times what each of 4 others does, load {load}, \
         {SECONDS} s, seeds {SEEDS:?}"
    );
    println!(
        "{:<18} {:<34} {:>13} {:>13}",
        "requests", "order", "worst modest", "greedy team"
    );
    let kinds: [(&str, &[Kind]); 3] = [
        ("questions", &QUESTIONS),
        ("checks and plans", &ONE_TIER),
        ("three tiers", &MIXED),
    ];
    for (requests, kinds) in kinds {
        let late = Policy::default().with_lateness(Lateness::Deadline);
        let ways = [
            ("arrival", true, Policy::default()),
            ("token counters, late at deadline", false, late),
            ("token counters", false, Policy::default()),
        ];
        for (name, anonymous, policy) in ways {
            let setup = Setup {
                anonymous,
                policy: policy.with_growth(Growth::Multiplicative),
                ..Setup::new(vec![Spec::new(1.0); 4])
            };
            let runs = repeat(&setup, kinds, load, GREED);
            println!(
                "{requests:<18} {name:<34} {:>13.3} {:>13.3}",
                mean(&runs, worst),
                mean(&runs, |o| served(o, 0)),
            );
        }
    }
    println!();
}
