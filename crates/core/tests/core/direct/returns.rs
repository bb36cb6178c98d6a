//! Replays of an overload whose refused callers return once, at another entry.
//!
//! The bounds are what callers need: a refusal at once, and a place that holds.

use std::time::Duration;

use comfreyhaven_core::direct::Policies;

use super::simulation::{Kind, Policy, Returns, Simulation};

/// Eight fast endpoints and four that take over four times as long.
const FACTORS: [f64; 12] = [
    0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0,
];

/// Long plans, medium questions and short checks.
const KINDS: [Kind; 3] = [
    Kind {
        rank: 0,
        rate: 43.0,
        prompt: 6_600.0,
        length: 382.0,
        objective: 800,
    },
    Kind {
        rank: 1,
        rate: 37.0,
        prompt: 630.0,
        length: 294.0,
        objective: 400,
    },
    Kind {
        rank: 2,
        rate: 64.0,
        prompt: 1_800.0,
        length: 24.0,
        objective: 400,
    },
];

const ON: Policies = Policies {
    team_shares: false,
    return_places: true,
    slot_shares: false,
    stream_backups: false,
    hedge_part: 0.0,
};

fn replay(entries: u8, load: f64, hasty: f64, policies: Policies) -> Simulation {
    let mut simulation = Simulation::new(Policy::Scheduled, entries, &FACTORS, 15, &KINDS)
        .with_report_interval(Duration::from_millis(200))
        .with_returns(Returns { hasty }, policies);
    simulation.add_load(0, 4_000, 0.6);
    simulation.add_load(4_000, 14_000, load);
    simulation.run(60_000);
    simulation
}

fn median(values: &[u64]) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or(0)
}

#[test]
#[ignore = "prints figures"]
fn figures() {
    for entries in [3, 22] {
        for load in [1.0, 1.5, 2.0, 4.0] {
            for policies in [Policies::default(), ON] {
                let simulation = replay(entries, load, 0.0, policies);
                let tallies = &simulation.tallies;
                let (mut tries, mut served) = (0, 0);
                let mut text = String::new();
                for tally in tallies {
                    tries += tally.submitted + tally.returned;
                    served += tally.timely + tally.late;
                    text += &format!(
                        " | {:.3} {:.3} ret {:4} {:.2}",
                        tally.timely_part(),
                        tally.served_part(),
                        tally.returned,
                        f64::from(tally.readmitted) / f64::from(tally.returned.max(1))
                    );
                }
                println!(
                    "{entries:3} load {load} {} wait {} tries {:.2} served {served}{text}",
                    policies.return_places,
                    median(&simulation.refused_waits),
                    f64::from(tries) / f64::from(served.max(1)),
                );
            }
        }
    }
}
