//! Monotonic time, as passed to the state machines.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock of one process.
///
/// A timestamp has no meaning in another process. Messages between processes carry only durations.
///
/// ```
/// use comfreyhaven_core::Timestamp;
/// use std::time::Duration;
///
/// let start = Timestamp::from_micros(5);
/// let later = start + Duration::from_micros(10);
/// assert_eq!(later.since(start), Duration::from_micros(10));
/// assert_eq!(start.since(later), Duration::ZERO);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the timestamp at `micros` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the timestamp at `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Sub<Duration> for Timestamp {
    type Output = Self;

    /// Saturates at [`Timestamp::ZERO`].
    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// Returns the whole milliseconds of a duration, as messages carry them.
pub(crate) fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Self;

    /// Saturates at [`Timestamp::NEVER`].
    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
