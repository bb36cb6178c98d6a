//! The process's monotonic clock.

use std::time::Instant;

use comfreyhaven_core::Timestamp;

/// Gives timestamps since the process started.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.0.elapsed()
    }

    /// When a timestamp is reached, or `None` if it never is.
    #[must_use]
    pub fn instant(&self, time: Timestamp) -> Option<Instant> {
        if time == Timestamp::NEVER {
            return None;
        }
        self.0.checked_add(time.since(Timestamp::ZERO))
    }
}
