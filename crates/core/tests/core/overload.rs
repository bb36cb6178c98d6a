//! Refusals of an entry under overload.

use std::time::Duration;

use comfreyhaven_core::entry::{Action, Arrival, Entry, Event, LoanRequest};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::{RefusalKind, ReturnReason};
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{BootNonce, Cost, EndpointName, RequestId, ReservationId, Timestamp};

use crate::support::{fleet, host_name, key, route_name};

const START: Timestamp = Timestamp::from_millis(60_000);

/// Creates an entry with full shares whose peer has confirmed the list of hosts.
pub fn entry(endpoints: usize) -> Entry {
    let fleet = fleet(endpoints, DataCentreState::In);
    let mut entries = [0, 1].map(|index| {
        let mut entry = Entry::new(host_name(index), BootNonce::new(7), index as u64);
        let actions = entry.handle(Event::Configured(fleet.clone()), Timestamp::ZERO);
        (entry, actions)
    });
    for action in std::mem::take(&mut entries[0].1) {
        let Action::Borrow(request) = action else {
            continue;
        };
        let received = LoanRequest {
            peer: host_name(0),
            ..(*request).clone()
        };
        let received = Event::LoanRequested(Box::new(received));
        for action in entries[1].0.handle(received, Timestamp::ZERO) {
            let Action::Lend(loan) = action else { continue };
            let request = request.clone();
            let answer = Event::LoanAnswered {
                request,
                loan: Some(loan),
            };
            entries[0].0.handle(answer, Timestamp::ZERO);
        }
    }
    let [(entry, _), _] = entries;
    entry
}

pub fn arrival(request: u128, tier: u8) -> Event {
    Event::Arrived(Box::new(Arrival {
        id: RequestId::new(request),
        key: Some(key(0)),
        route: route_name(tier),
        cost: Cost {
            prompt: 10,
            output: 10,
        },
        prefixes: Vec::new(),
        body: BodyDigest(u64::try_from(request).unwrap()),
        call: None,
    }))
}

/// Returns the reservations in `actions`, with their endpoints.
pub fn reserved(actions: &[Action]) -> Vec<(EndpointName, ReservationId)> {
    let reserve = |action: &Action| match action {
        Action::Reserve {
            endpoint,
            reservation,
        } => Some((endpoint.clone(), reservation.id)),
        _ => None,
    };
    actions.iter().filter_map(reserve).collect()
}

pub fn refused(actions: &[Action]) -> Option<(RequestId, RefusalKind)> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { request, refusal } => Some((*request, refusal.kind())),
        _ => None,
    })
}

/// Returns reservations until the entry makes no more: the first `displaced` of them as displaced
/// and the others as full. Gives the number of returned reservations and the remaining actions.
fn return_all(
    entry: &mut Entry,
    mut actions: Vec<Action>,
    displaced: usize,
) -> (usize, Vec<Action>) {
    let mut returned = 0;
    loop {
        let Some((endpoint, id)) = reserved(&actions).first().cloned() else {
            return (returned, actions);
        };
        let rest: Vec<_> = actions.into_iter().skip(1).collect();
        let reason = if returned < displaced {
            ReturnReason::Displaced
        } else {
            ReturnReason::Full
        };
        returned += 1;
        actions = rest;
        actions.extend(entry.handle(
            Event::Returned {
                id,
                endpoint,
                reason,
            },
            START,
        ));
    }
}

#[test]
fn a_request_is_refused_only_after_every_agent_is_full() {
    let mut entry = entry(7);
    let actions = entry.handle(arrival(1, 2), START);
    let (returned, actions) = return_all(&mut entry, actions, 0);
    assert_eq!(returned, 7);
    assert_eq!(refused(&actions).unwrap().1, RefusalKind::Overloaded);
    assert!(entry.is_idle());
}

#[test]
fn a_displaced_request_is_reserved_at_every_agent_again() {
    let mut entry = entry(5);
    let actions = entry.handle(arrival(1, 1), START);
    let (returned, actions) = return_all(&mut entry, actions, 1);
    assert_eq!(returned, 10);
    assert_eq!(refused(&actions).unwrap().1, RefusalKind::Overloaded);
}

#[test]
fn a_request_that_is_displaced_every_time_is_refused() {
    let mut entry = entry(3);
    let actions = entry.handle(arrival(1, 1), START);
    let (returned, actions) = return_all(&mut entry, actions, usize::MAX);
    assert!(returned <= 4 * 3, "{returned} reservations");
    assert!(refused(&actions).is_some());
}

#[test]
fn a_full_entry_refuses_the_newest_request_of_its_lowest_tier() {
    let mut entry = entry(3);
    let mut refusal = None;
    let mut last = 0;
    while refusal.is_none() {
        last += 1;
        refusal = refused(&entry.handle(arrival(last, 1), START));
    }
    assert_eq!(
        refusal,
        Some((RequestId::new(last), RefusalKind::Overloaded))
    );
    let actions = entry.handle(arrival(last + 1, 0), START);
    assert_eq!(refused(&actions).unwrap().0, RequestId::new(last - 1));
    assert_eq!(reserved(&actions).len(), 3);
}

#[test]
fn the_retry_time_of_a_refusal_follows_the_waits_of_other_requests() {
    let mut entry = entry(1);
    let offered = |entry: &mut Entry, request, wait| {
        let reservations = reserved(&entry.handle(arrival(request, 0), START));
        let (endpoint, id) = reservations[0].clone();
        let offer = comfreyhaven_core::OfferId {
            boot: BootNonce::new(1),
            sequence: 0,
        };
        entry.handle(
            Event::Offered {
                id,
                endpoint,
                offer,
            },
            START + wait,
        );
    };
    offered(&mut entry, 1, Duration::from_secs(4));
    let actions = entry.handle(arrival(2, 0), START);
    let (_, actions) = return_all(&mut entry, actions, 0);
    let retry = actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => refusal.retry(),
        _ => None,
    });
    assert_eq!(retry, Some(Duration::from_secs(4)));
}
