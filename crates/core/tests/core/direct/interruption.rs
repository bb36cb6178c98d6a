//! Replays of long prompts at endpoints of unlike speed, whose running streams they interrupt.

use std::time::Duration;

use comfreyhaven_core::direct::{Ending, Outcome, PlacementRequest, Scheduler, Ticket};

use super::simulation::{Kind, Policy, Simulation};
use super::{at, endpoint_record, placed, placement_request, scheduler};

/// Two fast endpoints for each one that takes over four times as long.
const FACTORS: [f64; 12] = [
    0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0,
];

/// Long plans, medium questions and short checks.
const KINDS: [Kind; 3] = [
    Kind {
        rank: 0,
        rate: 34.0,
        prompt: 6_600.0,
        length: 382.0,
        objective: 500,
    },
    Kind {
        rank: 1,
        rate: 43.0,
        prompt: 630.0,
        length: 290.0,
        objective: 300,
    },
    Kind {
        rank: 2,
        rate: 54.0,
        prompt: 1_800.0,
        length: 22.0,
        objective: 300,
    },
];

const GAP: Duration = Duration::from_millis(300);

/// A prompt that a fast endpoint reads within the gap, and a slow one does not.
const LONG_PROMPT: u64 = 12_000;

const SHORT_PROMPT: u64 = 600;

#[test]
fn few_streams_of_slow_endpoints_pause_for_too_long() {
    for load in [1.2, 1.8, 2.4] {
        let mut simulation =
            Simulation::new(Policy::Scheduled, 3, &FACTORS, 13, &KINDS).with_event_gap(GAP);
        // The speeds of the endpoints are learned first.
        simulation.add_load(0, 8_000, 0.6);
        simulation.run(10_000);
        simulation.pauses.clear();
        simulation.add_load(10_000, 22_000, load);
        simulation.run(60_000);
        let is_slow = |engine: &usize| FACTORS[*engine] > 1.0;
        let engines = 0..FACTORS.len();
        let (slow, slow_paused) = simulation.pauses.part(engines.clone().filter(is_slow));
        let (fast, fast_paused) = simulation.pauses.part(engines.filter(|e| !is_slow(e)));
        assert!(slow_paused < 0.05, "at load {load}: {slow_paused}");
        assert!(fast_paused < 0.01, "at load {load}: {fast_paused}");
        // Half as many endpoints of a fourth of the speed take their part once there is no room
        // elsewhere.
        let has_room = load < 1.5;
        assert!(
            has_room || slow * 10 > fast,
            "at load {load}: {slow}, {fast}"
        );
    }
}

fn request(ticket: u64, prompt: u64, now: u64) -> PlacementRequest {
    PlacementRequest {
        prompt,
        event_gap: Some(GAP),
        objective: at(now + 2_000),
        ..placement_request(ticket, 0, at(now))
    }
}

/// An entry that has observed a fast endpoint with one slot, which is taken, and a slow one.
fn entry_with_unlike_endpoints() -> Scheduler {
    let mut entry = scheduler(1, &[]);
    entry.upsert_endpoint(endpoint_record("fast", 1), at(0));
    observe(&mut entry, 0.004, 25, 0);
    assert!(placed(entry.submit(request(100, SHORT_PROMPT, 600_000), at(600_000))).is_some());
    entry.upsert_endpoint(endpoint_record("slow", 3), at(600_000));
    observe(&mut entry, 0.02, 100, 600_000);
    entry
}

/// Lets the entry observe answers of the only endpoint with a free slot.
fn observe(entry: &mut Scheduler, token_ms: f64, event_ms: u64, from: u64) {
    for ticket in 0..50 {
        let (now, prompt) = (from + ticket * 10_000, 100 + ticket * 150);
        let placed = entry.submit(request(from + ticket, prompt, now), at(now));
        let Some(Outcome::Placed(mut placement)) = placed else {
            panic!("the endpoint is free");
        };
        let first = now + 30 + (token_ms * prompt as f64) as u64;
        entry.record_first_byte(&mut placement.run, at(first));
        entry.record_events(&placement.run, 11, Duration::from_millis(10 * event_ms));
        entry.end(&placement.run, Ending::Complete, at(first + 10 * event_ms));
    }
}

#[test]
fn a_long_prompt_waits_until_it_interrupts_no_stream() {
    let mut entry = entry_with_unlike_endpoints();
    let now = 2_000_000;
    let idle = entry.submit(request(1, SHORT_PROMPT, now), at(now));
    let Some(Outcome::Placed(mut running)) = idle else {
        panic!("the slow endpoint is free");
    };
    entry.record_first_byte(&mut running.run, at(now + 50));
    let long = entry.submit(request(2, LONG_PROMPT, now + 100), at(now + 100));
    assert!(long.is_none(), "{long:?}");
    // A shorter prompt does not wait behind it.
    let short = entry.submit(request(3, SHORT_PROMPT, now + 110), at(now + 110));
    let Some(Outcome::Placed(short)) = short else {
        panic!("the slow endpoint has slots");
    };
    // It is placed once no stream runs there.
    entry.end(&short.run, Ending::Complete, at(now + 200));
    assert!(entry.process_queues(at(now + 210)).is_empty());
    entry.end(&running.run, Ending::Complete, at(now + 300));
    let outcomes = entry.process_queues(at(now + 310));
    assert!(
        matches!(&outcomes[..], [(Ticket(2), Outcome::Placed(_))]),
        "{outcomes:?}"
    );
}

/// The longest prompts interrupt streams for too long wherever they are placed.
#[test]
fn a_prompt_that_is_too_long_everywhere_is_not_kept_out() {
    let mut entry = scheduler(1, &[]);
    entry.upsert_endpoint(endpoint_record("only", 2), at(0));
    observe(&mut entry, 0.02, 100, 0);
    let now = 2_000_000;
    assert!(placed(entry.submit(request(1, SHORT_PROMPT, now), at(now))).is_some());
    let longest = entry.submit(request(2, LONG_PROMPT * 4, now + 500), at(now + 500));
    assert_eq!(placed(longest).as_deref(), Some("only"));
}
