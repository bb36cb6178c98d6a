//! Counts the recent sends to one endpoint.
//!
//! Some limits hold for the requests of all entries together within a sliding time. Every entry stays
//! within its part of such a limit.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Time in which the sends to an endpoint that has just started are counted: one second, in which it
/// crashes if it receives too many requests, and a margin.
const COLD_WINDOW: Duration = Duration::from_millis(1_050);

/// Longest time in which sends are counted.
pub(super) const WINDOW_MAX: Duration = Duration::from_secs(30);

/// Recent sends to one endpoint.
#[derive(Debug, Default)]
pub struct SendWindow {
    sends: VecDeque<Timestamp>,
}

impl SendWindow {
    /// Records a send.
    pub fn record(&mut self, now: Timestamp) {
        while self.sends.front().is_some_and(|&at| at + WINDOW_MAX <= now) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Returns the number of sends in the last second.
    #[must_use]
    pub fn recent(&self, now: Timestamp) -> usize {
        let before = self.sends.partition_point(|&at| at + COLD_WINDOW <= now);
        self.sends.len() - before
    }

    /// Returns the time from which fewer than `count` sends lie within `span`.
    #[must_use]
    pub(super) fn room_for(&self, count: usize, span: Duration) -> Timestamp {
        let Some(index) = self.sends.len().checked_sub(count) else {
            return Timestamp::ZERO;
        };
        self.sends
            .get(index)
            .map_or(Timestamp::NEVER, |&at| at + span)
    }

    /// Returns the time of the last send.
    #[must_use]
    pub(super) fn last(&self) -> Option<Timestamp> {
        self.sends.back().copied()
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
