//! Requests that are suspected of crashing endpoints, and endpoints that break off for other reasons.

use comfreyhaven_core::direct::{Scope, Source, Suspects};
use comfreyhaven_core::request::BodyDigest;

use super::{address, at};

const REQUEST: BodyDigest = BodyDigest(1);

/// Digests of incarnations.
const X: u64 = 10;
const Y: u64 = 20;
const Z: u64 = 30;

/// Two entries that report to each other.
struct Pair([Suspects; 2]);

impl Pair {
    fn new() -> Self {
        Self([Suspects::default(), Suspects::default()])
    }

    fn exchange(&mut self, millis: u64) {
        for from in 0..2 {
            let source = Source::Entry(address(from as u8));
            let reported = self.0[from].reported(Scope::Entry, None, at(millis));
            self.0[1 - from].apply_report(source, &reported, at(millis));
        }
    }

    fn refused(&self, millis: u64) -> [bool; 2] {
        [0, 1].map(|entry| self.0[entry].is_refused(REQUEST, at(millis)))
    }
}

/// Guards against refusing equal requests of many callers, since one endpoint breaks off whatever it
/// gets.
#[test]
fn an_endpoint_that_breaks_off_again_and_again_contains_no_request() {
    let mut pair = Pair::new();
    for step in 0..10 {
        pair.0[step % 2].record_break(REQUEST, X, at(step as u64 * 100));
        pair.exchange(step as u64 * 100 + 40);
    }
    assert_eq!(pair.refused(2_000), [false, false]);
}

/// Guards against counting a crash for each of the equal requests that ran in it.
#[test]
fn requests_that_break_off_in_one_crash_count_once() {
    let mut pair = Pair::new();
    for entry in 0..2 {
        pair.0[entry].record_break(REQUEST, X, at(0));
        pair.0[entry].record_break(REQUEST, Y, at(10));
    }
    pair.exchange(40);
    assert_eq!(pair.refused(50), [false, false]);
    pair.0[1].record_break(REQUEST, Z, at(60));
    pair.exchange(80);
    assert_eq!(pair.refused(90), [true, true]);
}

/// Guards against refusing a request for endpoints that have broken off and go on: at once, and at the
/// peers.
#[test]
fn an_endpoint_that_answers_after_a_break_has_not_crashed() {
    let mut pair = Pair::new();
    for (incarnation, millis) in [(X, 0), (Y, 10), (Z, 20)] {
        pair.0[0].record_break(REQUEST, incarnation, at(millis));
    }
    pair.exchange(40);
    assert_eq!(pair.refused(50), [true, true]);
    pair.0[0].record_answer(Y, at(100), at(150));
    pair.exchange(160);
    assert_eq!(pair.refused(170), [false, false]);
}

/// Guards against an answer that the endpoint had sent before, and one of its next incarnation under
/// the same id, whose record is not known yet.
#[test]
fn an_answer_from_before_a_break_or_long_after_it_proves_nothing() {
    let mut suspects = Suspects::default();
    for (incarnation, millis) in [(X, 100), (Y, 110), (Z, 120)] {
        suspects.record_break(REQUEST, incarnation, at(millis));
    }
    suspects.record_answer(X, at(99), at(130));
    suspects.record_answer(Y, at(1_110), at(1_200));
    assert!(suspects.is_refused(REQUEST, at(1_300)));
}

/// Guards against a request that crashes endpoints again after one complete answer, and is never
/// refused since its completion is reported for seconds.
#[test]
fn a_completion_clears_only_what_was_before_it() {
    let mut pair = Pair::new();
    pair.0[0].record_break(REQUEST, X, at(0));
    pair.exchange(40);
    pair.0[0].clear(REQUEST, at(50));
    pair.exchange(80);
    for (incarnation, millis) in [(X, 100), (Y, 110), (Z, 120)] {
        pair.0[1].record_break(REQUEST, incarnation, at(millis));
        pair.exchange(millis + 5);
    }
    assert_eq!(pair.refused(200), [true, true]);
}
