//! Replays of load at its worst: how requests wait, are turned away and are placed.
//!
//! The bounds are targets: what an operator may expect of each rank while the load is what it is.

use comfreyhaven_core::direct::{Ask, Outcome};

use super::world::{Kind, Policy, Tally, World};
use super::{ask, at, listing, placed, scheduler};

/// Eight endpoints of usual speed and four that take over four times as long.
const FACTORS: [f64; 12] = [
    0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0,
];

/// Plans, questions and short checks.
const KINDS: [Kind; 3] = [
    Kind {
        rank: 0,
        rate: 43.0,
        prompt: 6_600.0,
        length: 382.0,
        objective: 500,
    },
    Kind {
        rank: 1,
        rate: 37.0,
        prompt: 630.0,
        length: 294.0,
        objective: 300,
    },
    Kind {
        rank: 2,
        rate: 64.0,
        prompt: 1_800.0,
        length: 24.0,
        objective: 300,
    },
];

fn play(policy: Policy, load: f64) -> Vec<Tally> {
    let mut world = World::new(policy, 3, &FACTORS, 15, &KINDS);
    world.load(0, 4_000, 0.6);
    world.load(4_000, 12_000, load);
    world.load(12_000, 16_000, 0.6);
    world.run(60_000);
    world.tallies
}

/// Worth of what was in time, as a part of what was asked for.
fn worth(tallies: &[Tally]) -> f64 {
    let worths = [6.8, 1.8, 0.3];
    let sum = |count: fn(&Tally) -> u32| -> f64 {
        tallies
            .iter()
            .zip(worths)
            .map(|(tally, worth)| f64::from(count(tally)) * worth)
            .sum()
    };
    sum(|tally| tally.timely) / sum(|tally| tally.asked)
}

#[test]
fn a_calm_load_is_served_in_time() {
    for tally in play(Policy::Scheduled, 0.6) {
        assert!(tally.timely_part() > 0.98, "{tally:?}");
    }
}

#[test]
fn in_a_burst_the_most_urgent_stay_in_time() {
    let tallies = play(Policy::Scheduled, 2.2);
    assert!(tallies[0].timely_part() > 0.8, "{tallies:?}");
    assert!(
        tallies[2].served_part() > 0.5,
        "short work starves: {tallies:?}"
    );
    assert!(
        tallies[1].served_part() > 0.25,
        "a rank starves: {tallies:?}"
    );
}

#[test]
fn twice_what_can_be_borne_starves_no_kind() {
    let tallies = play(Policy::Scheduled, 3.0);
    let all: u32 = tallies.iter().map(|tally| tally.asked).sum();
    let served: u32 = tallies.iter().map(|tally| tally.timely + tally.late).sum();
    let part = f64::from(served) / f64::from(all);
    for tally in &tallies {
        assert!(tally.served_part() > part / 4.0, "{tallies:?}");
    }
}

/// A request is refused at once or served; none is held to its end.
#[test]
fn what_is_admitted_is_in_time() {
    let tallies = play(Policy::Scheduled, 2.4);
    for tally in &tallies {
        assert!(tally.late * 10 < tally.timely, "{tallies:?}");
        assert_eq!(tally.timely + tally.late + tally.refused, tally.asked);
    }
}

#[test]
fn overload_is_borne_far_better_than_by_counting_alone() {
    for load in [2.0, 2.4, 3.0] {
        let (scheduled, naive) = (play(Policy::Scheduled, load), play(Policy::Naive, load));
        let (scheduled, naive) = (worth(&scheduled), worth(&naive));
        assert!(
            scheduled > 1.3 * naive,
            "at {load}: {scheduled:.2} and {naive:.2}"
        );
    }
}

/// Load: every place taken, and requests that were refused come back too late to be in time.
#[test]
fn a_late_request_waits_only_if_it_is_of_a_short_kind() {
    let mut entry = scheduler(1, &[]);
    entry.list(listing("e0", 1), at(0));
    assert!(placed(entry.ask(ask(1, 0, at(0)), at(0))).is_some());
    let late = |ticket, rank, length| Ask {
        objective: at(0),
        length,
        ..ask(ticket, rank, at(100))
    };
    let long = entry.ask(late(2, 1, 400), at(100));
    assert!(matches!(long, Some(Outcome::Turned(_))), "{long:?}");
    let short = entry.ask(late(3, 2, 10), at(100));
    assert!(short.is_none(), "{short:?}");
    let in_time = entry.ask(ask(4, 1, at(100)), at(100));
    assert!(in_time.is_none(), "{in_time:?}");
}
