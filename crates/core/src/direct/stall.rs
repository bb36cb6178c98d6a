//! Timeouts after which a request leaves an endpoint that has stalled: it hangs, is disconnected
//! without notice, or has lost the answer. Without them, the request would occupy a slot until its
//! deadline and fail.
//!
//! A request that may be retried is moved to another endpoint while there is time.

use std::time::Duration;

/// Time beyond the expected one in which an answer that is not a stream has to start.
const PLAIN_SLACK: Duration = Duration::from_millis(500);

/// Time beyond the expected one in which a stream has to start. It is longer, since the prompts of
/// other requests are processed first.
const STREAM_SLACK: Duration = Duration::from_millis(1_200);

/// Safety factor on the expected time.
const EXPECTED_FACTOR: u32 = 3;

/// Least timeout between two events of a stream.
const GAP_TIMEOUT_MIN: Duration = Duration::from_millis(1_000);

/// Timeout between two events, as a multiple of the longest acceptable gap.
const GAP_FACTOR: u32 = 3;

/// Returns how long an endpoint may take to start an answer that is expected after `expected`.
#[must_use]
pub fn first_byte_timeout(expected: Duration, streaming: bool) -> Duration {
    let slack = if streaming { STREAM_SLACK } else { PLAIN_SLACK };
    expected * EXPECTED_FACTOR + slack
}

/// Returns how long an endpoint may take for the next event of a stream whose acceptable gap is
/// `gap`.
#[must_use]
pub fn next_event_timeout(gap: Option<Duration>) -> Duration {
    GAP_TIMEOUT_MIN.max(gap.unwrap_or_default() * GAP_FACTOR)
}
