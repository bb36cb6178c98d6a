//! Estimates how many requests the endpoint runs that this process did not start: those of the
//! agent's predecessor, and those whose connections broke.

use std::time::Duration;

use crate::time::Timestamp;

/// Largest expected age of a load report.
const REPORT_AGE_LIMIT: Duration = Duration::from_secs(2);

/// Upper bound on the number of runs that this process did not start. It falls as load reports
/// arrive.
///
/// A report includes this process's own runs as of up to [`REPORT_AGE_LIMIT`] ago, so only the
/// lowest number of own runs within that time is subtracted from it.
#[derive(Debug, Default)]
pub(super) struct UntrackedRuns {
    runs: u32,
    own: u32,
    /// Lowest number of own runs in the current window and in the previous one.
    min_own: [u32; 2],
    window_start: Timestamp,
}

impl UntrackedRuns {
    /// Resets the bound from the first report after a start or a loss of contact.
    pub(super) fn reset(&mut self, reported: u32, own: u32, now: Timestamp) {
        self.runs = reported.saturating_sub(own);
        (self.own, self.min_own, self.window_start) = (own, [0, 0], now);
    }

    /// Lowers the bound by a later report.
    pub(super) fn apply_report(&mut self, reported: u32, now: Timestamp) {
        self.rotate_window(now);
        let own = self.min_own[0].min(self.min_own[1]);
        self.runs = self.runs.min(reported.saturating_sub(own));
    }

    /// Records the number of own runs after a change.
    pub(super) fn record_own(&mut self, own: u32, now: Timestamp) {
        self.rotate_window(now);
        self.own = own;
        self.min_own[0] = self.min_own[0].min(own);
    }

    /// Resets the bound to zero after a restart of the endpoint, which ended all earlier runs.
    pub(super) fn clear(&mut self) {
        self.runs = 0;
    }

    pub(super) fn runs(&self) -> u32 {
        self.runs
    }

    fn rotate_window(&mut self, now: Timestamp) {
        if now.since(self.window_start) >= REPORT_AGE_LIMIT {
            self.min_own = [self.own, self.min_own[0]];
            self.window_start = now;
        }
    }
}
