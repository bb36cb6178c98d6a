//! Endpoint records and closed data centres that a restored store shows as they were before, or no
//! longer shows.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointRecord, Scheduler, Section, StoreRevision};

use super::fleet_network::FleetNetwork;
use super::{at, endpoint_record, revision, scheduler};

const SIZES: [usize; 4] = [3, 30, 100, 300];

fn record(id: &str, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        sequence,
        ..endpoint_record(id, 4)
    }
}

fn leaving(id: &str, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        leaving: true,
        ..record(id, sequence)
    }
}

fn restarted(id: &str, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        started_ms: 2,
        ..record(id, sequence)
    }
}

fn is_usable(entry: &Scheduler, id: &str, now: Timestamp) -> bool {
    let state = entry.endpoints().get(id);
    state.is_some_and(|state| state.is_usable(now))
}

/// An entry that knows the store up to the first era.
fn entry() -> Scheduler {
    let mut entry = scheduler(1, &[]);
    entry.observe_era(0, at(0));
    entry
}

#[test]
fn an_endpoint_that_left_gets_nothing_on_its_old_record() {
    let mut entry = entry();
    for id in ["draining", "gone", "announced"] {
        entry.upsert_endpoint(record(id, 3), at(0));
    }
    // One has announced its leaving, one is removed without notice, one has done both.
    for id in ["draining", "announced"] {
        entry.upsert_endpoint(leaving(id, 5), at(100));
    }
    for id in ["gone", "announced"] {
        entry.unlist_endpoint(&id.into(), at(200), at(200));
    }
    entry.remove_expired(at(300));
    entry.observe_era(1, at(1_000));
    for id in ["draining", "gone", "announced"] {
        entry.upsert_endpoint(record(id, 3), at(1_000));
        assert!(!is_usable(&entry, id, at(1_000)), "{id}");
    }
    // A newer word of the same incarnation, and a new incarnation, count at once.
    entry.upsert_endpoint(record("gone", 6), at(1_100));
    assert!(is_usable(&entry, "gone", at(1_100)));
    entry.upsert_endpoint(restarted("announced", 1), at(1_100));
    assert!(is_usable(&entry, "announced", at(1_100)));
}

/// The endpoint's record had expired by mistake, and it writes only what has changed.
#[test]
fn a_withheld_record_is_admitted_if_it_stays_listed() {
    let mut entry = entry();
    for id in ["running", "ended"] {
        entry.upsert_endpoint(record(id, 3), at(0));
        entry.unlist_endpoint(&id.into(), at(100), at(100));
    }
    entry.remove_expired(at(200));
    entry.observe_era(1, at(1_000));
    for id in ["running", "ended"] {
        entry.upsert_endpoint(record(id, 3), at(1_000));
    }
    let listed = entry.listed_endpoints();
    assert_eq!(listed.len(), 2, "what is withheld is listed: {listed:?}");
    entry.unlist_endpoint(&"ended".into(), at(5_000), at(4_000));
    entry.release_kept(at(10_000));
    assert!(!is_usable(&entry, "running", at(10_000)));
    entry.release_kept(at(11_100));
    assert!(is_usable(&entry, "running", at(11_100)));
    assert!(!is_usable(&entry, "ended", at(11_100)));
}

/// Guards against an endpoint that restarted just before the restoration: its earlier incarnation
/// would replace it, without its load and as warm.
#[test]
fn an_earlier_incarnation_in_the_copy_does_not_replace_a_later_one() {
    let mut entry = entry();
    entry.upsert_endpoint(record("x", 9), at(0));
    entry.upsert_endpoint(restarted("x", 1), at(100));
    entry.record_store_answer(Section::Endpoints, revision(20), at(100));
    entry.observe_era(1, at(1_000));
    entry.upsert_endpoint(record("x", 9), at(1_000));
    let started = |entry: &Scheduler| {
        let state = entry.endpoints().get("x").expect("known");
        state.record().started_ms
    };
    assert_eq!(started(&entry), 2);
    entry.upsert_endpoint(restarted("x", 7), at(2_000));
    entry.release_kept(at(12_000));
    assert_eq!(started(&entry), 2);
}

#[test]
fn an_endpoint_that_the_copy_does_not_hold_returns_with_the_same_record() {
    let mut entry = entry();
    entry.upsert_endpoint(record("x", 3), at(0));
    entry.observe_era(1, at(1_000));
    entry.unlist_endpoint(&"x".into(), at(2_900), at(1_000));
    assert!(is_usable(&entry, "x", at(2_800)));
    entry.upsert_endpoint(record("x", 3), at(2_500));
    entry.remove_expired(at(3_000));
    assert!(is_usable(&entry, "x", at(3_000)));
}

/// Guards against removal by the snapshot of a peer that started after the restoration and never
/// knew the endpoint.
#[test]
fn a_snapshot_after_a_restoration_leaves_endpoints_time_to_return() {
    let (mut old, mut new) = (entry(), scheduler(2, &[1]));
    for id in ["kept", "lost", "back"] {
        old.upsert_endpoint(record(id, 3), at(0));
    }
    old.record_store_answer(Section::Endpoints, revision(50), at(0));
    new.observe_era(1, at(1_000));
    new.upsert_endpoint(record("kept", 3), at(1_000));
    for section in Section::ALL {
        new.record_store_answer(section, StoreRevision::new(1, 40), at(1_000));
    }
    old.apply_snapshot(
        new.snapshot(0, revision(50), at(1_100)),
        at(1_100),
        at(1_110),
    );
    assert_eq!(old.restoration().era(), 1);
    new.upsert_endpoint(record("back", 4), at(2_000));
    new.record_store_answer(Section::Endpoints, StoreRevision::new(1, 41), at(2_000));
    let known = StoreRevision::new(1, 40);
    old.apply_snapshot(new.snapshot(0, known, at(2_100)), at(2_100), at(2_110));
    assert!(is_usable(&old, "lost", at(2_900)));
    assert_eq!(old.remove_expired(at(2_900)), Vec::<Arc<str>>::new());
    assert_eq!(old.remove_expired(at(3_100)), ["lost".into()]);
    assert!(is_usable(&old, "back", at(3_100)));
}

/// Only the reader has seen the endpoint leave before the store was restored.
#[test]
fn a_peer_learns_which_endpoints_had_left_before_the_restoration() {
    let (mut reader, mut peer) = (entry(), scheduler(2, &[1]));
    peer.observe_era(0, at(0));
    for entry in [&mut reader, &mut peer] {
        entry.upsert_endpoint(record("stays", 3), at(0));
        entry.upsert_endpoint(record("leaves", 3), at(0));
        entry.record_store_answer(Section::Endpoints, revision(50), at(0));
    }
    reader.upsert_endpoint(leaving("leaves", 5), at(100));
    reader.unlist_endpoint(&"leaves".into(), at(200), at(200));
    reader.observe_era(1, at(1_000));
    reader.upsert_endpoint(record("leaves", 3), at(1_000));
    reader.record_store_answer(Section::Endpoints, StoreRevision::new(1, 40), at(1_000));
    let snapshot = reader.snapshot(0, revision(50), at(1_100));
    peer.apply_snapshot(snapshot, at(1_100), at(1_100));
    assert!(is_usable(&peer, "stays", at(1_100)));
    assert!(!is_usable(&peer, "leaves", at(1_100)));
    peer.upsert_endpoint(record("leaves", 3), at(1_200));
    assert!(!is_usable(&peer, "leaves", at(1_200)));
    // It was not leaving, or is back.
    peer.upsert_endpoint(record("leaves", 6), at(1_300));
    reader.record_store_answer(Section::Endpoints, StoreRevision::new(1, 41), at(1_400));
    let again = reader.snapshot(0, revision(50), at(1_400));
    peer.apply_snapshot(again, at(1_400), at(1_400));
    assert!(is_usable(&peer, "leaves", at(1_400)));
}

/// Copies are seconds old, so a departure of a minute ago is not undone by one.
#[test]
fn departures_are_remembered_for_a_bounded_time() {
    let mut entry = entry();
    entry.upsert_endpoint(record("x", 3), at(0));
    entry.unlist_endpoint(&"x".into(), at(100), at(100));
    entry.remove_expired(at(200));
    entry.observe_era(1, at(70_000));
    entry.upsert_endpoint(record("x", 3), at(70_000));
    assert!(is_usable(&entry, "x", at(70_000)));
}

/// One endpoint leaves and one starts after the copy was made. All entries keep to what they knew,
/// and agree when the records have been written again.
#[test]
fn a_fleet_keeps_to_the_newest_records_it_knew() {
    for count in SIZES {
        let mut fleet = FleetNetwork::new(count);
        fleet.list(vec![record("stays", 3), record("leaves", 3)]);
        fleet.run(2_000);
        fleet.list(vec![record("stays", 3), leaving("leaves", 5)]);
        fleet.run(2_500);
        fleet.list(vec![record("stays", 3), record("starts", 1)]);
        fleet.run(2_500);
        fleet.restore(10);
        fleet.listed = Some(vec![record("stays", 3), record("leaves", 3)]);
        let assert_kept = |fleet: &mut FleetNetwork| {
            let now = at(fleet.now);
            for (index, entry) in fleet.running() {
                assert!(
                    is_usable(entry, "stays", now),
                    "entry {index} of {count} at {}",
                    fleet.now
                );
                assert!(is_usable(entry, "starts", now), "entry {index} of {count}");
                assert!(!is_usable(entry, "leaves", now), "entry {index} of {count}");
            }
        };
        fleet.run_with(1_400, assert_kept);
        fleet.list(vec![
            record("stays", 3),
            record("leaves", 3),
            record("starts", 9),
        ]);
        fleet.run_with(3_500, assert_kept);
        fleet.list(vec![record("stays", 3), record("starts", 9)]);
        fleet.run_with(10_000, assert_kept);
    }
}

#[test]
fn a_closed_data_centre_stays_closed_until_the_operator_had_time_to_close_it_again() {
    let names = |entry: &Scheduler| entry.closed().iter().cloned().collect::<Vec<_>>();
    let mut entry = entry();
    for centre in ["a", "b", "c"] {
        entry.set_centre_closed(&centre.into(), true, at(0));
    }
    entry.observe_era(1, at(1_000));
    // The copy shows only one of them as closed, and another one that was reopened since.
    let shown: BTreeSet<Arc<str>> = BTreeSet::from(["c".into(), "d".into()]);
    entry.set_closed_centres(shown, at(1_000));
    assert_eq!(names(&entry), ["a", "b", "c", "d"].map(Arc::from));
    // The operator closes one of them again, and reopens the one of the copy.
    entry.set_centre_closed(&"b".into(), true, at(3_000));
    entry.set_centre_closed(&"d".into(), false, at(3_000));
    entry.release_kept(at(10_900));
    assert_eq!(names(&entry), ["a", "b", "c"].map(Arc::from));
    entry.release_kept(at(11_000));
    assert_eq!(names(&entry), ["b", "c"].map(Arc::from));
}

/// Only one entry has read that the data centre is closed before the store was restored.
#[test]
fn a_peer_learns_which_data_centres_stay_closed_and_reopens_them() {
    let (mut reader, mut peer) = (entry(), scheduler(2, &[1]));
    peer.observe_era(0, at(0));
    peer.set_centre_closed(&"b".into(), true, at(0));
    reader.set_centre_closed(&"a".into(), true, at(0));
    reader.observe_era(1, at(1_000));
    reader.set_closed_centres(BTreeSet::new(), at(1_000));
    reader.record_store_answer(Section::Configuration, StoreRevision::new(1, 40), at(1_000));
    let snapshot = reader.snapshot(0, revision(0), at(1_500));
    peer.apply_snapshot(snapshot, at(1_500), at(1_500));
    assert_eq!(peer.closed().len(), 2);
    peer.release_kept(at(11_100));
    let closed: Vec<_> = peer.closed().iter().map(|centre| &**centre).collect();
    assert_eq!(closed, ["b"]);
    peer.release_kept(at(11_600));
    assert!(peer.closed().is_empty());
}

/// A lowered limit is lost, and the copy shows the higher one.
#[test]
fn a_lowered_limit_stays_in_force_until_the_newest_version_is_back() {
    let team = Arc::new(super::team(1_000));
    let admitted = |entry: &mut Scheduler, now: Timestamp| {
        let charges = (0..100).filter(|_| entry.charge(&team, 100, 0, now).is_ok());
        charges.count()
    };
    let mut entry = entry();
    let mut lowered = comfreyhaven_core::direct::Plan::clone(&super::plan(8));
    lowered.teams = vec![Arc::new(super::team(100))];
    entry.configure(Arc::new(lowered), at(0));
    let low = admitted(&mut entry, at(20_000));
    entry.observe_era(1, at(30_000));
    assert!(!entry.configure(super::plan(1), at(30_000)));
    entry.record_shown(1);
    let low_again = admitted(&mut entry, at(40_000));
    assert_eq!(low, low_again);
    entry.configure(super::plan(9), at(50_000));
    let high = admitted(&mut entry, at(60_000) + Duration::from_secs(10));
    assert!(
        high > low * 2,
        "{low} with the lower limit, {high} with the higher one"
    );
}
