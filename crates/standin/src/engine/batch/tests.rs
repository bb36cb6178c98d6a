use std::time::Duration;

use tokio::sync::mpsc;

use super::{Admission, Batch, CRASH_MARKER};
use crate::answer_text;
use crate::engine::Spec;
use crate::engine::sequence::Output;

fn spec() -> Spec {
    Spec {
        batch_size: 4,
        prefill_rate: 1_000,
        decode_step: Duration::from_millis(16),
        cache_tokens: 1_024,
        cold_capacity: 2,
        warm_up: 4,
        warm_capacity: 6,
        restart_time: Duration::from_secs(1),
        report_lag: Duration::ZERO,
    }
}

fn batch() -> Batch {
    Batch::new(spec(), 1)
}

fn admit(batch: &mut Batch, prompt: &str) -> mpsc::Receiver<Output> {
    match batch.admit(prompt.to_owned(), 4) {
        Admission::Admitted(receiver) => receiver,
        other => panic!("the request was not admitted: {other:?}"),
    }
}

fn run_to_idle(batch: &mut Batch) {
    while batch.next_step().is_some() {
        batch.advance();
    }
}

fn warm_up(batch: &mut Batch) {
    for index in 0..spec().warm_up {
        let _receiver = admit(batch, &format!("w{index}"));
        run_to_idle(batch);
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
fn each_request_gets_its_own_complete_text() {
    let mut batch = batch();
    let first = admit(&mut batch, "first");
    let second = admit(&mut batch, "second");
    run_to_idle(&mut batch);
    assert_eq!(read(first), (answer_text::text("first", 4), true));
    assert_eq!(read(second), (answer_text::text("second", 4), true));
}

#[test]
fn a_cold_engine_crashes_at_a_load_that_a_warm_one_handles() {
    let mut batch = batch();
    let dropped = [admit(&mut batch, "a"), admit(&mut batch, "b")];
    assert!(matches!(batch.admit("c".to_owned(), 4), Admission::Crashed));
    assert!(dropped.into_iter().all(|receiver| !read(receiver).1));
    assert_eq!(batch.totals().overruns, 1);
    batch.start(2);
    warm_up(&mut batch);
    let admitted: Vec<_> = (0..6)
        .map(|index| admit(&mut batch, &format!("k{index}")))
        .collect();
    run_to_idle(&mut batch);
    assert!(admitted.into_iter().all(|receiver| read(receiver).1));
    assert_eq!(batch.totals().crashes, 1);
}

#[test]
fn capacity_rises_at_least_by_one_for_each_completion() {
    let mut batch = batch();
    for running in 2..=6 {
        let cancelled: Vec<_> = (0..running)
            .map(|index| admit(&mut batch, &format!("{running}-{index}")))
            .collect();
        drop(cancelled);
        run_to_idle(&mut batch);
        let _completed = admit(&mut batch, &format!("whole-{running}"));
        run_to_idle(&mut batch);
    }
    assert_eq!(batch.totals().crashes, 0);
}

#[test]
fn turning_cold_keeps_the_boot_and_the_running_requests() {
    let mut batch = batch();
    warm_up(&mut batch);
    let running: Vec<_> = (0..6)
        .map(|index| admit(&mut batch, &format!("r{index}")))
        .collect();
    let boot = batch.report().boot;
    batch.turn_cold();
    let later = [admit(&mut batch, "x"), admit(&mut batch, "y")];
    assert_eq!(batch.report().boot, boot);
    run_to_idle(&mut batch);
    assert!(running.into_iter().chain(later).all(|one| read(one).1));
    batch.turn_cold();
    let _admitted = [admit(&mut batch, "p"), admit(&mut batch, "q")];
    assert!(matches!(batch.admit("z".to_owned(), 4), Admission::Crashed));
}

#[test]
fn a_crash_gives_a_new_boot_and_an_empty_cache() {
    let mut batch = batch();
    let prompt = "a prompt of several blocks ".repeat(20);
    let _first = admit(&mut batch, &prompt);
    run_to_idle(&mut batch);
    let first_prefill = batch.totals().prefill;
    batch.crash();
    assert!(matches!(batch.admit("x".to_owned(), 4), Admission::Down));
    batch.start(7);
    assert_eq!(batch.report().boot, 7);
    let _again = admit(&mut batch, &prompt);
    run_to_idle(&mut batch);
    assert_eq!(batch.totals().prefill, 2 * first_prefill);
}

#[test]
fn a_marked_request_crashes_the_engine() {
    let mut batch = batch();
    let marked = batch.admit(format!("please {CRASH_MARKER}"), 4);
    assert!(matches!(marked, Admission::Crashed));
    assert_eq!(batch.totals().overruns, 0);
}

#[test]
fn a_shared_prefix_is_cached_only_after_its_prefill() {
    let mut batch = batch();
    warm_up(&mut batch);
    let prefix = "shared text of a route ".repeat(30);
    let _first = admit(&mut batch, &format!("{prefix} one"));
    let _second = admit(&mut batch, &format!("{prefix} two"));
    batch.next_step();
    batch.advance();
    let _third = admit(&mut batch, &format!("{prefix} three"));
    run_to_idle(&mut batch);
    let tokens = (prefix.len() / 4) as u64;
    let prefill = batch.totals().prefill;
    assert!(
        prefill >= 2 * tokens,
        "the first two requests prefill the prefix concurrently"
    );
    assert!(
        prefill < 3 * tokens,
        "the third request finds the prefix in the cache"
    );
}

#[test]
fn a_cancelled_request_leaves_the_batch_and_counts_its_prefill_as_wasted() {
    let mut batch = batch();
    let cancelled = admit(&mut batch, &"text ".repeat(40));
    batch.next_step();
    batch.advance();
    drop(cancelled);
    assert_eq!(batch.next_step(), None);
    assert_eq!(batch.totals().cancelled, 1);
    assert_eq!(batch.totals().wasted, 50);
}

#[test]
fn a_slow_engine_takes_longer_for_the_same_step() {
    let mut batch = batch();
    warm_up(&mut batch);
    let _receiver = admit(&mut batch, "x");
    let normal = batch.next_step();
    batch.set_step_percent(300);
    assert_eq!(batch.next_step(), normal.map(|time| time * 3));
}
