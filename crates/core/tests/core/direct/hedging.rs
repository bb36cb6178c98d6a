//! Hedges: when a request goes to a second endpoint, which one, and how many do.
//!
//! The loads are those at which hedges must stop (waiting requests, few free slots) and, for the limit,
//! a fleet all of whose answers are late.

use std::time::Duration;

use comfreyhaven_core::direct::{
    Ending, EndpointRecord, LimitNotice, Notice, Placement, Policies, RequestLimit, Scheduler,
    ServiceLoad, TimeHistogram, WaitEnd, Withheld, digest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::availability::record;
use super::fleet_network::FleetNetwork;
use super::large_fleet::place;
use super::{SERVICE, address, at, placement_request, scheduler};

const ROUTE: &str = "look";
const PART: f64 = 0.03;

/// Usual time of an answer, in milliseconds.
const USUAL: u64 = 50;

fn hedging_scheduler(part: f64) -> Scheduler {
    let policies = Policies {
        hedge_part: part,
        ..Policies::default()
    };
    let mut scheduler = scheduler(1, &[]).with_policies(policies);
    for (id, host, centre) in [("x", 1, "a"), ("y", 2, "a"), ("z", 3, "b")] {
        let centre = centre.into();
        let record = EndpointRecord {
            centre,
            ..record(id, host)
        };
        scheduler.upsert_endpoint(record, at(0));
    }
    scheduler
}

/// Lets requests be answered after [`USUAL`]. Returns the time after them.
fn answer(entry: &mut Scheduler, count: u64, from: u64) -> u64 {
    for number in 0..count {
        let sent = from + number;
        entry.count_request(&SERVICE.into(), at(sent));
        let placement = place(entry, number, sent).expect("there is no slot");
        let answered = at(sent + USUAL);
        entry.record_wait(ROUTE, &placement.run, WaitEnd::Answered, answered);
        entry.end(&placement.run, Ending::Complete, answered);
    }
    from + count + USUAL
}

fn hedge(entry: &mut Scheduler, first: &str, now: u64) -> Result<Box<Placement>, Withheld> {
    let request = placement_request(9_999, 0, at(now));
    let first = entry.endpoints().get(first).expect("it is unknown");
    let first = first.record().clone();
    entry.place_hedge(&request, &first, at(now))
}

fn hedge_cause(entry: &mut Scheduler, now: u64) -> Option<Withheld> {
    hedge(entry, "x", now).err()
}

#[test]
fn a_hedge_is_sent_after_the_usual_time_once_enough_answers_are_known() {
    let mut entry = hedging_scheduler(PART);
    let now = answer(&mut entry, 39, 0);
    assert_eq!(entry.hedge_delay(ROUTE, 1_000, at(now)), None);
    let now = answer(&mut entry, 40, now + 1_000);
    let delay = entry.hedge_delay(ROUTE, 1_000, at(now));
    let delay = delay.expect("nothing was learned").as_millis() as u64;
    assert!((USUAL..=USUAL * 6 / 5).contains(&delay), "{delay} ms");
    assert_eq!(entry.hedge_delay(ROUTE, 100_000, at(now)), None);
    assert_eq!(entry.hedge_delay(ROUTE, 1_000, at(now + 40_000)), None);
}

#[test]
fn nothing_is_learned_reported_or_sent_without_a_limit() {
    let mut entry = hedging_scheduler(0.0);
    let now = answer(&mut entry, 100, 0);
    assert_eq!(entry.hedge_delay(ROUTE, 1_000, at(now)), None);
    assert_eq!(hedge_cause(&mut entry, now), Some(Withheld::Limit));
    let reports = (0..30).map(|step| entry.report(at(now + step * 40)));
    assert!(
        reports
            .into_iter()
            .all(|report| report.answer_times.is_empty())
    );
}

/// Guards against hedges for answers that are late already when the operators turn hedges off.
#[test]
fn a_change_of_the_limit_discards_what_was_saved() {
    let mut entry = hedging_scheduler(1.0);
    let now = answer(&mut entry, 60, 0);
    hedge(&mut entry, "x", now).expect("it was withheld");
    entry.set_hedge_part(0.0);
    assert_eq!(hedge_cause(&mut entry, now), Some(Withheld::Limit));
}

/// Guards against a percentile of the fast answers only: those that were cancelled are the slow ones.
#[test]
fn a_cancelled_answer_counts_as_later_than_the_time_waited() {
    let mut times = TimeHistogram::default();
    for number in 0..100 {
        match number % 5 {
            0 => times.record(Duration::from_millis(200), WaitEnd::Cancelled),
            _ => times.record(Duration::from_millis(USUAL), WaitEnd::Answered),
        }
    }
    let percentile = |part| times.percentile(part).expect("there are times").as_millis();
    assert!(percentile(0.75) < 60);
    assert!(percentile(0.9) >= 200);
}

/// Guards against an endpoint that looks fast since all its slow answers are cancelled, and against one
/// that looks slow since hedges to it are cancelled early.
#[test]
fn a_cancelled_run_teaches_only_what_it_shows() {
    for (waited, rises) in [(5, false), (4_000, true)] {
        let mut entry = hedging_scheduler(PART);
        let now = answer(&mut entry, 50, 0);
        let placement = place(&mut entry, 1, now).expect("there is no slot");
        let id = placement.record.id.clone();
        let estimate = |entry: &Scheduler| {
            let state = entry.endpoints().get(&id).expect("it is unknown");
            state.latency().estimate(1_000.0)
        };
        let before = estimate(&entry);
        let end = at(now + waited);
        entry.record_wait(ROUTE, &placement.run, WaitEnd::Cancelled, end);
        entry.end(&placement.run, Ending::Cancelled, end);
        assert_eq!(estimate(&entry) > before, rises, "after {waited} ms");
        assert!(estimate(&entry) >= before);
    }
}

#[test]
fn the_second_endpoint_is_in_another_data_centre_where_that_costs_nothing() {
    let mut entry = hedging_scheduler(1.0);
    let now = answer(&mut entry, 60, 0);
    let second = hedge(&mut entry, "z", now).expect("it was withheld");
    assert_eq!(&*second.record.centre, "a");
    assert_ne!(
        hedge(&mut entry, "x", now)
            .expect("it was withheld")
            .record
            .id,
        "x".into()
    );
}

#[test]
fn nothing_is_sent_while_requests_wait_or_few_slots_are_free() {
    let mut entry = hedging_scheduler(1.0);
    let now = answer(&mut entry, 60, 0);
    let mut report = scheduler(2, &[]).report(at(now));
    report.services = vec![ServiceLoad {
        service: digest(SERVICE),
        waiting: 1,
        ..ServiceLoad::default()
    }];
    entry.apply_report(address(2), report.clone(), at(now));
    assert_eq!(hedge_cause(&mut entry, now), Some(Withheld::Overload));
    (report.sent, report.services) = (report.sent + 1, Vec::new());
    entry.apply_report(address(2), report, at(now));
    assert_eq!(hedge_cause(&mut entry, now), None);
    // Nine of twelve slots are in use then, the first hedge among them.
    for ticket in 0..8 {
        place(&mut entry, ticket, now).expect("there is no slot");
    }
    assert_eq!(hedge_cause(&mut entry, now), None);
    assert_eq!(hedge_cause(&mut entry, now), Some(Withheld::Overload));
}

#[test]
fn an_endpoint_that_others_should_not_use_gets_no_hedge() {
    type Change = fn(&mut Scheduler, &EndpointRecord, u64);
    let notice = |entry: &mut Scheduler, record: &EndpointRecord, notice: Notice, now: u64| {
        entry.record_notice(record, &notice, at(now));
    };
    let changes: [(&str, Change); 6] = [
        ("leaving", |entry, record, now| {
            let leaving = true;
            let sequence = 2;
            let record = EndpointRecord {
                leaving,
                sequence,
                ..record.clone()
            };
            entry.upsert_endpoint(record, at(now));
        }),
        ("cold", |entry, record, now| {
            let cold = Duration::from_secs(3);
            let sequence = 2;
            let record = EndpointRecord {
                cold,
                sequence,
                ..record.clone()
            };
            entry.upsert_endpoint(record, at(now));
        }),
        ("unlisted", |entry, record, now| {
            entry.mark_unlisted(&record.id, at(now + 1_000));
        }),
        ("leaving by its word", |_, _, _| {}),
        ("paused", |_, _, _| {}),
        ("limited", |_, _, _| {}),
    ];
    for (name, change) in changes {
        let mut entry = hedging_scheduler(1.0);
        let now = answer(&mut entry, 60, 0);
        for id in ["y", "z"] {
            let state = entry.endpoints().get(id).expect("it is unknown");
            let record = state.record().clone();
            change(&mut entry, &record, now);
            let said = match name {
                "leaving by its word" => Notice {
                    leaving: true,
                    ..Notice::default()
                },
                "paused" => Notice {
                    pause: Some(Duration::from_secs(1)),
                    ..Notice::default()
                },
                "limited" => Notice {
                    limit: LimitNotice::Named(RequestLimit::new(100.0)),
                    ..Notice::default()
                },
                _ => continue,
            };
            notice(&mut entry, &record, said, now);
        }
        assert_eq!(
            hedge_cause(&mut entry, now),
            Some(Withheld::NoEndpoint),
            "{name}"
        );
    }
}

#[test]
fn a_slow_endpoint_is_neither_avoided_nor_counted_as_failing() {
    let mut entry = hedging_scheduler(1.0);
    let now = answer(&mut entry, 60, 0);
    hedge(&mut entry, "x", now).expect("it was withheld");
    let first = entry.endpoints().get("x").expect("it is unknown");
    assert!(!first.is_avoided(at(now)));
    assert!(first.failure_rate(at(now)) <= 0.0);
}

/// Guards against hedges that use up the retries which failures need.
#[test]
fn hedges_leave_half_of_the_retry_budget_to_failures() {
    let mut entry = hedging_scheduler(1.0);
    let mut now = answer(&mut entry, 200, 0);
    let mut hedges = 0;
    let cause = loop {
        entry.count_request(&SERVICE.into(), at(now));
        match hedge(&mut entry, "x", now) {
            Ok(placement) => entry.end(&placement.run, Ending::Cancelled, at(now)),
            Err(cause) => break cause,
        }
        hedges += 1;
        now += 1;
    };
    assert_eq!(cause, Withheld::Budget);
    let retries = (0..1_000).filter(|_| entry.take_retry(&SERVICE.into(), at(now)));
    assert!(retries.count() >= hedges, "{hedges} hedges");
}

/// Sends requests to random entries of a fleet, all of which want a hedge, while a third of the entries
/// is killed and started again and the fleet is cut in halves. Returns the requests and hedges.
fn replay_limit(count: usize) -> (u32, u32) {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut fleet = FleetNetwork::new(count);
    fleet.run(1_000);
    let (mut requests, mut hedges) = (0, 0);
    for second in 0..10 {
        match second {
            3 => (0..count).step_by(3).for_each(|index| fleet.kill(index)),
            4 => (0..count)
                .step_by(3)
                .for_each(|index| fleet.start(index, 0)),
            6 => fleet.groups = (0..count).map(|index| (index % 2) as u8).collect(),
            8 => fleet.groups.fill(0),
            _ => {}
        }
        fleet.run(10);
        for id in ["x", "y"] {
            fleet.add_endpoint(id, 1_000, Duration::ZERO);
        }
        fleet.run_with(990, |fleet| {
            let now = fleet.now;
            for _ in 0..30 {
                let index = random.random_range(0..count);
                let Some(entry) = &mut fleet.entries[index] else {
                    continue;
                };
                entry.set_hedge_part(PART);
                entry.count_request(&SERVICE.into(), at(now));
                requests += 1;
                if let Ok(placement) = hedge(entry, "x", now) {
                    entry.end(&placement.run, Ending::Cancelled, at(now));
                    hedges += 1;
                }
            }
        });
    }
    (requests, hedges)
}

#[test]
fn the_fleet_stays_within_the_operators_limit_through_kills_and_cuts() {
    for count in [1, 3, 30, 100, 300] {
        let (requests, hedges) = replay_limit(count);
        let allowed = PART * f64::from(requests);
        let hedges = f64::from(hedges);
        assert!(hedges <= allowed, "{count} entries: {hedges} of {allowed}");
        assert!(
            hedges >= 0.5 * allowed,
            "{count} entries: {hedges} of {allowed}"
        );
    }
}

/// Guards against a large fleet that never learns, as each of its entries has few requests.
#[test]
fn entries_learn_from_each_other_and_forget_those_that_are_cut_off() {
    for count in [3, 30, 100] {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(2_000);
        fleet.add_endpoint("x", 1_000, Duration::ZERO);
        let now = fleet.now;
        let each = 90_u64.div_ceil(count as u64);
        for entry in fleet.entries.iter_mut().flatten().skip(1) {
            entry.set_hedge_part(PART);
            answer(entry, each, now);
        }
        let learned = |fleet: &mut FleetNetwork| {
            let now = at(fleet.now);
            let entry = fleet.entries[0].as_mut().expect("it was killed");
            entry.set_hedge_part(PART);
            entry.hedge_delay(ROUTE, 1_000, now)
        };
        learned(&mut fleet);
        fleet.run(3_000);
        let delay = learned(&mut fleet)
            .expect("nothing was learned")
            .as_millis();
        assert!((50..=60).contains(&delay), "{count} entries: {delay} ms");
        fleet.groups[0] = 1;
        fleet.run(11_000);
        assert_eq!(learned(&mut fleet), None, "{count} entries");
    }
}
