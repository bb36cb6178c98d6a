//! What an entry sheds, and when.

use std::time::Duration;

use comfreyhaven_core::entry::{Action, Arrival, Entry, Event, LoanRequest};
use comfreyhaven_core::fleet::DataCentreState;
use comfreyhaven_core::refusal::{RefusalKind, ReturnReason};
use comfreyhaven_core::request::BodyDigest;
use comfreyhaven_core::{BootNonce, Cost, EndpointName, RequestId, ReservationId, Timestamp};

use crate::support::{fleet, host_name, key, route_name};

const START: Timestamp = Timestamp::from_millis(60_000);

/// An entry whose shares are full. Its peer has confirmed the hosts.
pub fn entry(endpoints: usize) -> Entry {
    let fleet = fleet(endpoints, DataCentreState::In);
    let mut entries = [0, 1].map(|index| {
        let mut entry = Entry::new(host_name(index), BootNonce::new(7), index as u64);
        let actions = entry.handle(Event::Configured(fleet.clone()), Timestamp::ZERO);
        (entry, actions)
    });
    for action in std::mem::take(&mut entries[0].1) {
        let Action::Borrow(ask) = action else {
            continue;
        };
        let asked = LoanRequest {
            peer: host_name(0),
            ..(*ask).clone()
        };
        let asked = Event::LoanRequested(Box::new(asked));
        for action in entries[1].0.handle(asked, Timestamp::ZERO) {
            let Action::Lend(loan) = action else { continue };
            let ask = ask.clone();
            let lent = Event::LoanAnswered {
                request: ask,
                loan: Some(loan),
            };
            entries[0].0.handle(lent, Timestamp::ZERO);
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

/// The reservations placed.
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

/// Returns every reservation, the first displaced, and so on until nothing is placed.
fn return_all(
    entry: &mut Entry,
    mut actions: Vec<Action>,
    displaced: usize,
) -> (usize, Vec<Action>) {
    let mut asked = 0;
    loop {
        let Some((endpoint, id)) = reserved(&actions).first().cloned() else {
            return (asked, actions);
        };
        let rest: Vec<_> = actions.into_iter().skip(1).collect();
        let reason = if asked < displaced {
            ReturnReason::Displaced
        } else {
            ReturnReason::Full
        };
        asked += 1;
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
fn a_request_is_shed_only_after_every_agent_answered_that_it_is_full() {
    let mut entry = entry(7);
    let actions = entry.handle(arrival(1, 2), START);
    let (asked, actions) = return_all(&mut entry, actions, 0);
    assert_eq!(asked, 7);
    assert_eq!(refused(&actions).unwrap().1, RefusalKind::Overloaded);
    assert!(entry.is_idle());
}

#[test]
fn a_displaced_request_asks_every_agent_again() {
    let mut entry = entry(5);
    let actions = entry.handle(arrival(1, 1), START);
    let (asked, actions) = return_all(&mut entry, actions, 1);
    assert_eq!(asked, 10);
    assert_eq!(refused(&actions).unwrap().1, RefusalKind::Overloaded);
}

#[test]
fn a_request_that_is_displaced_for_ever_is_shed_in_the_end() {
    let mut entry = entry(3);
    let actions = entry.handle(arrival(1, 1), START);
    let (asked, actions) = return_all(&mut entry, actions, usize::MAX);
    assert!(asked <= 4 * 3, "{asked}");
    assert!(refused(&actions).is_some());
}

#[test]
fn a_full_entry_sheds_the_newest_of_its_lowest_tier() {
    let mut entry = entry(3);
    let mut shed = None;
    let mut last = 0;
    while shed.is_none() {
        last += 1;
        shed = refused(&entry.handle(arrival(last, 1), START));
    }
    assert_eq!(shed, Some((RequestId::new(last), RefusalKind::Overloaded)));
    let actions = entry.handle(arrival(last + 1, 0), START);
    assert_eq!(refused(&actions).unwrap().0, RequestId::new(last - 1));
    assert_eq!(reserved(&actions).len(), 3);
}

#[test]
fn a_refused_caller_is_told_to_come_back_after_the_waits_that_others_had() {
    let mut entry = entry(1);
    let offered = |entry: &mut Entry, request, wait| {
        let placed = reserved(&entry.handle(arrival(request, 0), START));
        let (endpoint, id) = placed[0].clone();
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
