//! Slots that are divided among the entries while requests wait for them.

use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{
    Ending, Outcome, Placement, Plan, Policies, Probe, Scheduler, Ticket,
};

use super::{SERVICE, address, at, endpoint_record, placement_request, plan, scheduler};

/// An entry that divides slots and knows one endpoint with `slots` slots.
fn sharing(index: u8, slots: u32) -> Scheduler {
    let policies = Policies {
        slot_shares: true,
        ..Policies::default()
    };
    let mut entry = scheduler(index, &[1, 2]).with_policies(policies);
    let mut reserving = Plan::clone(&plan(2));
    for service in reserving.services.values_mut() {
        service.reservation = Duration::from_secs(2);
    }
    entry.configure(Arc::new(reserving), at(0));
    entry.upsert_endpoint(endpoint_record("e0", slots), at(0));
    entry
}

fn submit(entry: &mut Scheduler, ticket: u64, now: u64) -> Option<Box<Placement>> {
    match entry.submit(placement_request(ticket, 0, at(now)), at(now)) {
        Some(Outcome::Placed(placement)) => Some(placement),
        _ => None,
    }
}

/// Returns the request that is placed next, and where.
fn next(entry: &mut Scheduler, now: u64) -> Option<(Ticket, Box<Placement>)> {
    let outcomes = entry.process_queues(at(now)).into_iter();
    let placed = |(ticket, outcome)| match outcome {
        Outcome::Placed(placement) => Some((ticket, placement)),
        Outcome::Refused(_) => None,
    };
    outcomes.filter_map(placed).next()
}

/// Submits `count` requests to the peer, of which those without a slot wait, and reports them.
fn report_peer(entry: &mut Scheduler, peer: &mut Scheduler, count: u64, now: u64) {
    for ticket in 0..count {
        submit(peer, 100 + ticket, now);
    }
    entry.apply_report(address(2), peer.report(at(now)), at(now));
}

#[test]
fn a_slot_is_used_again_at_once_whatever_old_reports_say() {
    let (mut entry, mut peer) = (sharing(1, 2), sharing(2, 2));
    let mut running = submit(&mut entry, 1, 0).expect("a slot is free");
    report_peer(&mut entry, &mut peer, 3, 10);
    for ticket in 2..8 {
        let now = ticket * 100;
        assert!(
            submit(&mut entry, ticket, now).is_none(),
            "the view says full"
        );
        entry.end(&running.run, Ending::Complete, at(now + 50));
        let (placed, placement) = next(&mut entry, now + 50).expect("the slot is known");
        assert_eq!(placed, Ticket(ticket));
        assert!(!placement.reservation.is_zero());
        running = placement;
    }
}

#[test]
fn an_entry_above_its_share_gives_slots_up_and_its_peer_finds_them() {
    let (mut entry, mut peer) = (sharing(1, 4), sharing(2, 4));
    let runs: Vec<_> = (0..4).filter_map(|i| submit(&mut entry, i, 0)).collect();
    assert_eq!(runs.len(), 4);
    peer.apply_report(address(1), entry.report(at(5)), at(5));
    report_peer(&mut entry, &mut peer, 30, 10);
    assert!(submit(&mut entry, 50, 20).is_none());
    entry.end(&runs[0].run, Ending::Complete, at(30));
    assert!(
        next(&mut entry, 30).is_none(),
        "the entry is above its share"
    );
    peer.apply_report(address(1), entry.report(at(40)), at(40));
    let found = (40..500).find_map(|now| next(&mut peer, now));
    assert!(found.is_some(), "the peer's turn comes");
}

#[test]
fn a_refused_reservation_ends_the_belief_in_a_free_slot() {
    let (mut entry, mut peer) = (sharing(1, 2), sharing(2, 2));
    let running = submit(&mut entry, 1, 0).expect("a slot is free");
    report_peer(&mut entry, &mut peer, 3, 10);
    for ticket in [2, 3] {
        assert!(submit(&mut entry, ticket, 20).is_none());
    }
    entry.end(&running.run, Ending::Complete, at(30));
    let (_, placement) = next(&mut entry, 30).expect("the slot is known");
    entry.end(&placement.run, Ending::Full, at(35));
    assert!((35..80).all(|now| next(&mut entry, now).is_none()));
}

#[test]
fn another_incarnation_has_no_known_slot() {
    let mut entry = sharing(1, 2);
    let running = submit(&mut entry, 1, 0).expect("a slot is free");
    entry.end(&running.run, Ending::Complete, at(10));
    let known = |entry: &Scheduler| {
        let state = entry.endpoints().get("e0");
        state.map(|state| state.freed().count(at(20)))
    };
    assert_eq!(known(&entry), Some(1));
    let mut restarted = endpoint_record("e0", 2);
    restarted.started_ms = 2;
    entry.upsert_endpoint(restarted, at(15));
    assert_eq!(known(&entry), Some(0));
}

#[test]
fn the_slots_of_a_killed_entry_are_found_when_its_reports_expire() {
    let (mut entry, mut killed) = (sharing(1, 2), sharing(2, 2));
    report_peer(&mut entry, &mut killed, 3, 10);
    assert!(submit(&mut entry, 1, 20).is_none());
    entry.withdraw(SERVICE, Ticket(1));
    entry.expire_peers(at(20_000));
    assert!(submit(&mut entry, 2, 20_000).is_some());
}

/// Entries have their turns by themselves; each free slot is looked for about once in a period,
/// however many entries there are.
#[test]
fn one_entry_looks_for_a_free_slot() {
    for entries in [1, 3, 30, 100, 300] {
        let probe = |entry| Probe {
            endpoint: 7,
            entry,
            free: 1,
            own_waiting: 5,
            peers_waiting: (entries - 1) * 5,
        };
        let due = |time: &u64| {
            (0..u64::from(entries))
                .filter(|entry| probe(*entry).is_due(at(*time)))
                .count()
        };
        let probes: usize = (0..200).map(|period| due(&(period * 200))).sum();
        assert!(
            (140..=260).contains(&probes),
            "{entries} entries: {probes} of 200"
        );
    }
}

/// Guards against cold endpoints that stay empty. On a simulated day (rcca scale-2) 40 to 68 of 520
/// slots were free there: few entries had a part of what the endpoints take, and these waited for their
/// turns too.
#[test]
fn a_cold_endpoint_is_used_without_turns() {
    let (mut entry, mut peer) = (sharing(1, 10), sharing(2, 10));
    report_peer(&mut entry, &mut peer, 500, 10);
    let mut cold = endpoint_record("e1", 10);
    cold.cold = Duration::from_secs(3);
    cold.address.set_port(81);
    entry.upsert_endpoint(cold, at(20));
    let placed = submit(&mut entry, 1, 2_000).map(|placement| placement.record.id);
    assert_eq!(placed.as_deref(), Some("e1"));
}

/// Guards against endpoints that crash because the requests placed there exceed their memory. Each entry
/// counts what its peers report, at its largest possible length.
#[test]
fn no_endpoint_gets_more_than_its_memory_holds() {
    let with_memory = |index| {
        let mut entry = sharing(index, 10);
        let mut limited = Plan::clone(entry.plan());
        limited.version += 1;
        for service in limited.services.values_mut() {
            service.memory_tokens = 5_000;
        }
        entry.configure(Arc::new(limited), at(0));
        entry
    };
    let (mut entry, mut peer) = (with_memory(1), with_memory(2));
    report_peer(&mut entry, &mut peer, 2, 10);
    let first = submit(&mut entry, 1, 20).expect("there is memory");
    assert!(!first.reservation.is_zero(), "more than half is used");
    let second = submit(&mut entry, 2, 20).expect("there is memory");
    assert!(submit(&mut entry, 3, 20).is_none(), "memory is used up");
    entry.end(&second.run, Ending::Complete, at(30));
    assert!(next(&mut entry, 30).is_some(), "memory is free again");
}
