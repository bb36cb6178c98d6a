//! Closed data centres and limits that a restored store shows as they were before.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Scheduler, Section, StoreRevision};

use super::{at, revision, scheduler};

/// An entry that knows the store up to the first era.
fn entry() -> Scheduler {
    let mut entry = scheduler(1, &[]);
    entry.observe_era(0, at(0));
    entry
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
