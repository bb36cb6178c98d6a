//! How far a bucket has been from full since a given time.
//!
//! Tokens that were charged and not used are given back as if they had never been charged: what
//! would since have overflowed stays lost. Otherwise a late refund on top of a bucket that has
//! refilled would let a team spend its burst twice.

use std::collections::VecDeque;

/// Low points remembered; more are merged so that a refund is never too large.
const MARKS_LIMIT: usize = 64;

/// Low points of the headroom: later ones are higher, or they would hide the earlier ones.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    /// Number and headroom of each low point.
    marks: VecDeque<(u64, u128)>,
    next: u64,
}

impl Headroom {
    /// Notes the headroom just before it grows. Returns the number of the low point.
    pub(super) fn note(&mut self, headroom: u128) -> u64 {
        let number = self.next;
        self.next += 1;
        while self.marks.back().is_some_and(|(_, low)| *low >= headroom) {
            self.marks.pop_back();
        }
        self.marks.push_back((number, headroom));
        if self.marks.len() > MARKS_LIMIT {
            self.merge_oldest();
        }
        number
    }

    /// Of `parts` charged at the low point `mark`, those that would not have overflowed since. They
    /// count as given back from then on.
    pub(super) fn refund(&mut self, parts: u128, mark: u64) -> u128 {
        let later = self.marks.iter().position(|(number, _)| *number > mark);
        let Some(later) = later else { return parts };
        let refund = parts.min(self.marks[later].1);
        for (_, low) in self.marks.iter_mut().skip(later) {
            *low -= refund;
        }
        let lowest = self.marks[later].1;
        let hidden = self.marks.iter().take(later).filter(|m| m.1 >= lowest);
        let hidden = hidden.count();
        self.marks.drain(later - hidden..later);
        refund
    }

    /// Joins the two oldest low points: the lower headroom with the later number.
    fn merge_oldest(&mut self) {
        if let Some((_, low)) = self.marks.pop_front()
            && let Some(next) = self.marks.front_mut()
        {
            next.1 = low;
        }
    }
}
