//! Where requests that share a prefix go.

use std::time::Duration;

use comfreyhaven_core::entry::{Action, Entry, Event};
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::request::PrefixDigest;
use comfreyhaven_core::{BootNonce, EndpointName, OfferId, ReservationId, Timestamp};

use crate::overload::{arrival, entry, reserved};

const START: Timestamp = Timestamp::from_millis(60_000);

fn prompt(request: u128, prefixes: &[u64]) -> Event {
    let Event::Arrived(mut arrival) = arrival(request, 0) else {
        unreachable!("an arrival")
    };
    arrival.prefixes = prefixes.iter().copied().map(PrefixDigest).collect();
    Event::Arrived(arrival)
}

fn offer(entry: &mut Entry, id: ReservationId, endpoint: EndpointName) -> Vec<Action> {
    let offer = OfferId {
        boot: BootNonce::new(1),
        sequence: id.attempt.into(),
    };
    entry.handle(
        Event::Offered {
            id,
            endpoint,
            offer,
        },
        START,
    )
}

#[test]
fn the_agent_that_caches_the_prompt_is_asked_alone_for_a_moment() {
    let mut entry = entry(6);
    let first = reserved(&entry.handle(prompt(1, &[1, 2]), START));
    assert_eq!(first.len(), 1);
    let wake = entry.wake();
    assert!(wake < START + Duration::from_secs(1));
    let more = reserved(&entry.handle(Event::Tick, wake));
    assert_eq!(more.len(), 2);
    assert!(!more.contains(&first[0]));
}

#[test]
fn a_favoured_agent_without_a_place_is_passed_over_at_once() {
    let mut entry = entry(6);
    let (endpoint, id) = reserved(&entry.handle(prompt(1, &[1]), START)).remove(0);
    let reason = ReturnReason::Full;
    let actions = entry.handle(
        Event::Returned {
            id,
            endpoint,
            reason,
        },
        START,
    );
    assert_eq!(reserved(&actions).len(), 3);
}

#[test]
fn a_longer_prefix_goes_where_it_went_before() {
    let mut entry = entry(6);
    let (favoured, id) = reserved(&entry.handle(prompt(1, &[1, 2]), START)).remove(0);
    let reason = ReturnReason::Full;
    let returned = Event::Returned {
        id,
        endpoint: favoured.clone(),
        reason,
    };
    let (other, id) = reserved(&entry.handle(returned, START)).remove(0);
    offer(&mut entry, id, other.clone());
    let again = reserved(&entry.handle(prompt(2, &[1, 2, 3]), START));
    assert_eq!(again[0].0, other);
    assert_ne!(again[0].0, favoured);
}

#[test]
fn entries_agree_on_a_prefix_that_is_new_to_them() {
    let mut entries = [entry(6), entry(6)];
    let places = entries
        .each_mut()
        .map(|entry| reserved(&entry.handle(prompt(1, &[7]), START)));
    assert_eq!(places[0][0].0, places[1][0].0);
}

#[test]
fn a_dispatched_prompt_is_looked_at_by_its_deadline_and_not_before() {
    let mut entry = entry(3);
    let (endpoint, id) = reserved(&entry.handle(prompt(1, &[1]), START)).remove(0);
    offer(&mut entry, id, endpoint);
    assert_eq!(entry.wake(), START + Duration::from_secs(20));
}
