//! Endpoints that say in their answers that they take no requests.

use std::net::SocketAddr;

use comfreyhaven_core::direct::{
    EndpointRecord, LimitNotice, Notice, NoticeEffect, Outcome, Reason, Scheduler, Ticket,
};

use super::fleet_network::FleetNetwork;
use super::{address, at, endpoint_record, placed, placement_request, scheduler};

const LEAVING: Notice = Notice {
    leaving: true,
    pause: None,
    malformed: false,
    limit: LimitNotice::Unstated,
    malformed_limit: false,
};

/// Returns the record of an endpoint at an address of its own.
pub fn record(id: &str, host: u8) -> EndpointRecord {
    EndpointRecord {
        address: SocketAddr::from(([10, 1, 0, host], 80)),
        ..endpoint_record(id, 4)
    }
}

/// Returns a scheduler that knows the endpoint `x`.
pub fn scheduler_with_x() -> Scheduler {
    let mut scheduler = scheduler(1, &[]);
    scheduler.upsert_endpoint(record("x", 1), at(0));
    scheduler
}

pub fn submit(scheduler: &mut Scheduler, ticket: u64, millis: u64) -> Option<Outcome> {
    scheduler.submit(placement_request(ticket, 0, at(millis)), at(millis))
}

fn refusal(outcome: Option<Outcome>) -> Option<Reason> {
    match outcome {
        Some(Outcome::Refused(refusal)) => Some(refusal.reason),
        Some(Outcome::Placed(_)) | None => None,
    }
}

/// Guards against requests to an endpoint that leaves while its record stays ready.
#[test]
fn an_endpoint_that_leaves_by_its_own_word_receives_no_requests() {
    let mut scheduler = scheduler_with_x();
    scheduler.upsert_endpoint(record("y", 2), at(0));
    let effect = scheduler.record_notice(&record("x", 1), &LEAVING, at(10));
    assert!(effect.leaves);
    let ready = EndpointRecord {
        sequence: 2,
        ..record("x", 1)
    };
    scheduler.upsert_endpoint(ready, at(10));
    for ticket in 0..4 {
        let outcome = submit(&mut scheduler, ticket, 20);
        assert_eq!(placed(outcome).as_deref(), Some("y"));
    }
    assert!(
        !scheduler.may_send(&record("x", 1), at(30)),
        "placed before"
    );
    let effect = scheduler.record_notice(&record("x", 1), &LEAVING, at(10));
    assert_eq!(effect, NoticeEffect::default());
}

/// Guards against taking the word of one incarnation for that of the next.
#[test]
fn a_reborn_incarnation_is_served_at_once() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &LEAVING, at(10));
    let reborn = EndpointRecord {
        started_ms: 2,
        ..record("x", 1)
    };
    scheduler.upsert_endpoint(reborn.clone(), at(10));
    assert!(scheduler.may_send(&reborn, at(30)));
    // An answer of the former incarnation may still arrive.
    scheduler.record_notice(&record("x", 1), &LEAVING, at(10));
    assert_eq!(placed(submit(&mut scheduler, 1, 20)).as_deref(), Some("x"));
}

/// Guards against taking the word of an endpoint for that of the next one at its address.
#[test]
fn another_endpoint_at_the_address_is_served_at_once() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &LEAVING, at(10));
    let other = EndpointRecord {
        started_ms: 2,
        ..record("other", 1)
    };
    scheduler.upsert_endpoint(other, at(10));
    assert_eq!(
        placed(submit(&mut scheduler, 1, 20)).as_deref(),
        Some("other")
    );
}

/// Guards against a record that is removed and listed again, as after an outage of the store.
#[test]
fn the_own_word_outlives_the_record() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &LEAVING, at(10));
    scheduler.mark_unlisted("x", at(10));
    scheduler.remove_expired(at(20));
    scheduler.upsert_endpoint(record("x", 1), at(30));
    let outcome = submit(&mut scheduler, 1, 40);
    assert_eq!(refusal(outcome), Some(Reason::EndpointsLeaving));
}

/// Guards against losing an endpoint that started again, by an old record of its incarnation that has
/// left: a peer's snapshot or a page of the store may be older than what this entry knows.
#[test]
fn an_incarnation_that_left_does_not_replace_a_later_one() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &LEAVING, at(10));
    let reborn = EndpointRecord {
        started_ms: 2,
        ..record("x", 1)
    };
    scheduler.upsert_endpoint(reborn, at(10));
    scheduler.upsert_endpoint(record("x", 1), at(20));
    assert_eq!(placed(submit(&mut scheduler, 1, 30)).as_deref(), Some("x"));
}

/// Guards against waiting for an endpoint that will take no requests any more.
#[test]
fn waiting_requests_are_refused_once_all_endpoints_leave() {
    let mut scheduler = scheduler(1, &[]);
    scheduler.upsert_endpoint(endpoint_record("x", 1), at(0));
    assert!(placed(submit(&mut scheduler, 1, 0)).is_some());
    assert!(submit(&mut scheduler, 2, 0).is_none(), "it waits");
    scheduler.record_notice(&endpoint_record("x", 1), &LEAVING, at(10));
    let mut outcomes = scheduler.process_queues(at(10));
    let (ticket, outcome) = outcomes.pop().expect("it still waits");
    assert_eq!(ticket, Ticket(2));
    assert_eq!(refusal(Some(outcome)), Some(Reason::EndpointsLeaving));
    assert_eq!(
        refusal(submit(&mut scheduler, 3, 20)),
        Some(Reason::EndpointsLeaving)
    );
}

/// Submits eight requests and returns how many of them were placed at `x`.
pub fn placed_at_x(scheduler: &mut Scheduler, millis: u64) -> usize {
    let placed_at = |ticket| placed(submit(scheduler, ticket, millis));
    let endpoints: Vec<_> = (millis..millis + 8).filter_map(placed_at).collect();
    endpoints.iter().filter(|id| *id == "x").count()
}

/// Guards against entries that each have to be told by the endpoint, and against a peer's word that
/// takes an endpoint away: it stays in use where there is no other, and its next incarnation too.
#[test]
fn a_peers_word_is_a_cost_and_no_ban() {
    let mut informed = scheduler_with_x();
    informed.record_notice(&record("x", 1), &LEAVING, at(10));
    let mut scheduler = scheduler(2, &[1, 2]);
    for (id, host) in [("x", 1), ("y", 2)] {
        let many_slots = EndpointRecord {
            slots: 100,
            ..record(id, host)
        };
        scheduler.upsert_endpoint(many_slots, at(0));
    }
    scheduler.apply_report(address(1), informed.report(at(10)), at(10));
    assert_eq!(placed_at_x(&mut scheduler, 20), 0);
    scheduler.mark_unlisted("y", at(20));
    scheduler.remove_expired(at(20));
    assert_eq!(placed_at_x(&mut scheduler, 30), 8);
    assert!(scheduler.may_send(&record("x", 1), at(30)));
    scheduler.upsert_endpoint(record("y", 2), at(40));
    let reborn = EndpointRecord {
        started_ms: 2,
        slots: 100,
        ..record("x", 1)
    };
    scheduler.upsert_endpoint(reborn, at(40));
    assert!(placed_at_x(&mut scheduler, 50) > 0);
}

/// Guards against a word that stays with the entry that heard it, in a fleet that reports through
/// aggregators.
#[test]
fn the_word_of_a_leaving_endpoint_reaches_every_entry() {
    for count in [3, 30, 100] {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(2_000);
        let now = fleet.now;
        for entry in fleet.entries.iter_mut().flatten() {
            for (id, host) in [("x", 1), ("y", 2)] {
                let many_slots = EndpointRecord {
                    slots: 10_000,
                    ..record(id, host)
                };
                entry.upsert_endpoint(many_slots, at(now));
            }
        }
        let hearer = fleet.entries[count - 1].as_mut().expect("it runs");
        hearer.record_notice(&record("x", 1), &LEAVING, at(10));
        fleet.run(1_200);
        let now = fleet.now;
        let mut misled = 0;
        for entry in fleet.entries.iter_mut().flatten() {
            misled += placed_at_x(entry, now);
        }
        assert_eq!(misled, 0, "{count} entries");
    }
}
