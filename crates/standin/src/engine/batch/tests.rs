use std::time::Duration;

use tokio::sync::mpsc;

use super::{Admission, Batch, CRASH_MARK};
use crate::answer_text;
use crate::engine::Spec;
use crate::engine::sequence::Output;

fn spec() -> Spec {
    Spec {
        batch: 4,
        prefill: 1_000,
        step: Duration::from_millis(16),
        cache: 1_024,
        cold: 2,
        warm_up: 4,
        bearing: 6,
        restart: Duration::from_secs(1),
        lag: Duration::ZERO,
    }
}

fn batch() -> Batch {
    Batch::new(spec(), 1)
}

fn admit(batch: &mut Batch, prompt: &str) -> mpsc::Receiver<Output> {
    match batch.admit(prompt.to_owned(), 4) {
        Admission::Admitted(receiver) => receiver,
        other => panic!("not admitted: {other:?}"),
    }
}

fn drain(batch: &mut Batch) {
    while batch.plan().is_some() {
        batch.advance();
    }
}

fn warm(batch: &mut Batch) {
    for index in 0..spec().warm_up {
        let _receiver = admit(batch, &format!("w{index}"));
        drain(batch);
    }
}

fn read(mut receiver: mpsc::Receiver<Output>) -> (String, bool) {
    let mut text = String::new();
    while let Ok(output) = receiver.try_recv() {
        match output {
            Output::Token(token) => text += &token,
            Output::Done { .. } => return (text, true),
        }
    }
    (text, false)
}

#[test]
fn each_request_gets_its_own_whole_text() {
    let mut batch = batch();
    let first = admit(&mut batch, "first");
    let second = admit(&mut batch, "second");
    drain(&mut batch);
    assert_eq!(read(first), (answer_text::text("first", 4), true));
    assert_eq!(read(second), (answer_text::text("second", 4), true));
}

#[test]
fn a_cold_engine_falls_over_where_a_warm_one_does_not() {
    let mut batch = batch();
    let lost = [admit(&mut batch, "a"), admit(&mut batch, "b")];
    assert!(matches!(batch.admit("c".to_owned(), 4), Admission::Crashed));
    assert!(lost.into_iter().all(|receiver| !read(receiver).1));
    assert_eq!(batch.totals().overruns, 1);
    batch.start(2);
    warm(&mut batch);
    let kept: Vec<_> = (0..6)
        .map(|index| admit(&mut batch, &format!("k{index}")))
        .collect();
    drain(&mut batch);
    assert!(kept.into_iter().all(|receiver| read(receiver).1));
    assert_eq!(batch.totals().crashes, 1);
}

#[test]
fn bearing_rises_at_least_by_one_for_each_completion() {
    let mut batch = batch();
    for running in 2..=6 {
        let held: Vec<_> = (0..running)
            .map(|index| admit(&mut batch, &format!("{running}-{index}")))
            .collect();
        drop(held);
        drain(&mut batch);
        let _whole = admit(&mut batch, &format!("whole-{running}"));
        drain(&mut batch);
    }
    assert_eq!(batch.totals().crashes, 0);
}

#[test]
fn a_sudden_cold_keeps_the_boot_and_what_runs() {
    let mut batch = batch();
    warm(&mut batch);
    let running: Vec<_> = (0..6)
        .map(|index| admit(&mut batch, &format!("r{index}")))
        .collect();
    let boot = batch.report().boot;
    batch.cool();
    let later = [admit(&mut batch, "x"), admit(&mut batch, "y")];
    assert_eq!(batch.report().boot, boot);
    drain(&mut batch);
    assert!(running.into_iter().chain(later).all(|one| read(one).1));
    batch.cool();
    let _held = [admit(&mut batch, "p"), admit(&mut batch, "q")];
    assert!(matches!(batch.admit("z".to_owned(), 4), Admission::Crashed));
}

#[test]
fn a_crash_gives_a_new_boot_and_an_empty_cache() {
    let mut batch = batch();
    let prompt = "a prompt of several blocks ".repeat(20);
    let _first = admit(&mut batch, &prompt);
    drain(&mut batch);
    let once = batch.totals().prefill;
    batch.crash();
    assert!(matches!(batch.admit("x".to_owned(), 4), Admission::Down));
    batch.start(7);
    assert_eq!(batch.report().boot, 7);
    let _again = admit(&mut batch, &prompt);
    drain(&mut batch);
    assert_eq!(batch.totals().prefill, 2 * once);
}

#[test]
fn a_marked_request_crashes_the_engine() {
    let mut batch = batch();
    let marked = batch.admit(format!("please {CRASH_MARK}"), 4);
    assert!(matches!(marked, Admission::Crashed));
    assert_eq!(batch.totals().overruns, 0);
}

#[test]
fn a_shared_prefix_is_computed_once_and_only_after_its_prefill() {
    let mut batch = batch();
    warm(&mut batch);
    let prefix = "shared text of a route ".repeat(30);
    let _first = admit(&mut batch, &format!("{prefix} one"));
    let _second = admit(&mut batch, &format!("{prefix} two"));
    batch.plan();
    batch.advance();
    let _third = admit(&mut batch, &format!("{prefix} three"));
    drain(&mut batch);
    let tokens = (prefix.len() / 4) as u64;
    let prefill = batch.totals().prefill;
    assert!(prefill >= 2 * tokens, "two were in the batch together");
    assert!(prefill < 3 * tokens, "the third found the prefix cached");
}

#[test]
fn a_cancelled_request_leaves_the_batch_and_its_prefill_is_wasted() {
    let mut batch = batch();
    let cancelled = admit(&mut batch, &"text ".repeat(40));
    batch.plan();
    batch.advance();
    drop(cancelled);
    assert_eq!(batch.plan(), None);
    assert_eq!(batch.totals().cancelled, 1);
    assert_eq!(batch.totals().wasted, 50);
}

#[test]
fn a_slow_engine_takes_longer_for_the_same_step() {
    let mut batch = batch();
    warm(&mut batch);
    let _receiver = admit(&mut batch, "x");
    let usual = batch.plan();
    batch.slow(300);
    assert_eq!(batch.plan(), usual.map(|time| time * 3));
}
