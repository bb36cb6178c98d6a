//! Suspicion and quarantine of bodies that crash endpoints, and the requests that run beside them.

use std::time::Duration;

use comfreyhaven_core::agent::{self, Agent};
use comfreyhaven_core::entry::{
    Action, Ending, Entry, Event, QUARANTINE_TIME, SUSPECT_TIME, Warning,
};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_core::{BootNonce, Cost, OfferId, RequestId, Timestamp};

use crate::overload::{arrival, entry, refused, reserved};
use crate::support::{endpoint_name, fleet, reservation, reservation_id};

const START: Timestamp = Timestamp::from_millis(60_000);

/// Returns an arrival of `request` with the body of `arrival(body, 0)`.
fn arrival_with_body(request: u128, body: u128) -> Event {
    let (Event::Arrived(mut first), Event::Arrived(second)) =
        (arrival(request, 0), arrival(body, 0))
    else {
        unreachable!("an arrival")
    };
    first.body = second.body;
    Event::Arrived(first)
}

/// Submits a request and offers it a slot, so that the entry sends its body.
fn dispatch(entry: &mut Entry, request: u128, body: u128, now: Timestamp) {
    let placements = reserved(&entry.handle(arrival_with_body(request, body), now));
    let (endpoint, id) = placements[0].clone();
    let offer = OfferId {
        boot: BootNonce::new(1),
        sequence: u64::try_from(request).unwrap(),
    };
    entry.handle(
        Event::Offered {
            id,
            endpoint,
            offer,
        },
        now,
    );
}

/// Dispatches a request to the first agent that it is reserved at, and ends its run there.
fn run(
    entry: &mut Entry,
    request: u128,
    body: u128,
    ending: Ending,
    now: Timestamp,
) -> Vec<Action> {
    dispatch(entry, request, body, now);
    let request = RequestId::new(request);
    entry.handle(Event::Ended { request, ending }, now)
}

fn warnings(actions: &[Action]) -> Vec<Warning> {
    let warning = |action: &Action| match action {
        Action::Warn { warning, .. } => Some(*warning),
        _ => None,
    };
    actions.iter().filter_map(warning).collect()
}

/// Submits a request and returns whether each of its reservations must run alone.
fn reservations(entry: &mut Entry, request: u128, body: u128, now: Timestamp) -> Vec<bool> {
    let alone = |action: Action| match action {
        Action::Reserve { reservation, .. } => Some(reservation.alone),
        _ => None,
    };
    let actions = entry.handle(arrival_with_body(request, body), now);
    actions.into_iter().filter_map(alone).collect()
}

#[test]
fn all_entries_refuse_a_body_after_two_crashes_until_its_quarantine_ends() {
    let mut first = entry(3);
    let mut second = entry(3);
    let mut crash = |first: &mut Entry, request| {
        for warning in warnings(&run(first, request, 1, Ending::Failed, START)) {
            second.handle(Event::Warned(warning), START);
        }
    };
    crash(&mut first, 1);
    crash(&mut first, 2);
    for (entry, request) in [(&mut first, 3), (&mut second, 4)] {
        let refusal = refused(&entry.handle(arrival_with_body(request, 1), START));
        assert_eq!(refusal.unwrap().1, RefusalKind::Quarantined);
        let later = START + QUARANTINE_TIME;
        assert_eq!(
            refused(&entry.handle(arrival_with_body(request + 2, 1), later)),
            None
        );
    }
}

#[test]
fn requests_that_run_beside_a_crashing_body_are_never_refused() {
    let mut entry = entry(3);
    let complete = Ending::Whole { output: 1 };
    for round in 0..4 {
        run(&mut entry, 100 + round, 1, Ending::Failed, START);
        for other in 2..6 {
            run(
                &mut entry,
                1_000 * other + round,
                other,
                Ending::Failed,
                START,
            );
        }
        for other in 2..6 {
            let request = 1_000 * other + 500 + round;
            assert_eq!(reservations(&mut entry, request, other, START), [true]);
            entry.handle(Event::CallerDisconnected(RequestId::new(request)), START);
            let actions = run(&mut entry, request + 100, other, complete, START);
            assert_eq!(
                warnings(&actions).len(),
                1,
                "a complete run must clear the body on all entries"
            );
        }
        if refused(&entry.handle(arrival_with_body(200 + round, 1), START)).is_some() {
            return;
        }
        entry.handle(
            Event::CallerDisconnected(RequestId::new(200 + round)),
            START,
        );
    }
    panic!("the crashing body was never refused");
}

#[test]
fn two_runs_of_a_body_in_one_crash_count_once() {
    let mut entry = entry(3);
    for request in [1, 2] {
        dispatch(&mut entry, request, 1, START);
    }
    for request in [1, 2].map(RequestId::new) {
        let ending = Ending::Failed;
        entry.handle(Event::Ended { request, ending }, START);
    }
    assert_eq!(reservations(&mut entry, 3, 1, START), [true]);
}

#[test]
fn a_suspect_body_is_reserved_alone_at_one_agent_while_suspect() {
    let mut entry = entry(3);
    assert_eq!(reservations(&mut entry, 1, 1, START), [false; 3]);
    run(&mut entry, 2, 1, Ending::Failed, START);
    assert_eq!(reservations(&mut entry, 3, 1, START), [true]);
    assert_eq!(
        reservations(&mut entry, 4, 1, START + SUSPECT_TIME),
        [false; 3]
    );
}

#[test]
fn a_waiting_request_is_reserved_again_when_its_body_becomes_suspect() {
    let mut entry = entry(3);
    let placements = reserved(&entry.handle(arrival_with_body(1, 7), START));
    run(&mut entry, 2, 7, Ending::Failed, START);
    let (endpoint, id) = placements[0].clone();
    let offer = OfferId {
        boot: BootNonce::new(1),
        sequence: 9,
    };
    let actions = entry.handle(
        Event::Offered {
            id,
            endpoint,
            offer,
        },
        START,
    );
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::Dispatch { .. }))
    );
    assert_eq!(reserved(&actions).len(), 1);
}

/// Returns the requests that receive an offer, with their offers.
fn offers(actions: &[agent::Action]) -> Vec<(RequestId, OfferId)> {
    let offer = |action: &agent::Action| match action {
        agent::Action::Offer { id, offer, .. } => Some((id.request, *offer)),
        _ => None,
    };
    actions.iter().filter_map(offer).collect()
}

#[test]
fn an_agent_runs_a_suspect_alone() {
    let mut agent = Agent::new(endpoint_name(0), BootNonce::new(3));
    let now = START;
    agent.handle(agent::Event::Configured(fleet(1, DataCentreState::In)), now);
    agent.handle(
        agent::Event::EndpointUp {
            boot: 1,
            running: 0,
        },
        now,
    );
    let cost = Cost {
        prompt: 10,
        output: 10,
    };
    let reserve = |request, alone| {
        let mut reservation = reservation(reservation_id(request, 0), 0, 0, cost);
        reservation.alone = alone;
        agent::Event::Reserve(reservation)
    };
    let first = offers(&agent.handle(reserve(1, false), now))[0];
    let claim = |(request, offer): (RequestId, OfferId)| agent::Event::Claim { offer, request };
    agent.handle(claim(first), now);
    assert!(offers(&agent.handle(reserve(2, true), now)).is_empty());
    let end = agent::RunEnd::Whole {
        output: 1,
        prefill: 1,
    };
    let finished = |(request, _)| agent::Event::Finished { request, end };
    let later = now + Duration::from_millis(10);
    let suspect = offers(&agent.handle(finished(first), later))[0];
    assert_eq!(suspect.0, RequestId::new(2));
    assert!(offers(&agent.handle(reserve(3, false), later)).is_empty());
    agent.handle(claim(suspect), later);
    assert!(offers(&agent.handle(reserve(4, false), later)).is_empty());
    assert_eq!(offers(&agent.handle(finished(suspect), later)).len(), 2);
}

#[test]
fn nothing_runs_after_a_broken_run_until_the_endpoint_answers_a_probe() {
    let mut agent = Agent::new(endpoint_name(0), BootNonce::new(3));
    let now = START;
    let up = |boot| agent::Event::EndpointUp { boot, running: 0 };
    agent.handle(agent::Event::Configured(fleet(1, DataCentreState::In)), now);
    agent.handle(up(1), now);
    let cost = Cost {
        prompt: 10,
        output: 10,
    };
    let reserve = |request| {
        let id = reservation_id(request, 0);
        agent::Event::Reserve(reservation(id, 0, 0, cost))
    };
    let claim = |(request, offer): (RequestId, OfferId)| agent::Event::Claim { offer, request };
    let first = offers(&agent.handle(reserve(1), now))[0];
    let second = offers(&agent.handle(reserve(2), now))[0];
    agent.handle(claim(first), now);
    let broken = agent::Event::Finished {
        request: first.0,
        end: agent::RunEnd::Broken,
    };
    agent.handle(broken, now);
    let actions = agent.handle(claim(second), now);
    let rejected = |action: &agent::Action| matches!(action, agent::Action::Reject { .. });
    assert!(actions.iter().any(rejected));
    assert!(offers(&agent.handle(reserve(3), now)).is_empty());
    assert_eq!(offers(&agent.handle(up(2), now)).len(), 1);
}
