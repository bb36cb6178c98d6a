//! Load pattern: endpoints fail and every failed request is sent again, which doubles the load.
//!
//! Repeats to a service are bounded by a fraction of the requests for it plus a fixed allowance for
//! each window, of which every entry has its part.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Steps in which a window is counted.
const STEPS: u32 = 10;

/// Part of the fraction that is used, so that a window between two steps never passes it.
const CAUTION: f64 = 0.7;

#[derive(Debug)]
struct Step {
    begin: Timestamp,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service.
#[derive(Debug)]
pub struct Budget {
    window: Duration,
    ratio: f64,
    slack: f64,
    steps: VecDeque<Step>,
}

impl Budget {
    /// A budget of `ratio` repeats a request and `slack` repeats for each `window`, over the fleet.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            steps: VecDeque::new(),
        }
    }

    fn step(&mut self, now: Timestamp) -> &mut Step {
        let span = self.window / STEPS;
        while self
            .steps
            .front()
            .is_some_and(|step| step.begin + self.window + span <= now)
        {
            self.steps.pop_front();
        }
        if self
            .steps
            .back()
            .is_none_or(|step| step.begin + span <= now)
        {
            self.steps.push_back(Step {
                begin: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }

    /// Counts the first send of a request.
    pub fn request(&mut self, now: Timestamp) {
        self.step(now).requests += 1;
    }

    /// Takes a repeat if the budget has one for this entry, one of `members`.
    pub fn take(&mut self, members: usize, now: Timestamp) -> bool {
        let left = self.has_left(members, now);
        if left {
            self.step(now).repeats += 1;
        }
        left
    }

    /// Whether the budget has a repeat for this entry, one of `members`.
    pub fn has_left(&mut self, members: usize, now: Timestamp) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let slack = self.slack / members.max(1) as f64;
        let allowed = CAUTION * (self.ratio * f64::from(requests) + slack);
        f64::from(repeats) + 1.0 <= allowed
    }
}
