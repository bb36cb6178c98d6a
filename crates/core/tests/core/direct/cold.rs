//! Endpoints that crash if one second brings them too many requests from all entries together.

use std::time::Duration;

use comfreyhaven_core::direct::Listing;

use super::world::{Kind, Policy, World};
use super::{at, listing};

const CHECKS: [Kind; 1] = [Kind {
    rank: 0,
    rate: 300.0,
    prompt: 100.0,
    length: 4.0,
    objective: 300,
}];

/// What a cold endpoint bears: 22 a second, half of that again, and five.
const BEARS: usize = 38;

#[test]
fn a_cold_endpoint_is_spared_by_all_entries_together() {
    for entries in [1, 3, 5] {
        let mut world = World::new(Policy::Scheduled, entries, &[1.0, 1.0], 200, &CHECKS);
        for entry in &mut world.entries {
            for id in ["e0", "e1"] {
                let cold = Listing {
                    cold: Duration::from_secs(3),
                    sequence: 2,
                    ..listing(id, 200)
                };
                entry.list(cold, at(0));
            }
        }
        // The entries have heard each other before the first callers come.
        world.load(200, 3_000, 1.0);
        world.run(3_000);
        for engine in 0..2 {
            let busiest = world.busiest_second(engine);
            assert!(
                busiest <= BEARS,
                "{entries} entries sent {busiest} in a second"
            );
            assert!(busiest > BEARS / 4, "{entries} entries use only {busiest}");
        }
    }
}
