//! Load pattern: an endpoint that has just started crashes if one second brings it too many requests.
//!
//! Every sender keeps to its part of what a cold endpoint bears in any one second.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Any span of this length counts.
const WINDOW: Duration = Duration::from_millis(1_050);

/// The sends of the last second to one endpoint.
#[derive(Debug, Default)]
pub struct Pace {
    sends: VecDeque<Timestamp>,
}

impl Pace {
    /// Notes a send.
    pub fn note(&mut self, now: Timestamp) {
        self.trim(now);
        self.sends.push_back(now);
    }

    /// Sends of the last second.
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

/// The part of a limit that one of `members` senders may use, which has the place `place` among them.
///
/// Parts that are not whole go round, so that the whole is never exceeded.
#[must_use]
pub fn part(limit: f64, members: usize, place: usize) -> usize {
    let members = members.max(1);
    let whole = limit.max(0.0) as usize;
    whole / members + usize::from(place < whole % members)
}
