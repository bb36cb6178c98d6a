//! Cold endpoints, which crash if all entries together send too many requests in one second.

use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{EndpointRecord, Plan};

use super::large_fleet::place;
use super::simulation::{Kind, Policy, Simulation};
use super::{SERVICE, at, endpoint_record, plan, scheduler};

const CHECKS: [Kind; 1] = [Kind {
    rank: 0,
    rate: 300.0,
    prompt: 100.0,
    length: 4.0,
    objective: 300,
}];

/// Requests per second that a cold endpoint can handle: 22, times the cold factor of 1.5, plus 5.
const CAPACITY_PER_S: usize = 38;

#[test]
fn all_entries_together_respect_the_capacity_of_a_cold_endpoint() {
    for entries in [1, 3, 5] {
        let mut simulation = Simulation::new(Policy::Scheduled, entries, &[1.0, 1.0], 200, &CHECKS);
        for entry in &mut simulation.entries {
            for id in ["e0", "e1"] {
                let cold = EndpointRecord {
                    cold: Duration::from_secs(3),
                    sequence: 2,
                    ..endpoint_record(id, 200)
                };
                entry.upsert_endpoint(cold, at(0));
            }
        }
        // The load starts at 200 ms, after the entries have exchanged reports.
        simulation.add_load(200, 3_000, 1.0);
        simulation.run(3_000);
        for engine in 0..2 {
            let busiest = simulation.busiest_second(engine);
            assert!(
                busiest <= CAPACITY_PER_S,
                "{entries} entries sent {busiest} requests in a second"
            );
            assert!(
                busiest > CAPACITY_PER_S / 4,
                "{entries} entries sent only {busiest} in a second"
            );
        }
    }
}

/// Guards against calls for a reservation beside as many requests as a cold endpoint takes: it gets
/// twice as many calls in a second.
#[test]
fn calls_for_reservations_do_not_exceed_the_capacity_of_a_cold_endpoint() {
    let mut scheduler = scheduler(1, &[]);
    let mut reserving = Plan::clone(&plan(2));
    let service = reserving.services.get_mut(SERVICE).expect("it is planned");
    service.reservation = Duration::from_secs(2);
    scheduler.configure(Arc::new(reserving), at(0));
    let cold = EndpointRecord {
        cold: Duration::from_secs(3),
        ..endpoint_record("x", 40)
    };
    scheduler.upsert_endpoint(cold, at(0));
    let mut calls = 0;
    for ticket in 0..90 {
        // All requests run on, so that the endpoint is soon half full.
        if let Some(placement) = place(&mut scheduler, ticket, ticket * 10) {
            calls += 1 + usize::from(!placement.reservation.is_zero());
        }
    }
    assert!(calls <= CAPACITY_PER_S, "{calls} calls in a second");
    assert!(calls > CAPACITY_PER_S / 2, "{calls} calls in a second");
}
