//! Budget of retries for one service, so that retries do not double the load when endpoints fail.
//!
//! In any window the retries of all entries stay within a part of the requests for the service and a
//! fixed number. The requests of the window count, or those of the window before, whichever are more.
//!
//! Entries do not tell each other what they have spent, so every entry keeps to a limit such that the
//! sum holds whatever the others do and however often they restart. From the start of any window on,
//! an entry takes at most a part of the mean of its own requests in the window before and since then,
//! and its part of the fixed number. A mean is at most the greater of the two, and a request is
//! counted by one entry only.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Number of steps in which a window is counted.
const STEPS: u32 = 10;

/// Part of the budget that hedges leave to retries after failures.
const RESERVE_PART: f64 = 0.5;

/// Part of the budget that is used. A retry that waits for a slot arrives later than it is counted, so
/// that more may arrive within a window than were taken in one.
const USED_PART: f64 = 0.8;

#[derive(Debug)]
struct Step {
    start: Timestamp,
    requests: u32,
    retries: u32,
}

/// What an entry has of the budget of a service, and has used of it, since the start of the window in
/// which least is left.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// This entry's part of the fixed number.
    pub part: f64,
    /// Requests for the service that this entry has counted in that window and the one before.
    pub requests: u32,
    /// Retries that this entry has taken in that window.
    pub retries: u32,
    /// Retries that this entry may take in that window.
    pub allowed: f64,
}

impl RetryUsage {
    fn left(&self) -> f64 {
        self.allowed - f64::from(self.retries)
    }
}

/// Requests and retries of one service at this entry.
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

    /// Length of a step.
    fn span(&self) -> Duration {
        self.window / STEPS
    }

    fn step(&mut self, now: Timestamp) -> &mut Step {
        let span = self.span();
        let retention = self.window * 2 + span;
        while self
            .steps
            .front()
            .is_some_and(|step| step.start + retention <= now)
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

    /// Takes a retry if the budget has one for this entry, which may use `part` of the fixed number.
    /// Returns whether it did.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use comfreyhaven_core::Timestamp;
    /// use comfreyhaven_core::direct::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(Duration::from_secs(10), 0.2, 5.0);
    /// let now = Timestamp::from_millis(60_000);
    /// assert!(budget.take(1.0, now));
    /// // Nothing was requested, and this entry has no part of the fixed number.
    /// assert!(!budget.take(0.0, now));
    /// ```
    pub fn take(&mut self, part: f64, now: Timestamp) -> bool {
        let left = self.has_left(part, now);
        if left {
            self.step(now).retries += 1;
        }
        left
    }

    /// Returns whether the budget has a retry for this entry, which may use `part` of the fixed number.
    pub fn has_left(&mut self, part: f64, now: Timestamp) -> bool {
        self.usage(part, now).left() >= 1.0
    }

    /// Returns whether half of the budget of this entry, which may use `part` of the fixed number,
    /// remains after another retry.
    pub fn has_reserve(&mut self, part: f64, now: Timestamp) -> bool {
        let usage = self.usage(part, now);
        usage.left() >= 1.0 + usage.allowed * RESERVE_PART
    }

    /// Returns what this entry, which may use `part` of the fixed number, may take and has taken.
    pub fn usage(&mut self, part: f64, now: Timestamp) -> RetryUsage {
        self.step(now);
        let reach = self.window + self.span();
        let mut tightest = self.usage_from(self.steps.len() - 1, part);
        for index in (0..self.steps.len() - 1).rev() {
            if self.steps[index].start + reach <= now {
                break;
            }
            let usage = self.usage_from(index, part);
            if usage.left() < tightest.left() {
                tightest = usage;
            }
        }
        tightest
    }

    /// Returns the usage in the windows that start within a step. For all of them, the requests count
    /// that are within the window before the step's end.
    fn usage_from(&self, index: usize, part: f64) -> RetryUsage {
        let start = self.steps[index].start;
        let earliest = start + self.span() - self.window;
        let counted = self.steps.iter().filter(|step| earliest <= step.start);
        let requests = counted.map(|step| step.requests).sum();
        let retries = self.steps.range(index..).map(|step| step.retries).sum();
        let mean = f64::from(requests) / 2.0;
        RetryUsage {
            part,
            requests,
            retries,
            allowed: USED_PART * (self.ratio * mean + self.slack * part),
        }
    }
}
