//! Endpoints that name the requests per second that they take from all entries together.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{
    Ending, EndpointRecord, LimitNotice, Notice, Outcome, Placement, PlacementRequest, Plan,
    Reason, RequestLimit, Run, Scheduler, Ticket,
};

use super::availability::{record, scheduler_with_x, submit};
use super::fleet_network::FleetNetwork;
use super::large_fleet::place;
use super::pauses::refusal;
use super::{SERVICE, at, placed, placement_request, plan};

/// Time from the first answer with a limit until the limit is kept, in milliseconds.
const CONTACT: u64 = 3_000;

/// Time after an answer with a limit from which requests of its entry count, in milliseconds.
const TOLD: u64 = 500;

/// Length of the windows in which requests are counted, in milliseconds.
pub const WINDOW: u64 = 4_000;

/// Time that an answer takes, in milliseconds.
const ANSWER: u64 = 60;

pub fn named(per_second: f64) -> Notice {
    Notice {
        limit: LimitNotice::Named(RequestLimit::new(per_second)),
        ..Notice::default()
    }
}

/// Returns the requests that may reach an endpoint in one window.
pub fn allowed(per_second: f64) -> usize {
    (per_second * 4.0 * 1.5 + 5.0) as usize
}

/// Places a request whose prompt takes no time, if it may be sent now.
fn place_small(entry: &mut Scheduler, ticket: u64, now: u64) -> Option<Box<Placement>> {
    let request = PlacementRequest {
        prompt: 1,
        ..placement_request(ticket, 0, at(now))
    };
    match entry.submit(request, at(now)) {
        Some(Outcome::Placed(placement)) => Some(placement),
        Some(Outcome::Refused(_)) => None,
        None => {
            entry.withdraw(SERVICE, Ticket(ticket));
            None
        }
    }
}

/// Every entry of a fleet sends as many requests to the endpoint `x` as it may.
struct Replay {
    fleet: FleetNetwork,
    record: EndpointRecord,
    /// What the endpoint names in its answers.
    limit: Option<f64>,
    /// Requests that an entry sends every 10 ms at most.
    demand: usize,
    /// When the endpoint first named a limit.
    named: Option<u64>,
    /// When each entry that runs was first told of a limit.
    told: BTreeMap<usize, u64>,
    /// Requests that arrived in the last window: time and entry.
    arrived: VecDeque<(u64, usize)>,
    /// Answers under way: arrival, entry, time of the request, run.
    answers: VecDeque<(u64, usize, u64, Run)>,
    /// Entries whose requests do not count.
    excused: BTreeSet<usize>,
    ticket: u64,
    total: usize,
    /// Most requests in a window.
    busiest: usize,
}

impl Replay {
    fn new(count: usize, limit: f64) -> Self {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(2_000);
        Self {
            fleet,
            record: EndpointRecord {
                slots: 10_000,
                ..record("x", 1)
            },
            limit: Some(limit),
            demand: 1,
            named: None,
            told: BTreeMap::new(),
            arrived: VecDeque::new(),
            answers: VecDeque::new(),
            excused: BTreeSet::new(),
            ticket: 0,
            total: 0,
            busiest: 0,
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.fleet.now + millis;
        while self.fleet.now < end {
            self.fleet.run(10);
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.fleet.now;
        self.deliver(now);
        for (index, entry) in self.fleet.entries.iter_mut().enumerate() {
            let Some(entry) = entry else { continue };
            entry.upsert_endpoint(self.record.clone(), at(now));
            for _ in 0..self.demand {
                self.ticket += 1;
                if let Some(placement) = place_small(entry, self.ticket, now) {
                    self.answers
                        .push_back((now + ANSWER, index, now, placement.run));
                    self.arrived.push_back((now, index));
                    self.total += 1;
                }
            }
        }
        self.count(now);
    }

    /// Delivers the answers that have arrived.
    fn deliver(&mut self, now: u64) {
        while let Some((_, index, sent, run)) =
            self.answers.pop_front_if(|(arrival, ..)| *arrival <= now)
        {
            let Some(entry) = &mut self.fleet.entries[index] else {
                continue;
            };
            let notice = match self.limit {
                Some(limit) => named(limit),
                None => Notice {
                    limit: LimitNotice::Absent(at(sent)),
                    ..Notice::default()
                },
            };
            entry.record_notice(&self.record, &notice, at(now));
            entry.end(&run, Ending::Complete, at(now));
            if self.limit.is_some() {
                self.named.get_or_insert(now);
                self.told.entry(index).or_insert(now);
            }
        }
    }

    fn count(&mut self, now: u64) {
        while self
            .arrived
            .pop_front_if(|(time, _)| *time + WINDOW <= now)
            .is_some()
        {}
        if self.named.is_none_or(|named| now < named + CONTACT) {
            return;
        }
        let counts = |(time, index): &&(u64, usize)| {
            let told = self.told.get(index);
            told.is_some_and(|told| told + TOLD <= *time) && !self.excused.contains(index)
        };
        self.busiest = self.busiest.max(self.arrived.iter().filter(counts).count());
    }

    /// Ends an entry's process, which starts again `after` milliseconds later, if at all.
    fn kill(&mut self, index: usize, after: Option<u64>) {
        self.fleet.kill(index);
        self.told.remove(&index);
        self.answers.retain(|(_, entry, ..)| *entry != index);
        if let Some(after) = after {
            self.fleet.start(index, after);
        }
    }

    /// Returns the requests that arrive within `millis`.
    fn arrivals(&mut self, millis: u64) -> usize {
        let before = self.total;
        self.run(millis);
        self.total - before
    }
}

/// Guards against an endpoint that gets more than it has named, since entries do not know of the
/// limit, or each keeps it alone: the sum over all of them counts, also while entries end, start and
/// are cut off from each other.
#[test]
fn no_fleet_exceeds_the_limit_that_an_endpoint_names() {
    for (limit, counts) in [
        (0.5, &[1, 3, 30][..]),
        (2.5, &[1, 3, 30, 100, 300]),
        (20.0, &[3, 100]),
    ] {
        for &count in counts {
            let mut replay = Replay::new(count, limit);
            replay.run(6_000);
            for index in (0..count).filter(|index| index % 3 == 0) {
                replay.kill(index, Some(400));
            }
            replay.run(5_000);
            for index in (0..count).filter(|index| index % 2 == 0) {
                replay.fleet.groups[index] = 1;
            }
            replay.run(5_000);
            replay.fleet.groups.fill(0);
            let served = replay.arrivals(10_000);
            assert!(
                replay.busiest <= allowed(limit),
                "{count} entries sent {} requests in 4 s to an endpoint that takes {limit}",
                replay.busiest
            );
            let expected = (limit * 10.0 * 0.7) as usize;
            assert!(
                served >= expected,
                "{count} entries sent only {served} requests in 10 s to an endpoint that takes {limit}"
            );
        }
    }
}

/// Guards against entries that go on as before until the endpoint itself has told them.
#[test]
fn entries_keep_a_limit_that_a_peer_was_told() {
    for count in [3, 30, 100] {
        let mut replay = Replay::new(count, 2.5);
        replay.demand = 0;
        replay.run(100);
        let now = at(replay.fleet.now);
        let told = replay.fleet.entries[0].as_mut().expect("it runs");
        told.record_notice(&replay.record.clone(), &named(2.5), now);
        replay.run(1_200);
        replay.demand = 1;
        replay.limit = Some(2.5);
        let arrived = replay.arrivals(4_000);
        assert!(
            arrived <= allowed(2.5),
            "{count} entries sent {arrived} requests in 4 s"
        );
    }
}

/// Guards against entries that keep a limit for ever: those that may send nothing to the endpoint
/// learn of its end from their peers.
#[test]
fn the_end_of_a_limit_reaches_every_entry() {
    for count in [1, 3, 30, 100, 300] {
        let mut replay = Replay::new(count, 2.5);
        replay.limit = None;
        replay.run(1_000);
        let usual = replay.arrivals(1_000);
        replay.limit = Some(2.5);
        replay.run(4_000);
        replay.limit = None;
        replay.run(6_000);
        let now = at(replay.fleet.now);
        let limited = replay.fleet.running();
        let limited =
            limited.filter(|(_, entry)| entry.request_limit(&replay.record, now).is_some());
        let limited = limited.count();
        assert_eq!(limited, 0, "entries of {count} that keep the limit");
        let arrived = replay.arrivals(1_000);
        assert!(
            arrived * 10 >= usual * 9,
            "{count} entries sent {arrived} requests, {usual} before the limit"
        );
    }
}

/// Returns the requests that one entry sends to a limited endpoint in each of ten seconds.
fn sends_by_second(scheduler: &mut Scheduler, record: &EndpointRecord) -> Vec<usize> {
    let mut counts = vec![0; 10];
    for step in 0..1_000 {
        let now = 1_000 + step * 10;
        if let Some(placement) = place(scheduler, step, now) {
            scheduler.record_notice(record, &named(4.0), at(now));
            scheduler.end(&placement.run, Ending::Complete, at(now));
            counts[step as usize / 100] += 1;
        }
    }
    counts
}

/// Guards against spending the requests of four seconds in one instant: the endpoint named what it
/// takes in a second.
#[test]
fn requests_to_a_limited_endpoint_are_spread_over_its_window() {
    let mut scheduler = scheduler_with_x();
    let known = record("x", 1);
    scheduler.record_notice(&known, &named(4.0), at(0));
    let counts = sends_by_second(&mut scheduler, &known);
    assert!(counts.iter().all(|count| *count <= 9), "{counts:?}");
    assert!(counts.iter().sum::<usize>() >= 36, "{counts:?}");
}

/// Guards against an endpoint that is never asked again once it has named a limit of zero, and
/// against one that gets more than a request now and then.
#[test]
fn an_endpoint_that_takes_nothing_is_asked_now_and_then() {
    let mut replay = Replay::new(3, 0.0);
    replay.run(6_000);
    let arrived = replay.arrivals(120_000);
    assert!((2..=10).contains(&arrived), "{arrived} requests in 120 s");
}

/// Guards against a limit that passes on to the next incarnation, and one that ends with the record.
#[test]
fn a_limit_belongs_to_the_incarnation() {
    let mut scheduler = scheduler_with_x();
    let known = record("x", 1);
    scheduler.record_notice(&known, &named(2.5), at(0));
    scheduler.mark_unlisted("x", at(10));
    scheduler.remove_expired(at(10));
    scheduler.upsert_endpoint(known.clone(), at(20));
    assert_eq!(
        scheduler.request_limit(&known, at(150)),
        Some(RequestLimit::new(2.5))
    );
    let reborn = EndpointRecord {
        started_ms: 2,
        ..known
    };
    scheduler.upsert_endpoint(reborn.clone(), at(40));
    assert_eq!(scheduler.request_limit(&reborn, at(150)), None);
}

/// Guards against the end of a limit by an answer that was made before the limit was named and
/// arrived later.
#[test]
fn an_answer_that_was_overtaken_does_not_end_a_limit() {
    let mut scheduler = scheduler_with_x();
    let known = record("x", 1);
    let absent = |sent| Notice {
        limit: LimitNotice::Absent(at(sent)),
        ..Notice::default()
    };
    scheduler.record_notice(&known, &named(2.5), at(100));
    scheduler.record_notice(&known, &absent(90), at(110));
    assert_eq!(
        scheduler.request_limit(&known, at(150)),
        Some(RequestLimit::new(2.5))
    );
    scheduler.record_notice(&known, &absent(100), at(150));
    assert_eq!(scheduler.request_limit(&known, at(150)), None);
}

/// Guards against calls for a reservation at an endpoint that counts them as requests.
#[test]
fn a_limited_endpoint_is_not_asked_for_a_reservation() {
    for limit in [None, Some(20.0)] {
        let mut scheduler = scheduler_with_x();
        let mut reserving = Plan::clone(&plan(2));
        let service = reserving.services.get_mut(SERVICE).expect("it is planned");
        service.reservation = Duration::from_secs(2);
        scheduler.configure(Arc::new(reserving), at(0));
        if let Some(limit) = limit {
            scheduler.record_notice(&record("x", 1), &named(limit), at(0));
        }
        let placements: Vec<_> = (0..4)
            .filter_map(|ticket| place(&mut scheduler, ticket, 100 * (ticket + 1)))
            .collect();
        let asked = placements
            .iter()
            .filter(|placed| !placed.reservation.is_zero());
        let expected = if limit.is_none() { 2 } else { 0 };
        assert_eq!(
            (placements.len(), asked.count()),
            (4, expected),
            "{limit:?}"
        );
    }
}

/// Guards against callers that wait for an endpoint which takes their request too late: they are
/// told at once when there is a place, or to look elsewhere where this entry has no part.
#[test]
fn callers_learn_when_a_limited_endpoint_takes_them() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &named(0.2), at(0));
    assert!(place(&mut scheduler, 1, 10).is_some());
    let first_place = Duration::from_millis(7_980);
    for ticket in 2..20 {
        let refusal = refusal(submit(&mut scheduler, ticket, 20));
        assert_eq!(refusal.reason, Reason::EndpointsLimited);
        assert!(refusal.retry_after >= first_place, "{refusal:?}");
    }
    scheduler.upsert_endpoint(record("y", 2), at(20));
    let outcome = submit(&mut scheduler, 20, 30);
    assert_eq!(placed(outcome).as_deref(), Some("y"));
}

/// Guards against refusing callers for whom there is a place in time.
#[test]
fn callers_wait_for_a_limited_endpoint_that_takes_them_in_time() {
    let mut scheduler = scheduler_with_x();
    scheduler.record_notice(&record("x", 1), &named(2.0), at(0));
    assert!(place(&mut scheduler, 1, 10).is_some());
    assert!(submit(&mut scheduler, 2, 20).is_none(), "it waits");
    assert_eq!(scheduler.process_queues(at(250)).len(), 0);
    let outcomes = scheduler.process_queues(at(260));
    assert!(
        matches!(outcomes[..], [(Ticket(2), Outcome::Placed(_))]),
        "{outcomes:?}"
    );
}
