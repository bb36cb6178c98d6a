//! A smoothed measurement that knows what the endpoint does at its best.

use std::time::Duration;

use super::estimate::micros;

/// Share of the average that one observation replaces, as a divisor.
const DECAY: u64 = 8;

/// Share by which the best average rises with each observation, as a divisor.
const DRIFT: u64 = 256;

/// Multiple of the best average from which the endpoint is slow.
const SLOW_FACTOR: u64 = 2;

/// Multiple of the average from which one observation is a leap.
const LEAP_FACTOR: u64 = 8;

/// Observations before any is judged.
const LEARNING_LENGTH: u32 = 8;

/// Moving averages of one kind of time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Signal {
    /// Microseconds as they were measured.
    raw: u64,
    /// Microseconds made comparable between requests.
    scaled: u64,
    /// Lowest scaled average, which rises slowly.
    best: u64,
    seen: u32,
}

impl Signal {
    pub(super) fn observe(&mut self, scaled: u64, raw: u64) {
        if self.seen == 0 {
            (self.raw, self.scaled, self.best) = (raw, scaled, scaled);
        }
        self.seen = self.seen.saturating_add(1);
        self.raw = self.raw - self.raw / DECAY + raw / DECAY;
        self.scaled = self.scaled - self.scaled / DECAY + scaled / DECAY;
        self.best = (self.best + self.best / DRIFT).min(self.scaled);
    }

    /// Whether the endpoint is slower than the target and than it can be.
    pub(super) fn exceeds(&self, target: Duration) -> bool {
        self.seen >= LEARNING_LENGTH
            && self.raw > micros(target)
            && self.scaled > self.best * SLOW_FACTOR
    }

    /// Whether an observation is far above the average.
    pub(super) fn is_leap(&self, scaled: u64) -> bool {
        self.seen >= LEARNING_LENGTH && scaled > self.scaled.max(1) * LEAP_FACTOR
    }
}
