//! Selection of agents for prompts that share a prefix.

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
fn reserves_only_at_the_agent_that_caches_the_prompt_at_first() {
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
fn reserves_at_other_agents_at_once_when_the_preferred_agent_is_full() {
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
fn a_longer_prompt_goes_to_the_agent_that_served_its_prefix() {
    let mut entry = entry(6);
    let (preferred, id) = reserved(&entry.handle(prompt(1, &[1, 2]), START)).remove(0);
    let reason = ReturnReason::Full;
    let returned = Event::Returned {
        id,
        endpoint: preferred.clone(),
        reason,
    };
    let (other, id) = reserved(&entry.handle(returned, START)).remove(0);
    offer(&mut entry, id, other.clone());
    let repeated = reserved(&entry.handle(prompt(2, &[1, 2, 3]), START));
    assert_eq!(repeated[0].0, other);
    assert_ne!(repeated[0].0, preferred);
}

#[test]
fn entries_choose_the_same_agent_for_an_unknown_prefix() {
    let mut entries = [entry(6), entry(6)];
    let reservations = entries
        .each_mut()
        .map(|entry| reserved(&entry.handle(prompt(1, &[7]), START)));
    assert_eq!(reservations[0][0].0, reservations[1][0].0);
}

#[test]
fn the_entry_wakes_for_a_dispatched_prompt_only_at_its_deadline() {
    let mut entry = entry(3);
    let (endpoint, id) = reserved(&entry.handle(prompt(1, &[1]), START)).remove(0);
    offer(&mut entry, id, endpoint);
    assert_eq!(entry.wake(), START + Duration::from_secs(20));
}
