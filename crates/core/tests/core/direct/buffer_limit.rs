//! 200 callers that read slowly beside others that read at once, and endpoints that read their requests
//! slowly.

use std::collections::HashSet;

use comfreyhaven_core::direct::{BufferLimit, BufferSizes, HoldError, HolderId, Holding};

use super::at;

const SIZES: BufferSizes = BufferSizes::of_memory(160 << 20);

/// Bytes that an endpoint sends for each stream in each step of 20 ms.
const EVENT_BYTES: usize = 8 << 10;

const STEP_MS: u64 = 20;

/// Opens a stream for each caller and sends events for `seconds`. The callers with an index from `slow` on
/// take `taken` bytes in each step, the others all. Returns which were ended, and the most bytes held.
fn run(callers: usize, slow: usize, taken: usize, seconds: u64) -> (HashSet<usize>, usize) {
    let mut limit = BufferLimit::new(SIZES);
    let ids: Vec<HolderId> = (0..callers).map(|_| limit.open(Holding::Stream)).collect();
    let (mut ended, mut most) = (HashSet::new(), 0);
    for step in 0..seconds * 1_000 / STEP_MS {
        let now = at(step * STEP_MS);
        for (index, id) in ids.iter().enumerate() {
            if ended.contains(&index) {
                continue;
            }
            match limit.hold(*id, EVENT_BYTES, now) {
                Ok(others) => ended.extend(
                    others
                        .iter()
                        .filter_map(|other| ids.iter().position(|id| id == other)),
                ),
                Err(_) => {
                    limit.close(*id);
                    ended.insert(index);
                }
            }
            most = most.max(limit.held());
            let taken = if index < slow { EVENT_BYTES } else { taken };
            if taken > 0 {
                limit.release(*id, taken, now);
            }
        }
    }
    (ended, most)
}

#[test]
fn slow_callers_are_ended_at_the_bound_and_no_other() {
    let (ended, most) = run(500, 300, 0, 4);
    assert!(most <= SIZES.total, "{most}");
    assert_eq!(ended, (300..500).collect());
}

#[test]
fn a_caller_that_reads_half_as_fast_is_ended_later_than_one_that_reads_nothing() {
    let (ended, _) = run(300, 100, EVENT_BYTES / 2, 2);
    let (all, _) = run(300, 100, 0, 2);
    assert!(ended.len() < all.len(), "{} {}", ended.len(), all.len());
    assert!(ended.iter().all(|index| *index >= 100));
}

/// Guards against callers that are ended although there is room: these leave a second unread.
#[test]
fn few_slow_callers_are_not_ended_within_their_bound() {
    let (ended, most) = run(100, 80, 0, 1);
    assert!(ended.is_empty(), "{ended:?}");
    assert_eq!(most, 20 * EVENT_BYTES * 50);
}

#[test]
fn one_stream_holds_no_more_than_its_bound() {
    let mut limit = BufferLimit::new(SIZES);
    let id = limit.open(Holding::Stream);
    assert_eq!(limit.hold(id, SIZES.stream, at(0)), Ok(vec![]));
    assert_eq!(limit.hold(id, 1, at(0)), Err(HoldError::StreamFull));
    limit.release(id, 1, at(1));
    assert_eq!(limit.hold(id, 1, at(1)), Ok(vec![]));
}

/// A caller that has just got a large answer is not slow.
#[test]
fn a_large_answer_that_is_new_stays_and_an_old_one_goes() {
    let mut limit = BufferLimit::new(SIZES);
    let deliver = |limit: &mut BufferLimit, millis| {
        let id = limit.open(Holding::Request);
        let held = limit.hold(id, 8 << 20, at(millis));
        limit.deliver(id, at(millis));
        (id, held)
    };
    let (old, _) = deliver(&mut limit, 0);
    for millis in [900, 950, 1_000, 1_050] {
        assert_eq!(deliver(&mut limit, millis).1, Ok(vec![]));
    }
    assert_eq!(deliver(&mut limit, 1_100).1, Ok(vec![old]));
}

#[test]
fn requests_that_are_not_over_are_never_ended_and_leave_room_for_answers() {
    let mut limit = BufferLimit::new(SIZES);
    let held = (0..100).filter(|_| {
        let id = limit.open(Holding::Request);
        limit.hold(id, 1 << 20, at(0)) == Ok(vec![])
    });
    assert_eq!(held.count() << 20, SIZES.requests);
    let (answer, next) = (limit.open(Holding::Answer), limit.open(Holding::Answer));
    assert_eq!(limit.hold(answer, 16 << 20, at(1)), Ok(vec![]));
    assert_eq!(limit.hold(next, 8 << 20, at(9)), Ok(vec![answer]));
    limit.close(next);
    assert_eq!(limit.held(), SIZES.requests);
}

/// What is released or closed twice, or after its end, counts once.
#[test]
fn bytes_of_an_ended_holder_count_no_more() {
    let mut limit = BufferLimit::new(SIZES);
    let id = limit.open(Holding::Answer);
    assert_eq!(limit.hold(id, SIZES.total + 1, at(0)), Ok(vec![id]));
    limit.release(id, 1, at(1));
    limit.close(id);
    assert_eq!(limit.held(), 0);
    assert_eq!(limit.hold(id, 1, at(2)), Err(HoldError::Ended));
}
