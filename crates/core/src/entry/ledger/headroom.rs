//! Minimum headroom (distance from full) of a bucket since given points in time.
//!
//! Unused tokens are refunded as if they had never been charged: tokens that would have overflowed
//! in the meantime stay lost. Otherwise a late refund to a bucket that has refilled would let a
//! team spend its burst twice.

use std::collections::VecDeque;

/// Maximum number of minima remembered. Further ones are merged so that a refund is never too
/// large.
const MINIMA_LIMIT: usize = 64;

/// Minima of the headroom in ascending order of number and value; a later lower value replaces the
/// earlier ones.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    /// Number and headroom of each minimum.
    minima: VecDeque<(u64, u128)>,
    next_number: u64,
}

impl Headroom {
    /// Records the headroom just before it grows. Returns the number of the new minimum.
    pub(super) fn record(&mut self, headroom: u128) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        while self.minima.back().is_some_and(|(_, low)| *low >= headroom) {
            self.minima.pop_back();
        }
        self.minima.push_back((number, headroom));
        if self.minima.len() > MINIMA_LIMIT {
            self.merge_oldest();
        }
        number
    }

    /// Returns how many of the `parts` charged at `minimum` would not have overflowed since. These
    /// are counted as refunded.
    pub(super) fn refund(&mut self, parts: u128, minimum: u64) -> u128 {
        let later = self.minima.iter().position(|(number, _)| *number > minimum);
        let Some(later) = later else { return parts };
        let refund = parts.min(self.minima[later].1);
        for (_, low) in self.minima.iter_mut().skip(later) {
            *low -= refund;
        }
        let lowest = self.minima[later].1;
        let hidden = self.minima.iter().take(later).filter(|m| m.1 >= lowest);
        let hidden = hidden.count();
        self.minima.drain(later - hidden..later);
        refund
    }

    /// Merges the two oldest minima into one with the lower headroom and the later number.
    fn merge_oldest(&mut self) {
        if let Some((_, low)) = self.minima.pop_front()
            && let Some(next) = self.minima.front_mut()
        {
            next.1 = low;
        }
    }
}
