//! Budget of retries for one service, so that retries do not double the load when endpoints fail.
//!
//! Retries are limited to a fraction of the requests for the service plus a fixed number per
//! window, which is split over the entries.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Number of steps in which a window is counted.
const STEPS: u32 = 10;

/// Part of the budget that hedges leave to retries after failures.
const RESERVE_PART: f64 = 0.5;

/// Part of the budget that is used, so that a window between two steps does not exceed it.
const USED_PART: f64 = 0.7;

#[derive(Debug)]
struct Step {
    start: Timestamp,
    requests: u32,
    retries: u32,
}

/// What an entry has of the budget of a service, and has used of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// Entries that the fixed number is divided by.
    pub members: usize,
    /// Requests for the service that this entry has counted in the window.
    pub requests: u32,
    /// Retries that this entry has taken in the window.
    pub retries: u32,
    /// Retries that this entry may take in the window.
    pub allowed: f64,
}

/// Requests and retries of one service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    steps: VecDeque<Step>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request and `slack` retries per `window`, over the
    /// fleet.
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
            .is_some_and(|step| step.start + self.window + span <= now)
        {
            self.steps.pop_front();
        }
        if self
            .steps
            .back()
            .is_none_or(|step| step.start + span <= now)
        {
            self.steps.push_back(Step {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.step(now).requests += 1;
    }

    /// Takes a retry if the budget has one for this entry, one of `members`. Returns whether it
    /// did.
    pub fn take(&mut self, members: usize, now: Timestamp) -> bool {
        let left = self.has_left(members, now);
        if left {
            self.step(now).retries += 1;
        }
        left
    }

    /// Returns whether the budget has a retry for this entry, one of `members`.
    pub fn has_left(&mut self, members: usize, now: Timestamp) -> bool {
        let usage = self.usage(members, now);
        f64::from(usage.retries) + 1.0 <= usage.allowed
    }

    /// Returns whether half of the budget of this entry, one of `members`, remains after another
    /// retry.
    pub fn has_reserve(&mut self, members: usize, now: Timestamp) -> bool {
        let usage = self.usage(members, now);
        f64::from(usage.retries) + 1.0 <= usage.allowed * (1.0 - RESERVE_PART)
    }

    /// Returns what this entry, one of `members`, may take and has taken in the window.
    pub fn usage(&mut self, members: usize, now: Timestamp) -> RetryUsage {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let slack = self.slack / members.max(1) as f64;
        RetryUsage {
            members,
            requests,
            retries,
            allowed: USED_PART * (self.ratio * f64::from(requests) + slack),
        }
    }
}
