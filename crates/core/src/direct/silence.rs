//! Load pattern: endpoints that take requests and then say nothing. They hang, are cut off without a
//! word, or lose an answer; their requests would hold a place until the deadline and fail then.
//!
//! A request that may be repeated leaves such an endpoint while there is time for another one.

use std::time::Duration;

/// Time beyond what is expected in which an answer that is no stream has to begin.
const PLAIN_SLACK: Duration = Duration::from_millis(500);

/// Time beyond what is expected in which a stream has to begin: the prompts of others are read first.
const STREAM_SLACK: Duration = Duration::from_millis(1_200);

/// Factor on the expected time by which it may prove wrong.
const DOUBT: u32 = 3;

/// Longest time for which a begun stream may be silent, at least.
const PAUSE_MIN: Duration = Duration::from_millis(1_000);

/// Longest time for which a begun stream may be silent, in pauses that are on time.
const PAUSES: u32 = 3;

/// How long an endpoint may take to begin an answer that is expected after `expected`.
#[must_use]
pub fn first_byte(expected: Duration, streaming: bool) -> Duration {
    let slack = if streaming { STREAM_SLACK } else { PLAIN_SLACK };
    expected * DOUBT + slack
}

/// How long a stream may be silent of which pauses up to `pause` are on time.
#[must_use]
pub fn next_event(pause: Option<Duration>) -> Duration {
    PAUSE_MIN.max(pause.unwrap_or_default() * PAUSES)
}
