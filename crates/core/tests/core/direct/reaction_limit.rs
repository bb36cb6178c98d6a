//! How long requests wait for endpoints that have gone dark.

use std::time::Duration;

use comfreyhaven_core::direct::ReactionLimit;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LONGEST: Duration = Duration::from_millis(300);

/// Time within which a request has to reach an endpoint.
const OBJECTIVE: Duration = Duration::from_millis(250);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the part of requests that reach an endpoint within the objective, of which one in `dark` has
/// gone dark, and how long sound ones take in milliseconds. A request that hears nothing tries another
/// endpoint.
fn part_in_time(limit: &mut ReactionLimit, dark: u32, sound_ms: std::ops::Range<u64>) -> f64 {
    const REQUESTS: u32 = 2_000;
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut in_time = 0;
    for _ in 0..REQUESTS {
        let mut spent = Duration::ZERO;
        while spent < OBJECTIVE {
            let allowed = limit.limit();
            let needed = millis(random.random_range(sound_ms.clone()));
            if random.random_ratio(1, dark) || needed > allowed {
                limit.record_silence();
                spent += allowed;
                continue;
            }
            limit.record_reaction(needed);
            in_time += u32::from(spent + needed <= OBJECTIVE);
            break;
        }
    }
    f64::from(in_time) / f64::from(REQUESTS)
}

#[test]
fn requests_that_meet_a_dark_endpoint_are_still_in_time() {
    for dark in [4, 8, 40] {
        let mut limit = ReactionLimit::default();
        part_in_time(&mut limit, 1_000, 2..6);
        let part = part_in_time(&mut limit, dark, 2..6);
        assert!(part > 0.95, "one in {dark} is dark: {part}");
    }
}

/// A link that becomes narrow or an entry that lacks processor time makes all endpoints slow.
#[test]
fn the_limit_follows_a_network_that_becomes_slow() {
    let mut limit = ReactionLimit::default();
    part_in_time(&mut limit, 1_000, 2..6);
    assert_eq!(limit.limit(), millis(60));
    let part = part_in_time(&mut limit, 1_000, 80..160);
    assert!(part > 0.95, "{part}");
    assert!(limit.limit() >= millis(160), "{:?}", limit.limit());
    part_in_time(&mut limit, 1_000, 2..6);
    assert_eq!(limit.limit(), millis(60));
}

#[test]
fn dark_endpoints_alone_do_not_prolong_the_limit() {
    let mut limit = ReactionLimit::default();
    for _ in 0..30 {
        limit.record_reaction(millis(3));
    }
    for _ in 0..1_000 {
        for _ in 0..3 {
            limit.record_silence();
        }
        limit.record_reaction(millis(3));
        assert_eq!(limit.limit(), millis(60));
    }
}

#[test]
fn nothing_is_cut_short_before_a_reaction_is_known() {
    let mut limit = ReactionLimit::default();
    limit.record_silence();
    assert_eq!(limit.limit(), LONGEST);
    limit.record_reaction(millis(100));
    assert_eq!(limit.limit(), LONGEST);
}
