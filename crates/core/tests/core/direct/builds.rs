//! Streams that have begun go on at endpoints of their build only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{
    Ending, EndpointRecord, Notice, Outcome, PlacementRequest, Reason, Run, Scheduler,
};

use super::{SERVICE, at, endpoint_record, placed, placement_request, scheduler};

/// Lists an endpoint of a build, at an address of its own.
fn list(scheduler: &mut Scheduler, number: u8, build: &str, slots: u32) {
    let record = EndpointRecord {
        address: SocketAddr::from(([10, 1, 0, number], 80)),
        build: build.into(),
        ..endpoint_record(&format!("{build}-{number}"), slots)
    };
    scheduler.upsert_endpoint(record, at(0));
}

fn going_on(ticket: u64, build: &str) -> PlacementRequest {
    PlacementRequest {
        build: Some(build.into()),
        ..placement_request(ticket, 0, at(0))
    }
}

/// Streams were resumed at the endpoint with the least expected time, of any build.
#[test]
fn a_stream_goes_on_at_its_build_only() {
    let mut scheduler = scheduler(1, &[]);
    list(&mut scheduler, 1, "v1", 40);
    list(&mut scheduler, 2, "v2", 40);
    for ticket in 0..20 {
        let build = if ticket % 2 == 0 { "v1" } else { "v2" };
        let endpoint = placed(scheduler.submit(going_on(ticket, build), at(0)));
        assert!(endpoint.is_some_and(|endpoint| endpoint.starts_with(build)));
    }
}

/// A stream was moved although nothing of its build served.
#[test]
fn a_stream_without_an_endpoint_of_its_build_is_refused() {
    let mut scheduler = scheduler(1, &[]);
    list(&mut scheduler, 1, "v1", 4);
    let outcome = scheduler.submit(going_on(1, "v2"), at(0));
    assert!(
        matches!(outcome, Some(Outcome::Refused(refusal)) if refusal.reason == Reason::NoEndpoint)
    );
    let service = Arc::from(SERVICE);
    assert!(!scheduler.may_retry(&service, Some("v2"), &[], true, at(0)));
    assert!(scheduler.may_retry(&service, Some("v1"), &[], true, at(0)));
}

/// Guards against a refusal that does not tell when a stream may go on: all endpoints of its build have
/// asked for a pause, while others of the service take requests.
#[test]
fn a_stream_whose_build_pauses_is_told_when_it_may_go_on() {
    let mut scheduler = scheduler(1, &[]);
    list(&mut scheduler, 1, "v1", 4);
    list(&mut scheduler, 2, "v2", 4);
    let paused = scheduler.endpoints().get("v1-1").expect("it is listed");
    let paused = paused.record().clone();
    let pause = Notice {
        pause: Some(Duration::from_secs(9)),
        ..Notice::default()
    };
    scheduler.record_notice(&paused, &pause, at(0));
    let Some(Outcome::Refused(refusal)) = scheduler.submit(going_on(1, "v1"), at(0)) else {
        panic!("not refused");
    };
    assert_eq!(refusal.reason, Reason::EndpointsPaused);
    assert!(refusal.retry_after >= Duration::from_secs(9), "{refusal:?}");
    let delay = scheduler.pause_delay(SERVICE, Some("v1"), at(0));
    assert!(delay.is_some_and(|delay| delay >= Duration::from_secs(9)));
    assert_eq!(scheduler.pause_delay(SERVICE, Some("v2"), at(0)), None);
    assert_eq!(scheduler.pause_delay(SERVICE, None, at(0)), None);
}

/// One stream that waited for a full build kept all other requests of the service waiting.
#[test]
fn a_stream_that_waits_for_its_build_keeps_no_other_request_waiting() {
    let mut scheduler = scheduler(1, &[]);
    list(&mut scheduler, 1, "v1", 1);
    list(&mut scheduler, 2, "v2", 4);
    let Some(Outcome::Placed(running)) = scheduler.submit(going_on(1, "v1"), at(0)) else {
        panic!("the first stream is not placed");
    };
    assert!(scheduler.submit(going_on(2, "v1"), at(1)).is_none());
    let begins = scheduler.submit(placement_request(3, 0, at(2)), at(2));
    assert_eq!(placed(begins).as_deref(), Some("v2-2"));
    assert!(placed(scheduler.submit(going_on(4, "v2"), at(3))).is_some());
    assert!(scheduler.process_queues(at(4)).is_empty());
    scheduler.end(&running.run, Ending::Complete, at(5));
    let outcomes = scheduler.process_queues(at(5));
    assert_eq!(outcomes.len(), 1);
    let (_, outcome) = outcomes.into_iter().next().expect("there is no outcome");
    assert_eq!(placed(Some(outcome)).as_deref(), Some("v1-1"));
}

/// An endpoint that started again under its id with another build kept the state of the older one.
#[test]
fn an_endpoint_that_returns_with_another_build_is_another_incarnation() {
    let mut scheduler = scheduler(1, &[]);
    list(&mut scheduler, 1, "v1", 1);
    assert!(placed(scheduler.submit(going_on(1, "v1"), at(0))).is_some());
    let again = EndpointRecord {
        id: "v1-1".into(),
        build: "v2".into(),
        sequence: 0,
        ..endpoint_record("v1-1", 1)
    };
    scheduler.upsert_endpoint(again, at(1));
    let outcome = scheduler.submit(going_on(2, "v1"), at(2));
    assert!(matches!(outcome, Some(Outcome::Refused(_))));
    assert!(placed(scheduler.submit(going_on(3, "v2"), at(2))).is_some());
}

/// Time for which each request occupies its slot, in milliseconds.
const RUN_TIME: u64 = 400;

/// Requests served and decided of one kind.
#[derive(Debug, Default)]
struct Share {
    served: u32,
    decided: u32,
}

impl Share {
    fn count(&mut self, outcome: &Outcome) {
        self.decided += 1;
        self.served += u32::from(matches!(outcome, Outcome::Placed(_)));
    }
}

/// Streams that callers took up found no slot at the few endpoints of their build, while new
/// streams used all endpoints. Two endpoints of each build, and half more requests than slots.
#[test]
fn streams_taken_up_go_on_at_least_half_as_often_as_new_ones_begin() {
    let mut scheduler = scheduler(1, &[]);
    for (number, build) in ["v1", "v2", "v1", "v2"].into_iter().enumerate() {
        list(&mut scheduler, number as u8, build, 4);
    }
    let (mut begun, mut taken_up) = (Share::default(), Share::default());
    let mut running: Vec<(u64, Run)> = Vec::new();
    let mut ticket = 0;
    for millis in 0..20_000_u64 {
        let now = at(millis);
        let mut decided = Vec::new();
        while let Some(index) = running.iter().position(|(end, _)| *end <= millis) {
            scheduler.end(&running.swap_remove(index).1, Ending::Complete, now);
        }
        for (waited, outcome) in scheduler.process_queues(now) {
            decided.push((waited.0, outcome));
        }
        // 60 requests a second for 40 that the slots can run; one in four takes a stream up.
        if millis % 50 % 17 == 0 {
            ticket += 1;
            let mut request = placement_request(ticket, 1, now);
            request.build = (ticket % 4 == 0).then(|| "v1".into());
            if let Some(outcome) = scheduler.submit(request, now) {
                decided.push((ticket, outcome));
            }
        }
        for (number, outcome) in decided {
            let share = if number % 4 == 0 {
                &mut taken_up
            } else {
                &mut begun
            };
            share.count(&outcome);
            if let Outcome::Placed(placement) = outcome {
                running.push((millis + RUN_TIME, placement.run));
            }
        }
    }
    let part = |share: &Share| f64::from(share.served) / f64::from(share.decided);
    assert!(begun.served < begun.decided, "no overload: {begun:?}");
    assert!(
        part(&taken_up) >= part(&begun) / 2.0,
        "{taken_up:?} of {begun:?}"
    );
}
