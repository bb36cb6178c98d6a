//! Endpoints of unlike speed and long answers: who knows how slow an endpoint is, and what runs there.

use std::time::Duration;

use comfreyhaven_core::direct::{Ask, Ending, Outcome, Scheduler, Tempo};

use super::world::{Kind, Policy, World};
use super::{address, ask, at, listing, placed, scheduler};

const SECOND: u64 = 1_000;

/// Runs an answer of 64 events at the only endpoint that has room.
fn run(entry: &mut Scheduler, ticket: u64, millis: u64) {
    let Some(Outcome::Placed(placement)) = entry.ask(ask(ticket, 0, at(0)), at(0)) else {
        panic!("no endpoint");
    };
    let mut run = placement.run;
    entry.begin(&mut run, at(30));
    for events in [1, 2, 4, 8, 16, 32, 64] {
        entry.stream(
            &run,
            events,
            Duration::from_millis(millis * u64::from(events - 1)),
        );
    }
    entry.end(&run, Ending::Whole, at(30 + 64 * millis));
}

fn long(ticket: u64, now: u64) -> Ask {
    Ask {
        length: 1_200,
        ..ask(ticket, 0, at(now))
    }
}

#[test]
fn what_an_entry_saw_of_a_slow_endpoint_its_peers_know_too() {
    let mut two = scheduler(2, &[1, 3]);
    for (index, id, millis) in [(1, "slow", 120), (3, "quick", 25)] {
        let mut peer = scheduler(index, &[2]);
        peer.list(listing(id, 8), at(0));
        run(&mut peer, 1, millis);
        // It is told of while something runs there.
        peer.ask(ask(2, 0, at(SECOND)), at(SECOND));
        two.list(listing(id, 8), at(0));
        two.hear(address(index), peer.report(at(SECOND)), at(SECOND));
    }
    for ticket in 0..7 {
        let id = placed(two.ask(long(ticket, SECOND), at(SECOND)));
        assert_ne!(id.as_deref(), Some("slow"), "at request {ticket}");
    }
}

#[test]
fn own_sightings_go_before_what_is_heard() {
    let mut tempo = Tempo::new(None);
    assert_eq!(tempo.told(), 0);
    assert!(tempo.hear(1_200));
    assert!((tempo.millis() - 120.0).abs() < 0.1);
    assert_eq!(tempo.told(), 0, "hearsay is not passed on");
    tempo.guess(40.0);
    assert!((tempo.millis() - 120.0).abs() < 0.1);
    for _ in 0..40 {
        tempo.see(30.0);
    }
    assert!(!tempo.hear(1_200));
    assert!((tempo.millis() - 30.0).abs() < 1.0);
    assert!((295..=310).contains(&tempo.told()));
}

/// Load: answers so long that a third of the endpoints cannot give them within the deadline.
#[test]
fn long_answers_are_not_cut_off_at_slow_endpoints() {
    let factors = [0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0];
    let kinds = [
        Kind {
            rank: 0,
            rate: 12.0,
            prompt: 2_000.0,
            length: 900.0,
            objective: 500,
        },
        Kind {
            rank: 1,
            rate: 20.0,
            prompt: 600.0,
            length: 80.0,
            objective: 500,
        },
    ];
    let cut = |policy| {
        let mut world = World::new(policy, 3, &factors, 10, &kinds);
        world.load(0, 20_000, 1.0);
        world.run(120_000);
        f64::from(world.tallies[0].cut) / f64::from(world.tallies[0].asked)
    };
    let (scheduled, naive) = (cut(Policy::Scheduled), cut(Policy::Naive));
    assert!(
        scheduled < 0.03,
        "{scheduled} of the long answers were cut off"
    );
    assert!(
        scheduled * 4.0 < naive,
        "{scheduled}, and {naive} by counting alone"
    );
}
