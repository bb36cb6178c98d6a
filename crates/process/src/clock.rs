//! Monotonic clock of a process.

use std::time::Instant;

use comfreyhaven_core::Timestamp;

/// Measures timestamps from the instant at which it was created.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock whose origin is the current time.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.0.elapsed()
    }

    /// Converts a timestamp. Returns `None` for [`Timestamp::NEVER`] and on overflow.
    #[must_use]
    pub fn instant(&self, time: Timestamp) -> Option<Instant> {
        if time == Timestamp::NEVER {
            return None;
        }
        self.0.checked_add(time.since(Timestamp::ZERO))
    }
}
