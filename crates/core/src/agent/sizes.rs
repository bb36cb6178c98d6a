//! Tells short work from long work.

use std::time::Duration;

use super::queue::Class;
use crate::time::Timestamp;

/// Requests seen before any counts as long.
const LEARNING_REQUESTS: u32 = 16;

/// Share of the average that one request replaces, as a divisor.
const DECAY: i64 = 32;

/// Fixed-point units of one doubling.
const DOUBLING: i64 = 1_024;

/// Doublings above the geometric mean from which a request is long.
const LONG_DOUBLINGS: i64 = 2;

/// How long slots are kept free after the last short request.
const SHORT_WINDOW: Duration = Duration::from_secs(10);

/// The geometric mean of recent costs. Requests several times larger are long.
#[derive(Debug, Default)]
pub(super) struct Sizes {
    mean: i64,
    seen: u32,
    short: Option<Timestamp>,
}

impl Sizes {
    /// Classes a request by its cost and learns from it.
    pub(super) fn class(&mut self, tokens: u64, now: Timestamp) -> Class {
        let size = doublings(tokens);
        self.seen = self.seen.saturating_add(1);
        if self.seen == 1 {
            self.mean = size;
        }
        self.mean += (size - self.mean) / DECAY;
        let long = size > self.mean + LONG_DOUBLINGS * DOUBLING;
        if long && self.seen > LEARNING_REQUESTS {
            return Class::Long;
        }
        self.short = Some(now);
        Class::Short
    }

    /// Whether short requests are about.
    pub(super) fn expects_short(&self, now: Timestamp) -> bool {
        self.short
            .is_some_and(|last| now.since(last) < SHORT_WINDOW)
    }
}

/// Binary logarithm in fixed point, linear between powers of two.
fn doublings(tokens: u64) -> i64 {
    let tokens = tokens.clamp(1, 1 << 40);
    let whole = tokens.ilog2();
    let rest = (tokens << 10 >> whole) & 1_023;
    i64::from(whole) * DOUBLING + i64::try_from(rest).unwrap_or(0)
}
