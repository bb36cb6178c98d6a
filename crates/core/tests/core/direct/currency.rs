//! A withdrawn key: an entry may use it only while its configuration is known to be in force.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::Currency;

use super::{at, scheduler};

const LIMIT: Duration = Duration::from_secs(4);

#[test]
fn a_confirmation_counts_from_when_its_read_was_sent() {
    let mut currency = Currency::default();
    currency.confirm(7, at(0));
    // An answer that was held up for three seconds confirms only what held when it was asked for.
    currency.confirm(7, at(1_000));
    assert_eq!(currency.age(at(4_000)), Some(Duration::from_secs(3)));
    assert!(!currency.is_current(LIMIT, at(5_000)));
}

#[test]
fn an_older_version_confirms_nothing() {
    let mut currency = Currency::default();
    currency.confirm(7, at(0));
    currency.confirm(6, at(9_000));
    currency.hear(6, Duration::ZERO, at(9_000));
    assert_eq!(currency.version(), 7);
    assert!(!currency.is_current(LIMIT, at(9_000)));
}

#[test]
fn a_version_from_a_peer_is_not_current_until_the_peer_says_so() {
    let mut currency = Currency::default();
    currency.adopt(8);
    assert_eq!(currency.age(at(0)), None);
    currency.hear(8, Duration::from_secs(1), at(2_000));
    assert_eq!(currency.age(at(3_000)), Some(Duration::from_secs(2)));
}

/// Two entries, one cut off from the store.
#[test]
fn a_peer_confirms_as_of_its_answer_to_our_own_report() {
    let (mut cut, mut sound) = (scheduler(1, &[2]), scheduler(2, &[1]));
    cut.confirm(1, at(0));
    sound.confirm(1, at(5_000));
    let question = cut.addressed(&cut.report(at(5_100)), super::address(2));
    sound.hear(super::address(1), question, at(5_110));
    let answer = sound.addressed(&sound.report(at(5_200)), super::address(1));
    // The datagram waits in the buffer of a host that is suspended for ten seconds.
    cut.hear(super::address(2), answer, at(15_200));
    let age = cut.currency().age(at(15_200));
    assert_eq!(age, Some(Duration::from_millis(10_300)));
}

/// A report that answers an earlier process of the same host confirms nothing.
#[test]
fn an_echo_of_another_process_is_void() {
    let (mut cut, mut sound) = (scheduler(1, &[2]), scheduler(2, &[1]));
    sound.confirm(1, at(0));
    let mut question = cut.addressed(&cut.report(at(100)), super::address(2));
    question.boot += 1;
    sound.hear(super::address(1), question, at(100));
    let answer = sound.addressed(&sound.report(at(120)), super::address(1));
    cut.hear(super::address(2), answer, at(130));
    assert_eq!(cut.currency().age(at(130)), None);
}

#[test]
fn a_newer_version_at_a_peer_calls_for_its_snapshot() {
    let (mut old, mut new) = (scheduler(1, &[2]), scheduler(2, &[1]));
    old.confirm(1, at(0));
    new.configure(super::plan(2), at(0));
    new.confirm(2, at(0));
    let heard = old.hear(super::address(2), new.report(at(10)), at(11));
    assert!(heard.newer && heard.started);
    assert!(
        !old.configure(super::plan(1), Timestamp::ZERO),
        "never back to an older version"
    );
}
