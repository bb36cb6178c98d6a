//! Moving averages of a latency, compared with the best that the endpoint has reached.

use std::time::Duration;

use super::estimate::micros;

/// Inverse weight of a new sample in the moving averages.
const DECAY_DIVISOR: u64 = 8;

/// The best average rises by one part in this many with each sample.
const DRIFT_DIVISOR: u64 = 256;

/// Multiple of the best average above which the endpoint is slow.
const SLOW_FACTOR: u64 = 2;

/// Multiple of the average above which a sample is an outlier.
const OUTLIER_FACTOR: u64 = 8;

/// Samples required before any is judged.
const MIN_SAMPLES: u32 = 8;

/// Moving averages of one kind of latency.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyAverage {
    /// Average of the measured values, in microseconds.
    raw: u64,
    /// Average of the values scaled by request size, in microseconds.
    scaled: u64,
    /// Lowest scaled average so far, with a slow upward drift.
    best: u64,
    samples: u32,
}

impl LatencyAverage {
    pub(super) fn observe(&mut self, scaled: u64, raw: u64) {
        if self.samples == 0 {
            (self.raw, self.scaled, self.best) = (raw, scaled, scaled);
        }
        self.samples = self.samples.saturating_add(1);
        self.raw = self.raw - self.raw / DECAY_DIVISOR + raw / DECAY_DIVISOR;
        self.scaled = self.scaled - self.scaled / DECAY_DIVISOR + scaled / DECAY_DIVISOR;
        self.best = (self.best + self.best / DRIFT_DIVISOR).min(self.scaled);
    }

    /// Returns whether the latency is above the target and well above the best average.
    pub(super) fn exceeds(&self, target: Duration) -> bool {
        self.samples >= MIN_SAMPLES
            && self.raw > micros(target)
            && self.scaled > self.best * SLOW_FACTOR
    }

    /// Returns whether a sample is far above the average.
    pub(super) fn is_outlier(&self, scaled: u64) -> bool {
        self.samples >= MIN_SAMPLES && scaled > self.scaled.max(1) * OUTLIER_FACTOR
    }
}
