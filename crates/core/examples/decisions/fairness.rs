//! Measures how a team that sends ten times as much as each other team affects the others.

use comfreyhaven_core::agent::{Growth, Lateness, Policy};

use crate::binding::{SECONDS, SEEDS, mean, run_seeds};
use crate::engine::Spec;
use crate::fleet::TEAMS;
use crate::outcomes::Outcomes;
use crate::setup::Setup;
use crate::workload::{Kind, MIXED, ONE_TIER, QUESTIONS};

/// Load of each team other than the greedy one. Five teams share the engines, so the fair share of
/// a team is a load of 0.2.
const OTHER_LOAD: f64 = 0.15;
/// Load of the greedy team, as a multiple of `OTHER_LOAD`.
const GREEDY_FACTOR: f64 = 10.0;

fn served(outcomes: &Outcomes, team: usize) -> f64 {
    outcomes.share(|request| request.team == team)
}

fn worst_other(outcomes: &Outcomes) -> f64 {
    (1..TEAMS)
        .map(|team| served(outcomes, team))
        .fold(1.0, f64::min)
}

/// Prints the table.
pub fn print() {
    let load = OTHER_LOAD * (TEAMS as f64 - 1.0 + GREEDY_FACTOR);
    println!(
        "fairness: 4 engines, team 0 sends {GREEDY_FACTOR} times as much as each of 4 others, \
         load {load}, {SECONDS} s, seeds {SEEDS:?}"
    );
    println!(
        "{:<18} {:<34} {:>13} {:>13}",
        "requests", "order", "worst other", "greedy team"
    );
    let kinds: [(&str, &[Kind]); 3] = [
        ("questions", &QUESTIONS),
        ("checks and plans", &ONE_TIER),
        ("three tiers", &MIXED),
    ];
    for (requests, kinds) in kinds {
        let late = Policy::default().with_lateness(Lateness::Deadline);
        let policies = [
            ("arrival", true, Policy::default()),
            ("token counters, late at deadline", false, late),
            ("token counters", false, Policy::default()),
        ];
        for (name, anonymous, policy) in policies {
            let setup = Setup {
                anonymous,
                policy: policy.with_growth(Growth::Multiplicative),
                ..Setup::new(vec![Spec::new(1.0); 4])
            };
            let runs = run_seeds(&setup, kinds, load, GREEDY_FACTOR);
            println!(
                "{requests:<18} {name:<34} {:>13.3} {:>13.3}",
                mean(&runs, worst_other),
                mean(&runs, |o| served(o, 0)),
            );
        }
    }
    println!();
}
