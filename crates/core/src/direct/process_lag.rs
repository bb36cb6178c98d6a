//! Measures how late the entry's own timers fire, and sheds requests when the entry lacks processor
//! time, because of a small CPU share, a quota that suspends it for tenths of a second, or a slow
//! host.
//!
//! The greater the lag, the more urgent a request has to be to be admitted. Early and cheap
//! refusals keep the admitted requests in time.

use std::time::Duration;

/// Weight of a new lag that is below the average, so that the average rises quickly and decays
/// slowly.
const DECAY_PART: f64 = 0.1;

/// Lag above which requests are shed, by rank: first those of the lowest ranks, then the middle
/// ones, then all.
const SHED_LIMITS: [Duration; 3] = [
    Duration::from_millis(700),
    Duration::from_millis(350),
    Duration::from_millis(180),
];

/// Average lag of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessLag {
    lag: f64,
}

impl ProcessLag {
    /// Records by how much a timer was late.
    pub fn record(&mut self, late: Duration) {
        let late = late.as_secs_f64();
        self.lag = if late > self.lag {
            // One late timer may be due to a short suspension that has ended; two in a row show a
            // lag.
            (self.lag + late) / 2.0
        } else {
            self.lag + DECAY_PART * (late - self.lag)
        };
    }

    /// Returns the average lag.
    #[must_use]
    pub fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.lag)
    }

    /// Returns whether requests of a rank are shed.
    #[must_use]
    pub fn sheds(&self, rank: u8) -> bool {
        let limit = SHED_LIMITS[usize::from(rank).min(SHED_LIMITS.len() - 1)];
        self.lag() > limit
    }
}
