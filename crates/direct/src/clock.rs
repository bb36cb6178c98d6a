//! The clock of a direct entry, which keeps running while the host is suspended.

use std::time::{Duration, SystemTime};

use comfreyhaven_core::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Returns the whole milliseconds of a span, for log lines.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time after `span` in milliseconds since the Unix epoch, for log lines.
#[must_use]
pub fn unix_millis(span: Duration) -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    millis(since_epoch.unwrap_or_default() + span)
}

/// Returns the time since the host booted, suspensions included.
///
/// All expiry times are measured with this clock and checked at the time of use, so that a process
/// that wakes from a suspension does not rely on outdated state.
#[must_use]
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Timestamp::from_micros(seconds * 1_000_000 + nanos / 1_000)
}
