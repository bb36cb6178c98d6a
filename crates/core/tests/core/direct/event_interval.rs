//! Long answers from endpoints of different speed: how entries learn the event interval of an
//! endpoint.

use std::time::Duration;

use comfreyhaven_core::direct::{Ending, EventInterval, Outcome, PlacementRequest, Scheduler};

use super::simulation::{Kind, Policy, Simulation};
use super::{address, at, endpoint_record, placed, placement_request, scheduler};

const SECOND_MS: u64 = 1_000;

/// Runs an answer of 64 events at the only endpoint with a free slot.
fn run(entry: &mut Scheduler, ticket: u64, millis: u64) {
    let Some(Outcome::Placed(placement)) = entry.submit(placement_request(ticket, 0, at(0)), at(0))
    else {
        panic!("the request was not placed");
    };
    let mut run = placement.run;
    entry.record_first_byte(&mut run, at(30));
    for events in [1, 2, 4, 8, 16, 32, 64] {
        entry.record_events(
            &run,
            events,
            Duration::from_millis(millis * u64::from(events - 1)),
        );
    }
    entry.end(&run, Ending::Complete, at(30 + 64 * millis));
}

fn long(ticket: u64, now: u64) -> PlacementRequest {
    PlacementRequest {
        length: 1_200,
        ..placement_request(ticket, 0, at(now))
    }
}

#[test]
fn peers_learn_of_a_slow_endpoint_from_reports() {
    let mut two = scheduler(2, &[1, 3]);
    for (index, id, millis) in [(1, "slow", 120), (3, "quick", 25)] {
        let mut peer = scheduler(index, &[2]);
        peer.upsert_endpoint(endpoint_record(id, 8), at(0));
        run(&mut peer, 1, millis);
        // An endpoint is reported only while a request runs there.
        peer.submit(placement_request(2, 0, at(SECOND_MS)), at(SECOND_MS));
        two.upsert_endpoint(endpoint_record(id, 8), at(0));
        two.apply_report(address(index), peer.report(at(SECOND_MS)), at(SECOND_MS));
    }
    for ticket in 0..7 {
        let id = placed(two.submit(long(ticket, SECOND_MS), at(SECOND_MS)));
        assert_ne!(id.as_deref(), Some("slow"), "at request {ticket}");
    }
}

#[test]
fn own_observations_take_precedence_over_reports() {
    let mut interval = EventInterval::new(None);
    assert_eq!(interval.reported(), 0);
    assert!(interval.accept_reported(1_200));
    assert!((interval.millis() - 120.0).abs() < 0.1);
    assert_eq!(
        interval.reported(),
        0,
        "a reported interval must not be reported again"
    );
    interval.set_baseline(40.0);
    assert!((interval.millis() - 120.0).abs() < 0.1);
    for _ in 0..40 {
        interval.observe(30.0);
    }
    assert!(!interval.accept_reported(1_200));
    assert!((interval.millis() - 30.0).abs() < 1.0);
    assert!((295..=310).contains(&interval.reported()));
}

/// Guards against placing long answers at slow endpoints. A third of the endpoints cannot complete
/// them before the deadline.
#[test]
fn long_answers_are_not_placed_at_slow_endpoints() {
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
    let overdue_part = |policy| {
        let mut simulation = Simulation::new(policy, 3, &factors, 10, &kinds);
        simulation.add_load(0, 20_000, 1.0);
        simulation.run(120_000);
        f64::from(simulation.tallies[0].overdue) / f64::from(simulation.tallies[0].submitted)
    };
    let (scheduled, naive) = (overdue_part(Policy::Scheduled), overdue_part(Policy::Naive));
    assert!(
        scheduled < 0.03,
        "{scheduled} of the long answers were not complete"
    );
    assert!(
        scheduled * 4.0 < naive,
        "scheduled: {scheduled}, least requests: {naive}"
    );
}
