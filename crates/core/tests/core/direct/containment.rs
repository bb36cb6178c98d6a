//! Requests that crash endpoints, and endpoints that break off for other reasons.

use comfreyhaven_core::direct::{Containment, Fingerprint, Scheduler, Scope, Source};
use comfreyhaven_core::request::{BodyDigest, PartDigest};

use super::{address, at, scheduler};

/// Digests of incarnations.
const X: u64 = 10;
const Y: u64 = 20;
const Z: u64 = 30;

/// Returns the request that comes again and again.
fn equal() -> Fingerprint {
    request(1, &[])
}

fn request(body: u64, parts: &[u64]) -> Fingerprint {
    let mut parts: Vec<_> = parts.iter().map(|part| PartDigest(*part)).collect();
    parts.sort_unstable();
    Fingerprint {
        body: BodyDigest(body),
        parts: parts.into(),
    }
}

/// Two entries that report to each other.
struct Pair([Containment; 2]);

impl Pair {
    fn new() -> Self {
        Self([Containment::default(), Containment::default()])
    }

    fn exchange(&mut self, millis: u64) {
        for from in 0..2 {
            let source = Source::Entry(address(from as u8));
            let reported = self.0[from].reported(Scope::Entry, None, at(millis));
            self.0[1 - from].apply_report(source, reported, at(millis));
        }
    }

    fn refused(&self, millis: u64) -> [bool; 2] {
        self.contain(&equal(), millis)
    }

    fn contain(&self, request: &Fingerprint, millis: u64) -> [bool; 2] {
        [0, 1].map(|entry| self.0[entry].contained(request, at(millis)).is_some())
    }
}

/// Guards against refusing equal requests of many callers, since one endpoint breaks off whatever it
/// gets.
#[test]
fn an_endpoint_that_breaks_off_again_and_again_contains_no_request() {
    let mut pair = Pair::new();
    for step in 0..10 {
        pair.0[step % 2].record_break(&equal(), X, false, at(step as u64 * 100));
        pair.exchange(step as u64 * 100 + 40);
    }
    assert_eq!(pair.refused(2_000), [false, false]);
}

/// Guards against counting a crash for each of the equal requests that ran in it.
#[test]
fn requests_that_break_off_in_one_crash_count_once() {
    let mut pair = Pair::new();
    for entry in 0..2 {
        pair.0[entry].record_break(&equal(), X, false, at(0));
        pair.0[entry].record_break(&equal(), Y, false, at(10));
    }
    pair.exchange(40);
    assert_eq!(pair.refused(50), [false, false]);
    pair.0[1].record_break(&equal(), Z, false, at(60));
    pair.exchange(80);
    assert_eq!(pair.refused(90), [true, true]);
}

/// Guards against refusing a request for endpoints that have broken off and go on: at once, and at the
/// peers.
#[test]
fn an_endpoint_that_answers_after_a_break_has_not_crashed() {
    let mut pair = Pair::new();
    for (incarnation, millis) in [(X, 0), (Y, 10), (Z, 20)] {
        pair.0[0].record_break(&equal(), incarnation, false, at(millis));
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
    let mut entry = Containment::default();
    for (incarnation, millis) in [(X, 100), (Y, 110), (Z, 120)] {
        entry.record_break(&equal(), incarnation, false, at(millis));
    }
    entry.record_answer(X, at(99), at(130));
    entry.record_answer(Y, at(1_110), at(1_200));
    assert!(entry.contained(&equal(), at(1_300)).is_some());
}

/// Guards against a request that crashes endpoints again after one complete answer, and is never
/// refused since its completion is reported for seconds.
#[test]
fn a_completion_clears_only_what_was_before_it() {
    let mut pair = Pair::new();
    pair.0[0].record_break(&equal(), X, false, at(0));
    pair.exchange(40);
    pair.0[0].record_completion(&equal(), at(50));
    pair.exchange(80);
    for (incarnation, millis) in [(X, 100), (Y, 110), (Z, 120)] {
        pair.0[1].record_break(&equal(), incarnation, false, at(millis));
        pair.exchange(millis + 5);
    }
    assert_eq!(pair.refused(200), [true, true]);
}

#[test]
fn a_request_that_crashes_endpoints_is_refused_by_all_entries() {
    let (mut one, mut two) = (scheduler(1, &[2]), scheduler(2, &[1]));
    let crash = |entry: &mut Scheduler, incarnation, millis| {
        let containment = entry.containment_mut();
        containment.record_break(&equal(), incarnation, false, at(millis));
    };
    let is_contained = |entry: &Scheduler, body, millis| {
        let containment = entry.containment();
        containment
            .contained(&request(body, &[]), at(millis))
            .is_some()
    };
    crash(&mut one, 1, 0);
    crash(&mut two, 2, 10);
    crash(&mut two, 3, 20);
    assert!(!is_contained(&one, 1, 30));
    let report = two.report(at(40));
    one.apply_report(address(2), report, at(41));
    assert!(is_contained(&one, 1, 50));
    assert!(!is_contained(&one, 2, 50));
    assert!(
        !is_contained(&one, 1, 90_000),
        "the refusal does not expire"
    );
}

/// Returns whether a request is refused after three more breaks, and not sooner.
fn counts_from_zero(entry: &mut Containment, incarnation: u64, millis: u64) -> bool {
    let refused = [0, 1, 2].map(|number| {
        entry.record_break(&equal(), incarnation + number, false, at(millis + number));
        entry.contained(&equal(), at(millis + number)).is_some()
    });
    refused == [false, false, true]
}

#[test]
fn a_complete_answer_clears_the_suspicion() {
    let mut entry = Containment::default();
    entry.record_break(&equal(), 1, false, at(0));
    entry.record_break(&equal(), 2, false, at(1));
    entry.record_completion(&equal(), at(1));
    assert!(counts_from_zero(&mut entry, 3, 2));
}

/// Guards against a request that is refused at its peers although it ran to its end at one entry.
#[test]
fn a_complete_answer_clears_the_suspicion_at_peers() {
    let mut pair = Pair::new();
    pair.0[0].record_break(&equal(), 1, false, at(0));
    pair.0[1].record_break(&equal(), 2, false, at(0));
    pair.0[1].record_break(&equal(), 3, false, at(1));
    pair.exchange(2);
    assert!(pair.refused(3)[0]);
    pair.0[0].record_completion(&equal(), at(3));
    pair.exchange(40);
    for entry in &mut pair.0 {
        assert!(counts_from_zero(entry, 4, 50));
    }
}

/// Guards against counting crashes that are none: of endpoints that live or may live, and of a part
/// whose runs go on.
#[test]
fn a_part_is_held_for_endpoints_that_have_ended_only() {
    let mut pair = Pair::new();
    let crash = |entry: &mut Containment, incarnation, millis, ends| {
        let crashing = request(incarnation, &[7, 100 + incarnation]);
        entry.record_break(&crashing, incarnation, false, at(millis));
        if ends {
            entry.record_end(incarnation, at(millis + 1));
        }
    };
    let next = request(99, &[7, 99]);
    for incarnation in 0..8 {
        crash(&mut pair.0[0], incarnation, incarnation * 200, false);
    }
    pair.exchange(2_000);
    assert_eq!(pair.contain(&next, 2_000), [false, false]);
    crash(&mut pair.0[0], 20, 3_000, true);
    crash(&mut pair.0[1], 21, 3_100, true);
    pair.exchange(3_200);
    assert_eq!(pair.contain(&next, 3_200), [false, false]);
    crash(&mut pair.0[0], 22, 3_300, true);
    pair.exchange(3_400);
    assert_eq!(pair.contain(&next, 3_400), [true, true]);
    assert_eq!(pair.contain(&request(98, &[8, 98]), 3_400), [false, false]);
    pair.0[1].record_sound(&next, at(3_350), at(4_400));
    pair.exchange(4_450);
    assert_eq!(pair.contain(&next, 4_450), [false, false]);
}

/// Guards against refusing sound requests that share with the crashing ones the parts that have been in
/// all of them.
#[test]
fn parts_that_cannot_be_told_apart_are_held_together() {
    let mut entry = Containment::default();
    let crash = |entry: &mut Containment, number: u64, parts: &[u64]| {
        entry.record_break(&request(number, parts), number, false, at(number * 100));
        entry.record_end(number, at(number * 100 + 1));
    };
    for number in 0..3 {
        crash(&mut entry, number, &[5, 6, 7, 100 + number]);
    }
    let is_held = |entry: &Containment, parts: &[u64], millis| {
        entry.contained(&request(50, parts), at(millis)).is_some()
    };
    assert!(is_held(&entry, &[5, 6, 7, 50], 300));
    assert!(!is_held(&entry, &[5, 6, 50], 300));
    entry.record_sound(&request(50, &[5, 6, 50]), at(350), at(1_400));
    assert!(is_held(&entry, &[7, 51], 1_400), "only one part is left");
    assert!(!is_held(&entry, &[5, 6, 52], 1_400));
}

/// Guards against a part that is free again since other endpoints break off and live.
#[test]
fn breaks_of_endpoints_that_live_evict_no_crash() {
    let mut entry = Containment::default();
    for number in 0..3 {
        let crashing = request(number, &[7, 100 + number]);
        entry.record_break(&crashing, number, false, at(number * 100));
        entry.record_end(number, at(number * 100 + 1));
    }
    for number in 1_000..4_000 {
        let millis = 400 + number / 10;
        entry.record_break(&request(number, &[number]), number, false, at(millis));
        entry.record_answer(number, at(millis), at(millis + 1));
    }
    assert!(entry.contained(&request(50, &[7, 50]), at(900)).is_some());
}

/// Guards against an entry that started later and lets requests through which its peers hold: it knows
/// the hold from before its parts could be told apart, but not the crashes.
#[test]
fn an_entry_without_evidence_follows_its_peers() {
    let mut pair = Pair::new();
    let crash = |entry: &mut Containment, number: u64, parts: &[u64]| {
        entry.record_break(&request(number, parts), number, false, at(number * 100));
        entry.record_end(number, at(number * 100 + 1));
    };
    for number in 0..3 {
        crash(&mut pair.0[0], number, &[5, 7, 100 + number]);
    }
    // Crashes are reported for 5 s, holds as long as they last.
    pair.exchange(6_000);
    assert_eq!(pair.contain(&request(50, &[5, 7, 50]), 6_000), [true, true]);
    pair.0[0].record_sound(&request(51, &[5, 51]), at(6_100), at(7_200));
    assert_eq!(pair.contain(&request(52, &[7, 52]), 7_200), [true, false]);
    pair.exchange(12_300);
    assert_eq!(pair.contain(&request(53, &[7, 53]), 12_300), [true, true]);
}

/// Guards against crashes that count as one, since an endpoint starts again under its id while the store
/// does not show its new record.
#[test]
fn an_endpoint_that_starts_again_under_its_id_crashes_again() {
    let mut pair = Pair::new();
    for number in 0..3 {
        let sent = number * 2_000;
        for entry in &mut pair.0 {
            let reached = entry.reached(X, at(sent));
            entry.record_break(
                &request(number, &[7, 100 + number]),
                reached,
                false,
                at(sent + 80),
            );
            entry.record_end(reached, at(sent + 81));
            let late = entry.reached(X, at(sent));
            assert_eq!(late, reached, "requests sent before the crash belong to it");
        }
        pair.exchange(sent + 120);
    }
    assert_eq!(pair.contain(&request(50, &[7, 50]), 4_200), [true, true]);
}

/// Guards against holding the parts that sound requests share, since all endpoints ended before any of
/// these had run to its end: crashes alone do not tell then.
#[test]
fn parts_of_few_requests_are_held_where_crashes_do_not_tell() {
    let mut entry = Containment::default();
    for number in 0..4 {
        let millis = number * 100;
        // The crashing part is 7, the one of the sound requests is 9.
        entry.record_break(
            &request(number, &[5, 7, 100 + number]),
            number,
            false,
            at(millis),
        );
        for beside in 0..3 {
            let sound = request(50 + beside, &[5, 9, 200 + 10 * number + beside]);
            entry.record_break(&sound, number, beside == 0, at(millis));
        }
        entry.record_end(number, at(millis + 1));
    }
    assert!(
        entry
            .contained(&request(90, &[5, 7, 90]), at(400))
            .is_some()
    );
    assert!(
        entry
            .contained(&request(91, &[5, 9, 91]), at(400))
            .is_none()
    );
}

/// Guards against requests that broke off at an endpoint which lived, and count at its crash later.
#[test]
fn requests_of_an_endpoint_that_lived_are_no_evidence_of_its_crash() {
    let mut pair = Pair::new();
    for number in 0..3 {
        let millis = number * 300;
        let sound = request(number, &[9, 100 + number]);
        pair.0[0].record_break(&sound, number, false, at(millis));
        pair.exchange(millis + 2);
        pair.0[0].record_answer(number, at(millis + 5), at(millis + 10));
        pair.exchange(millis + 50);
        let crashing = request(10 + number, &[7, 200 + number]);
        pair.0[1].record_break(&crashing, number, false, at(millis + 100));
        pair.0[1].record_end(number, at(millis + 101));
        pair.exchange(millis + 140);
    }
    assert_eq!(pair.contain(&request(90, &[7, 90]), 1_000), [true, true]);
    assert_eq!(pair.contain(&request(91, &[9, 91]), 1_000), [false, false]);
}

/// Guards against a part that stays held, although its test went on at an entry that knows the hold but
/// not the crashes.
#[test]
fn a_test_of_an_entry_without_evidence_frees_a_part_everywhere() {
    let mut pair = Pair::new();
    for number in 0..3 {
        let crashing = request(number, &[5, 7, 100 + number]);
        pair.0[0].record_break(&crashing, number, false, at(number * 100));
        pair.0[0].record_end(number, at(number * 100 + 1));
    }
    pair.exchange(6_000);
    let test = request(50, &[5, 7, 50]);
    assert_eq!(pair.contain(&test, 6_000), [true, true]);
    assert!(pair.0[1].admit(&test, |_| 0, at(21_000)).is_ok());
    pair.exchange(21_040);
    let other = request(51, &[5, 7, 51]);
    assert_eq!(
        pair.contain(&other, 21_050),
        [true, true],
        "one test at a time"
    );
    assert!(pair.0[0].admit(&other, |_| 0, at(21_060)).is_err());
    pair.0[1].record_sound(&test, at(21_100), at(22_100));
    pair.exchange(22_140);
    assert_eq!(pair.contain(&other, 22_150), [false, false]);
}

/// Guards against a part that peers never hear of, since other parts fill their reports, and against
/// reports that grow with the prompts.
#[test]
fn parts_of_the_longest_prompts_reach_peers_in_bounded_reports() {
    const CULPRIT: u64 = u64::MAX;
    const LONGEST: u64 = 4_000;
    let mut pair = Pair::new();
    for (number, incarnation) in [X, Y, Z].into_iter().enumerate() {
        let from = number as u64 * 100;
        let first = 1_000 + number as u64 * LONGEST;
        let mut parts: Vec<_> = (first..first + LONGEST).collect();
        parts.push(CULPRIT);
        let broken = request(number as u64, &parts);
        pair.0[0].record_break(&broken, incarnation, false, at(from));
        pair.0[0].record_end(incarnation, at(from + 1));
    }
    for step in 0..20 {
        let now = 300 + step * 40;
        let report = pair.0[0].reported(Scope::Entry, None, at(now));
        let requests = report.crashes.iter().flat_map(|crash| &crash.requests);
        let stated: usize = requests.map(|request| request.parts.len()).sum();
        assert!(stated <= 2_048, "{stated} parts in a report");
        pair.exchange(now);
    }
    assert_eq!(pair.contain(&request(9, &[CULPRIT]), 1_200), [true, true]);
    assert_eq!(pair.contain(&request(9, &[1_000]), 1_200), [false, false]);
}
