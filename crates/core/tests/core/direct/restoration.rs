//! A store that is restored from a copy some seconds old, seen by fleets of 3 to 300 entries.

use std::time::Duration;

use comfreyhaven_core::direct::{ReadCursor, Restoration, Scheduler, Section, StoreRevision};

use super::fleet_network::FleetNetwork;
use super::{address, at, plan, revision, scheduler};

const SIZES: [usize; 4] = [3, 30, 100, 300];

/// Time in which a fleet is expected to be in order again after a start or a loss, in milliseconds.
const SETTLING_TIME: u64 = 2_000;

/// Age of the confirmation up to which entries admit requests with a key.
const KEY_LIMIT: Duration = Duration::from_millis(4_250);

/// Calls per second that the store allows to all entries together.
const CALL_LIMIT: usize = 2_000;

/// Runs the fleet and returns the most calls to the store in any one of the seconds.
fn most_calls(
    fleet: &mut FleetNetwork,
    seconds: u64,
    mut step: impl FnMut(&mut FleetNetwork),
) -> usize {
    let mut calls = |fleet: &mut FleetNetwork| {
        let before = fleet.store_calls;
        fleet.run_with(1_000, &mut step);
        fleet.store_calls - before
    };
    (0..seconds).map(|_| calls(fleet)).max().unwrap_or(0)
}

fn assert_version(fleet: &FleetNetwork, version: u64) {
    for (index, entry) in fleet.running() {
        assert_eq!(
            entry.plan().version,
            version,
            "entry {index} of {} at {} ms",
            fleet.len(),
            fleet.now
        );
    }
}

fn eras(fleet: &FleetNetwork) -> Vec<u64> {
    let eras = fleet.running().map(|(_, entry)| entry.restoration().era());
    eras.collect()
}

/// A fleet that holds version 13, of which the restored store shows only 10.
fn fleet_with_lost_version(count: usize) -> FleetNetwork {
    let mut fleet = FleetNetwork::new(count);
    fleet.run(SETTLING_TIME);
    fleet.publish(3_000);
    assert_version(&fleet, 13);
    fleet.run(1_000);
    fleet.restore(10);
    fleet
}

#[test]
fn a_revision_of_an_earlier_era_is_older() {
    let lost = StoreRevision::new(0, 90);
    let restored = StoreRevision::new(1, 40);
    assert!(lost < restored);
    let bytes = serde_json::to_string(&restored).expect("it has no unusual fields");
    let read: StoreRevision = serde_json::from_str(&bytes).expect("it was written so");
    assert_eq!(read, restored);
}

#[test]
fn a_section_is_read_as_a_whole_only_if_no_peer_knows_more() {
    let mut cursor = ReadCursor::default();
    cursor.record_answer(revision(50));
    cursor.record_gone(revision(50));
    assert_eq!(cursor.next(revision(50)), None);
    // A snapshot of a peer makes the read unnecessary.
    let restored = StoreRevision::new(1, 40);
    assert_eq!(cursor.next(restored), Some(restored));
    cursor.record_gone(restored);
    assert_eq!(cursor.next(restored), None);
    cursor.record_answer(StoreRevision::new(2, 8));
    assert_eq!(cursor.next(restored), Some(StoreRevision::new(2, 8)));
}

/// Guards against a peer that has not seen the restoration yet and knows a higher revision.
#[test]
fn a_higher_revision_of_an_earlier_era_does_not_win() {
    let (mut old, mut new) = (scheduler(1, &[2]), scheduler(2, &[1]));
    old.record_store_answer(Section::Endpoints, revision(90), at(0));
    old.observe_era(0, at(0));
    old.upsert_endpoint(super::endpoint_record("lost", 4), at(0));
    new.observe_era(1, at(0));
    for section in Section::ALL {
        new.record_store_answer(section, StoreRevision::new(1, 40), at(0));
    }
    let effect = new.apply_report(address(1), old.report(at(100)), at(100));
    assert!(!effect.newer);
    new.apply_snapshot(old.snapshot(0, revision(0), at(100)), at(100), at(110));
    assert!(new.endpoints().is_empty());
    assert_eq!(new.restoration().era(), 1);
    let effect = old.apply_report(address(2), new.report(at(120)), at(120));
    assert!(effect.newer, "the restored store is newer");
    // An answer that was under way while the store was restored confirms nothing.
    let before = *new.store_progress();
    new.record_store_answer(Section::Endpoints, revision(95), at(200));
    assert_eq!(new.store_progress().status(at(300)), before.status(at(300)));
}

/// Guards against a record that a peer removed in the earlier era and that did not change since: an
/// endpoint that runs and is listed would stay unknown there.
#[test]
fn a_snapshot_for_a_peer_in_an_earlier_era_holds_all_records() {
    let mut entry = scheduler(1, &[]);
    entry.upsert_endpoint(super::endpoint_record("x", 4), at(0));
    entry.record_store_answer(Section::Endpoints, revision(30), at(0));
    entry.record_store_answer(Section::Endpoints, StoreRevision::new(1, 20), at(10));
    assert_eq!(entry.snapshot(0, revision(50), at(20)).endpoints.len(), 1);
    let known = StoreRevision::new(1, 20);
    assert!(entry.snapshot(0, known, at(20)).endpoints.is_empty());
}

/// An entry learns of the restoration by its endpoints, and then of a peer that has not seen it yet.
#[test]
fn a_peer_in_an_earlier_era_does_not_tell_what_the_restored_store_shows() {
    let (mut old, mut new) = (scheduler(1, &[2]), scheduler(2, &[1]));
    for entry in [&mut old, &mut new] {
        entry.observe_era(0, at(0));
        entry.configure(plan(13), at(0));
        entry.record_shown(13);
    }
    old.record_store_answer(Section::Configuration, revision(90), at(0));
    new.observe_era(1, at(100));
    new.apply_snapshot(old.snapshot(13, revision(0), at(200)), at(200), at(200));
    new.confirm_read(at(300), at(300));
    assert_eq!(new.confirmation().age(at(300)), None);
    new.record_shown(13);
    new.confirm_read(at(400), at(400));
    assert!(new.confirmation().is_current(KEY_LIMIT, at(500)));
}

/// Guards against a read by each entry: all of them find that the store has no history for them.
#[test]
fn a_restoration_is_read_by_the_readers_alone() {
    for count in SIZES {
        for outage in [0, 1_000] {
            let mut fleet = FleetNetwork::new(count);
            fleet.run(SETTLING_TIME);
            fleet.publish(3_000);
            fleet.run(1_000);
            fleet.store_up = false;
            fleet.run(outage);
            fleet.store_up = true;
            fleet.restore(10);
            fleet.whole_reads = 0;
            let calls = most_calls(&mut fleet, 4, |_| {});
            assert_eq!(eras(&fleet), vec![1; count]);
            assert!(
                fleet.whole_reads <= 6,
                "{count} entries, outage of {outage} ms: {} whole reads",
                fleet.whole_reads
            );
            let limit = if outage == 0 { 10 + 4 } else { count * 3 + 10 };
            assert!(
                calls <= limit.min(CALL_LIMIT),
                "{count} entries, outage of {outage} ms: {calls} calls in a second"
            );
        }
    }
}

/// The store shows version 10 while 13 is in force, and the operator writes 13 again late or never.
#[test]
fn a_configuration_in_force_never_goes_back() {
    for count in SIZES {
        let mut fleet = fleet_with_lost_version(count);
        let calls = most_calls(&mut fleet, 13, |fleet| assert_version(fleet, 13));
        // Each of two readers watches and then reads each section once more than usual.
        assert!(calls < 10 + 4, "{count} entries: {calls} calls in a second");
        fleet.version = 13;
        fleet.run_with(3_000, |fleet| assert_version(fleet, 13));
        assert!(fleet.publish(3_000) < 2_500);
    }
}

/// While the operator has not written again what was lost, a newer version may be lost too. Its
/// withdrawn keys must not be admitted for as long as it may be missing; an operator that never
/// writes must not end the service.
#[test]
fn a_read_that_shows_an_older_version_confirms_nothing_for_a_time() {
    for count in SIZES {
        let mut fleet = fleet_with_lost_version(count);
        fleet.run(6_000);
        for (index, entry) in fleet.running() {
            let confirmation = entry.confirmation();
            assert!(
                !confirmation.is_current(KEY_LIMIT, at(fleet.now)),
                "entry {index} of {count}"
            );
        }
        fleet.run(7_000);
        let oldest = fleet.oldest_confirmation();
        assert!(oldest < KEY_LIMIT, "{count} entries: {oldest:?}");
    }
}

/// Guards against refusing requests with keys although the operator writes its version again soon.
#[test]
fn keys_are_admitted_throughout_if_the_operator_writes_soon() {
    for count in SIZES {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(SETTLING_TIME);
        fleet.publish(3_000);
        fleet.run(1_000);
        let assert_current = |fleet: &mut FleetNetwork| {
            let oldest = fleet.oldest_confirmation();
            assert!(oldest < KEY_LIMIT, "{count} entries: {oldest:?}");
        };
        fleet.store_up = false;
        fleet.run_with(500, assert_current);
        fleet.store_up = true;
        fleet.restore(10);
        fleet.run_with(1_500, assert_current);
        fleet.version = 13;
        fleet.run_with(5_000, assert_current);
    }
}

/// No entry has read the version that withdraws a key before it is lost.
#[test]
fn a_key_that_an_unread_version_withdraws_is_refused_in_time() {
    for count in SIZES {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(SETTLING_TIME);
        let withdrawn = fleet.now;
        fleet.store_up = false;
        fleet.run(500);
        fleet.store_up = true;
        fleet.restore(10);
        fleet.run(1_500);
        fleet.version = 13;
        fleet.run_with(8_000, |fleet| {
            let admits = |entry: &Scheduler| {
                let confirmation = entry.confirmation();
                entry.plan().version < 13 && confirmation.is_current(KEY_LIMIT, at(fleet.now))
            };
            let admitting = fleet.running().filter(|(_, entry)| admits(entry)).count();
            assert!(
                admitting == 0 || fleet.now < withdrawn + 5_000,
                "{admitting} of {count} entries at {} ms",
                fleet.now - withdrawn
            );
        });
    }
}

/// An entry that starts in the new era reads the older version, and its peers hold the newer one.
#[test]
fn an_entry_that_starts_after_a_restoration_confirms_nothing_older_than_its_peers_hold() {
    for count in SIZES {
        let mut fleet = fleet_with_lost_version(count);
        fleet.run(1_000);
        let index = count - 1;
        fleet.kill(index);
        fleet.run(200);
        fleet.start(index, 0);
        fleet.run_with(5_000, |fleet| {
            let entry = fleet.entries[index].as_ref();
            if let Some(entry) = entry.filter(|entry| entry.plan().version < 13) {
                assert_eq!(entry.confirmation().age(at(fleet.now)), None, "{count}");
            }
        });
        assert_version(&fleet, 13);
        fleet.version = 13;
        fleet.run(3_000);
        assert!(fleet.oldest_confirmation() < KEY_LIMIT);
    }
}

/// An entry whose peers do not answer must not wait for them for good.
#[test]
fn an_entry_that_starts_alone_after_a_restoration_serves() {
    let mut fleet = FleetNetwork::new(3);
    fleet.run(SETTLING_TIME);
    fleet.restore(10);
    fleet.kill_all();
    fleet.start(1, 0);
    fleet.run(1_000);
    let age = |fleet: &FleetNetwork| {
        let entry = fleet.entries[1].as_ref().expect("it runs");
        entry.confirmation().age(at(fleet.now))
    };
    assert_eq!(age(&fleet), None, "its peers may know a newer version");
    fleet.run(2_000);
    assert!(age(&fleet).is_some());
}

/// A version that a peer reports cannot be fetched, because that peer has ended.
#[test]
fn a_reported_version_delays_the_confirmation_for_a_bounded_time() {
    let mut restoration = Restoration::default();
    assert_eq!(
        restoration.observe(1, at(0)),
        None,
        "no era was known before"
    );
    restoration.record_shown(10);
    assert!(restoration.confirms(10, at(10)));
    restoration.record_reported(13, at(20));
    assert!(!restoration.confirms(10, at(30)));
    assert!(!restoration.confirms(10, at(9_000)));
    assert!(restoration.confirms(10, at(11_000)));
    assert_eq!(restoration.observe(2, at(12_000)), Some(1));
    assert_eq!(restoration.observe(1, at(12_010)), None, "an earlier era");
}

/// Entries that read before and after the restoration start together.
#[test]
fn a_restoration_while_all_entries_start_ends_in_one_state() {
    for count in SIZES {
        for moment in [50, 150, 350] {
            let mut fleet = FleetNetwork::new(count);
            fleet.run(SETTLING_TIME);
            fleet.publish(3_000);
            fleet.kill_all();
            fleet.run(400);
            fleet.restart_all();
            fleet.run(moment);
            fleet.restore(10);
            let calls = most_calls(&mut fleet, 3, |_| {});
            assert!(
                calls <= (count * 4 + 10).min(CALL_LIMIT),
                "{count} entries: {calls} calls in a second"
            );
            assert_eq!(eras(&fleet), vec![1; count], "restored at {moment} ms");
            fleet.version = 16;
            fleet.run(3_000);
            assert_version(&fleet, 16);
            assert!(fleet.oldest_confirmation() < KEY_LIMIT);
        }
    }
}

/// Revisions that were given out in the first era after the copy are given out again in the second.
#[test]
fn two_restorations_in_a_row_end_in_one_state() {
    for count in SIZES {
        let mut fleet = fleet_with_lost_version(count);
        fleet.run(300);
        fleet.version = 13;
        fleet.run(400);
        fleet.restore(10);
        fleet.run_with(2_000, |fleet| assert_version(fleet, 13));
        assert_eq!(eras(&fleet), vec![2; count]);
        fleet.version = 16;
        fleet.run(3_000);
        assert_version(&fleet, 16);
        assert!(fleet.oldest_confirmation() < KEY_LIMIT);
    }
}

/// One half of the fleet reaches neither the other half nor the store while it is restored. The cut
/// half alone holds the newest version.
#[test]
fn a_restoration_during_a_cut_is_known_after_it_heals() {
    for count in SIZES {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(SETTLING_TIME);
        for index in (0..count).step_by(2) {
            fleet.groups[index] = 1;
        }
        let now = at(fleet.now);
        for (index, entry) in fleet.entries.iter_mut().enumerate() {
            let entry = entry.as_mut().filter(|_| index.is_multiple_of(2));
            if let Some(entry) = entry {
                entry.configure(plan(13), now);
                entry.record_store_answer(Section::Configuration, revision(13), now);
            }
        }
        fleet.without_store = Some(1);
        fleet.restore(10);
        fleet.run(3_000);
        let halves = fleet
            .running()
            .map(|(index, entry)| (index, entry.restoration().era()));
        assert!(
            halves
                .into_iter()
                .all(|(index, era)| era == (index % 2) as u64)
        );
        fleet.groups.fill(0);
        fleet.without_store = None;
        fleet.run(8_000);
        assert_eq!(eras(&fleet), vec![1; count]);
        assert_version(&fleet, 13);
        fleet.version = 13;
        fleet.run(3_000);
        assert!(fleet.oldest_confirmation() < KEY_LIMIT);
    }
}
