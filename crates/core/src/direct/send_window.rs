//! Counts the sends to one endpoint in the last second.
//!
//! An endpoint that has just started crashes if it receives too many requests in one second, so
//! every entry stays within its part of a cold endpoint's capacity.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Length of the sliding window: one second and a margin.
const WINDOW: Duration = Duration::from_millis(1_050);

/// Sends to one endpoint in the last second.
#[derive(Debug, Default)]
pub struct SendWindow {
    sends: VecDeque<Timestamp>,
}

impl SendWindow {
    /// Records a send.
    pub fn record(&mut self, now: Timestamp) {
        self.trim(now);
        self.sends.push_back(now);
    }

    /// Returns the number of sends in the last second.
    pub fn recent(&mut self, now: Timestamp) -> usize {
        self.trim(now);
        self.sends.len()
    }

    fn trim(&mut self, now: Timestamp) {
        while self.sends.front().is_some_and(|&at| at + WINDOW <= now) {
            self.sends.pop_front();
        }
    }
}

/// Returns the part of a limit that the sender at `index` among `members` senders may use.
///
/// The remainder of the division goes to the first senders, so that the parts never exceed the
/// limit.
#[must_use]
pub fn split_limit(limit: f64, members: usize, index: usize) -> usize {
    let members = members.max(1);
    let total = limit.max(0.0) as usize;
    total / members + usize::from(index < total % members)
}
