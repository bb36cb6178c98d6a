//! Endpoints that want no requests of one entry for a time.

use std::time::Duration;

use comfreyhaven_core::direct::{
    Ending, EndpointRecord, Notice, Outcome, PAUSE_LIMIT, PlacementRefusal, Reason, Run,
};

use super::availability::{placed_at_x, record, scheduler_with_x, submit};
use super::fleet_network::FleetNetwork;
use super::large_fleet::place;
use super::{address, at, placed, scheduler};

/// Time in which refused callers return after a pause, in milliseconds.
const RETURN_SPREAD: u64 = 2_000;

fn pause(millis: u64) -> Notice {
    Notice {
        pause: Some(Duration::from_millis(millis)),
        ..Notice::default()
    }
}

pub fn refusal(outcome: Option<Outcome>) -> PlacementRefusal {
    match outcome {
        Some(Outcome::Refused(refusal)) => refusal,
        Some(Outcome::Placed(_)) | None => panic!("not refused"),
    }
}

/// Guards against requests to an endpoint that has asked for a pause, also such that were placed
/// before, and against an endpoint that is not used again.
#[test]
fn a_paused_endpoint_receives_nothing_until_the_end_of_its_pause() {
    let mut scheduler = scheduler_with_x();
    let effect = scheduler.record_notice(&record("x", 1), &pause(500), at(100));
    assert_eq!(effect.paused.map(|pause| pause.bounded), Some(false));
    assert!(!scheduler.may_send(&record("x", 1), at(100)));
    assert!(!scheduler.may_send(&record("x", 1), at(599)));
    let outcome = refusal(submit(&mut scheduler, 1, 599));
    assert_eq!(outcome.reason, Reason::EndpointsPaused);
    assert!(scheduler.may_send(&record("x", 1), at(600)));
    let outcome = submit(&mut scheduler, 2, 600);
    assert_eq!(placed(outcome).as_deref(), Some("x"));
}

/// Guards against a pause that a later, shorter one or one of zero ends.
#[test]
fn the_pause_that_ends_last_counts() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &pause(500), at(0));
    for shorter in [0, 100] {
        let effect = scheduler.record_notice(&record("x", 1), &pause(shorter), at(10));
        assert_eq!(effect.paused, None);
    }
    assert!(!scheduler.may_send(&record("x", 1), at(499)));
    let mut unpaused = scheduler_with_x();
    unpaused.record_notice(&record("x", 1), &pause(0), at(0));
    assert!(unpaused.may_send(&record("x", 1), at(0)));
}

/// Guards against an endpoint that is lost for ever by a pause in the wrong unit.
#[test]
fn a_pause_is_bounded() {
    let mut scheduler = scheduler_with_x();
    let endless = Notice {
        pause: Some(Duration::MAX),
        ..Notice::default()
    };
    let effect = scheduler.record_notice(&record("x", 1), &endless, at(0));
    let kept = effect.paused.expect("it is paused");
    assert!(kept.bounded);
    assert_eq!(kept.span, PAUSE_LIMIT);
    assert!(scheduler.may_send(&record("x", 1), at(0) + PAUSE_LIMIT));
}

/// Guards against a log line for every answer of an endpoint that sends dates.
#[test]
fn a_malformed_pause_is_announced_once_for_each_endpoint() {
    let mut scheduler = scheduler_with_x();
    let malformed = Notice {
        malformed: true,
        ..Notice::default()
    };
    assert!(
        scheduler
            .record_notice(&record("x", 1), &malformed, at(0))
            .malformed
    );
    assert!(
        !scheduler
            .record_notice(&record("x", 1), &malformed, at(1))
            .malformed
    );
    assert!(scheduler.may_send(&record("x", 1), at(1)));
}

/// Guards against a pause that ends with the record, and one that passes on to the next incarnation.
#[test]
fn a_pause_belongs_to_the_incarnation() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &pause(5_000), at(0));
    scheduler.mark_unlisted("x", at(10));
    scheduler.remove_expired(at(10));
    scheduler.upsert_endpoint(record("x", 1), at(20));
    assert_eq!(
        refusal(submit(&mut scheduler, 1, 30)).reason,
        Reason::EndpointsPaused
    );
    let reborn = EndpointRecord {
        started_ms: 2,
        ..record("x", 1)
    };
    scheduler.upsert_endpoint(reborn, at(40));
    assert_eq!(placed(submit(&mut scheduler, 2, 50)).as_deref(), Some("x"));
}

/// Guards against callers that return before there is a place, or all at once. Waiting callers are
/// told at once too.
#[test]
fn callers_learn_when_the_first_pause_ends() {
    let mut scheduler = scheduler(1, &[]);
    for (id, host) in [("x", 1), ("y", 2)] {
        scheduler.upsert_endpoint(record(id, host), at(0));
    }
    for ticket in 0..8 {
        assert!(placed(submit(&mut scheduler, ticket, 0)).is_some());
    }
    for ticket in 100..110 {
        assert!(submit(&mut scheduler, ticket, 0).is_none(), "it waits");
    }
    scheduler.record_notice(&record("x", 1), &pause(9_000), at(10));
    assert!(
        scheduler.process_queues(at(20)).is_empty(),
        "y may get free"
    );
    scheduler.record_notice(&record("y", 2), &pause(7_000), at(10));
    let waiting = scheduler.process_queues(at(20));
    assert_eq!(waiting.len(), 10);
    let waiting = waiting.into_iter().map(|(_, outcome)| Some(outcome));
    let arriving: Vec<_> = (200..290)
        .map(|ticket| submit(&mut scheduler, ticket, 20))
        .collect();
    let mut delays: Vec<_> = waiting
        .chain(arriving)
        .map(|outcome| {
            let refusal = refusal(outcome);
            assert_eq!(refusal.reason, Reason::EndpointsPaused);
            refusal.retry_after
        })
        .collect();
    delays.sort_unstable();
    let first = Duration::from_millis(6_990);
    let spread = Duration::from_millis(RETURN_SPREAD);
    assert!(
        first <= delays[0] && delays[99] <= first + spread,
        "{delays:?}"
    );
    assert!(delays[74] - delays[24] > spread / 4, "{delays:?}");
    assert!(
        scheduler
            .pause_delay(super::SERVICE, None, at(20))
            .is_some_and(|delay| delay >= first)
    );
}

/// Guards against entries that do not reckon with a pause that an endpoint has asked their peers for,
/// and against such that obey it: the endpoint has not asked them.
#[test]
fn a_pause_for_a_peer_is_a_cost_until_its_end() {
    let mut informed = scheduler_with_x();
    informed.record_notice(&record("x", 1), &pause(1_000), at(0));
    let mut scheduler = scheduler(2, &[1, 2]);
    for (id, host) in [("x", 1), ("y", 2)] {
        let many_slots = EndpointRecord {
            slots: 100,
            ..record(id, host)
        };
        scheduler.upsert_endpoint(many_slots, at(0));
    }
    scheduler.apply_report(address(1), informed.report(at(10)), at(10));
    assert!(scheduler.may_send(&record("x", 1), at(20)));
    assert_eq!(placed_at_x(&mut scheduler, 20), 0);
    assert!(placed_at_x(&mut scheduler, 1_100) > 0);
}

/// Slots of the endpoint whose return is replayed.
const SLOTS: usize = 8;

/// What an endpoint received of a fleet with more waiting requests than it has slots.
#[derive(Debug)]
struct Return {
    /// Requests in the first 50 ms after the pause.
    first: usize,
    /// Most running requests within a second after the pause.
    running: usize,
    /// Requests of the first second, and of the second one.
    seconds: [usize; 2],
}

/// Lets all entries of a fleet wait for an endpoint whose pause ends at the same time for all.
/// Requests run for 200 ms.
fn replay_return(count: usize, cold: Duration) -> Return {
    let mut fleet = FleetNetwork::new(count);
    fleet.run(2_000);
    fleet.add_endpoint("x", SLOTS as u32, cold);
    let now = fleet.now;
    for entry in fleet.entries.iter_mut().flatten() {
        let known = entry.endpoints().get("x").expect("listed").record().clone();
        entry.record_notice(&known, &pause(2_000), at(now));
    }
    fleet.run(2_000);
    let end = fleet.now;
    let mut sent = Vec::new();
    let mut running: Vec<(u64, usize, Run)> = Vec::new();
    let (mut ticket, mut most) = (0, 0);
    fleet.run_with(2_000, |fleet| {
        let now = fleet.now;
        for (index, entry) in fleet.entries.iter_mut().enumerate() {
            let Some(entry) = entry else { continue };
            ticket += 1;
            if let Some(placement) = place(entry, ticket, now) {
                sent.push(now - end);
                running.push((now + 200, index, placement.run));
            }
        }
        running.retain(|(done, index, run)| {
            let ended = *done <= now;
            if ended && let Some(entry) = &mut fleet.entries[*index] {
                entry.end(run, Ending::Complete, at(now));
            }
            !ended
        });
        if now < end + 1_000 {
            most = most.max(running.len());
        }
    });
    let within = |from: u64, to: u64| sent.iter().filter(|at| (from..to).contains(*at)).count();
    Return {
        first: within(0, 50),
        running: most,
        seconds: [within(0, 1_000), within(1_000, 2_000)],
    }
}

/// Guards against a herd at the end of a pause: the requests that wait at all entries would reach the
/// endpoint in one instant, and it would ask for the next pause.
#[test]
fn requests_return_by_and_by_after_a_pause() {
    for count in [3, 30, 100] {
        let found = replay_return(count, Duration::ZERO);
        assert!(found.first <= SLOTS / 2, "{count} entries: {found:?}");
        assert!(found.running <= SLOTS, "{count} entries: {found:?}");
        assert!(found.seconds[0] >= 2 * SLOTS, "{count} entries: {found:?}");
        assert!(found.seconds[1] >= 3 * SLOTS, "{count} entries: {found:?}");
    }
}

/// Guards against an endpoint that is taken for warm since it has paused.
#[test]
fn a_cold_endpoint_stays_cold_after_its_pause() {
    const CAPACITY_PER_S: usize = 38;
    for count in [3, 30, 100] {
        let found = replay_return(count, Duration::from_secs(60));
        assert!(found.first <= SLOTS / 2, "{count} entries: {found:?}");
        assert!(
            found.seconds[0] <= CAPACITY_PER_S,
            "{count} entries: {found:?}"
        );
        assert!(
            found.seconds[1] <= CAPACITY_PER_S,
            "{count} entries: {found:?}"
        );
    }
}
