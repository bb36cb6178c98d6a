//! Classifies requests as short or long, relative to the recent ones.

use std::time::Duration;

use super::queue::SizeClass;
use crate::time::Timestamp;

/// Requests required before any is classified as long.
const MIN_REQUESTS: u32 = 16;

/// Inverse weight of a new request in the average.
const DECAY_DIVISOR: i64 = 32;

/// Fixed-point units per doubling of the size.
const DOUBLING_UNITS: i64 = 1_024;

/// Doublings above the geometric mean from which a request is long.
const LONG_DOUBLINGS: i64 = 2;

/// Time for which slots stay reserved after the last short request.
const SHORT_WINDOW: Duration = Duration::from_secs(10);

/// Geometric mean of recent request sizes. Requests several times larger are long.
#[derive(Debug, Default)]
pub(super) struct SizeClassifier {
    mean: i64,
    count: u32,
    last_short: Option<Timestamp>,
}

impl SizeClassifier {
    /// Classifies a request by its size in tokens and updates the mean.
    pub(super) fn classify(&mut self, tokens: u64, now: Timestamp) -> SizeClass {
        let size = log2_fixed(tokens);
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.mean = size;
        }
        self.mean += (size - self.mean) / DECAY_DIVISOR;
        let long = size > self.mean + LONG_DOUBLINGS * DOUBLING_UNITS;
        if long && self.count > MIN_REQUESTS {
            return SizeClass::Long;
        }
        self.last_short = Some(now);
        SizeClass::Short
    }

    /// Returns whether a short request has arrived recently.
    pub(super) fn expects_short(&self, now: Timestamp) -> bool {
        self.last_short
            .is_some_and(|last| now.since(last) < SHORT_WINDOW)
    }
}

/// Returns the binary logarithm in fixed point, interpolated linearly between powers of two.
fn log2_fixed(tokens: u64) -> i64 {
    let tokens = tokens.clamp(1, 1 << 40);
    let exponent = tokens.ilog2();
    let fraction = (tokens << 10 >> exponent) & 1_023;
    i64::from(exponent) * DOUBLING_UNITS + i64::try_from(fraction).unwrap_or(0)
}
