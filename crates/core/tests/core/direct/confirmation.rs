//! Confirmation of the configuration. After a key is withdrawn, an entry may accept it only while
//! its configuration is confirmed.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Confirmation, Section};

use super::{at, revision, scheduler};

const LIMIT: Duration = Duration::from_secs(4);

#[test]
fn a_confirmation_counts_from_the_time_of_the_read() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(7, at(0));
    // An answer that is delayed by 3 s confirms the configuration as of the time of the read.
    confirmation.confirm(7, at(1_000));
    assert_eq!(confirmation.age(at(4_000)), Some(Duration::from_secs(3)));
    assert!(!confirmation.is_current(LIMIT, at(5_000)));
}

#[test]
fn an_older_version_confirms_nothing() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(7, at(0));
    confirmation.confirm(6, at(9_000));
    confirmation.confirm_by_peer(6, Duration::ZERO, at(9_000));
    assert_eq!(confirmation.version(), 7);
    assert!(!confirmation.is_current(LIMIT, at(9_000)));
}

#[test]
fn a_version_from_a_peer_is_not_current_until_the_peer_confirms_it() {
    let mut confirmation = Confirmation::default();
    confirmation.adopt(8);
    assert_eq!(confirmation.age(at(0)), None);
    confirmation.confirm_by_peer(8, Duration::from_secs(1), at(2_000));
    assert_eq!(confirmation.age(at(3_000)), Some(Duration::from_secs(2)));
}

/// One of two entries cannot reach the store.
#[test]
fn a_peer_confirms_as_of_its_answer_to_our_report() {
    let (mut disconnected, mut connected) = (scheduler(1, &[2]), scheduler(2, &[1]));
    disconnected.confirm(1, at(0));
    connected.confirm(1, at(5_000));
    let report = disconnected.addressed(&disconnected.report(at(5_100)), super::address(2));
    connected.apply_report(super::address(1), report, at(5_110));
    let answer = connected.addressed(&connected.report(at(5_200)), super::address(1));
    // The host is suspended for 10 s while the datagram is in its receive buffer.
    disconnected.apply_report(super::address(2), answer, at(15_200));
    let age = disconnected.confirmation().age(at(15_200));
    assert_eq!(age, Some(Duration::from_millis(10_300)));
}

/// A report that answers an earlier process at the same address confirms nothing.
#[test]
fn an_echo_of_another_process_is_ignored() {
    let (mut disconnected, mut connected) = (scheduler(1, &[2]), scheduler(2, &[1]));
    connected.confirm(1, at(0));
    let mut report = disconnected.addressed(&disconnected.report(at(100)), super::address(2));
    report.identity.boot += 1;
    connected.apply_report(super::address(1), report, at(100));
    let answer = connected.addressed(&connected.report(at(120)), super::address(1));
    disconnected.apply_report(super::address(2), answer, at(130));
    assert_eq!(disconnected.confirmation().age(at(130)), None);
}

#[test]
fn a_newer_version_at_a_peer_is_detected() {
    let (mut old, mut new) = (scheduler(1, &[2]), scheduler(2, &[1]));
    old.confirm(1, at(0));
    new.configure(super::plan(2), at(0));
    new.confirm(2, at(0));
    let effect = old.apply_report(super::address(2), new.report(at(10)), at(11));
    assert!(effect.newer && effect.started);
    assert!(
        !old.configure(super::plan(1), Timestamp::ZERO),
        "an older version must not replace a newer one"
    );
}

/// Guards against refusing keyed requests at every change of the configuration: an entry that had
/// fetched the new version from a peer waited for the peer's next report until it was confirmed.
#[test]
fn a_snapshot_confirms_its_configuration_as_of_the_request_for_it() {
    let (mut reader, mut other) = (scheduler(1, &[2]), scheduler(2, &[1]));
    reader.configure(super::plan(9), at(100));
    reader.confirm(9, at(100));
    reader.record_store_answer(Section::Configuration, revision(9), at(100));
    let snapshot = reader.snapshot(1, revision(0), at(300));
    assert!(other.apply_snapshot(snapshot, at(290), at(310)));
    let age = other.confirmation().age(at(310));
    assert_eq!(age, Some(Duration::from_millis(220)));
    assert!(other.confirmation().is_current(LIMIT, at(310)));
}
