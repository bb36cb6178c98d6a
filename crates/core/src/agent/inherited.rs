//! Runs that the endpoint holds and this process did not start: those of the agent's predecessor,
//! and those whose connections broke.

use std::time::Duration;

use crate::time::Timestamp;

/// Oldest load report that is expected.
const REPORT_AGE_LIMIT: Duration = Duration::from_secs(2);

/// A bound on the runs of others, which falls as reports come in.
///
/// A report counts this process's own runs as they stood up to [`REPORT_AGE_LIMIT`] ago, so only
/// the fewest own runs within that time are taken off it.
#[derive(Debug, Default)]
pub(super) struct Inherited {
    runs: u32,
    own: u32,
    /// Fewest own runs in the window under way and in the one before.
    fewest: [u32; 2],
    since: Timestamp,
}

impl Inherited {
    /// Takes the first report after a start or a loss of contact.
    pub(super) fn assume(&mut self, reported: u32, own: u32, now: Timestamp) {
        self.runs = reported.saturating_sub(own);
        (self.own, self.fewest, self.since) = (own, [0, 0], now);
    }

    /// Takes a later report.
    pub(super) fn report(&mut self, reported: u32, now: Timestamp) {
        self.turn(now);
        let own = self.fewest[0].min(self.fewest[1]);
        self.runs = self.runs.min(reported.saturating_sub(own));
    }

    /// Notes the number of own runs after a change.
    pub(super) fn observe(&mut self, own: u32, now: Timestamp) {
        self.turn(now);
        self.own = own;
        self.fewest[0] = self.fewest[0].min(own);
    }

    /// The endpoint restarted: it holds nothing of earlier processes.
    pub(super) fn clear(&mut self) {
        self.runs = 0;
    }

    pub(super) fn runs(&self) -> u32 {
        self.runs
    }

    fn turn(&mut self, now: Timestamp) {
        if now.since(self.since) >= REPORT_AGE_LIMIT {
            self.fewest = [self.own, self.fewest[0]];
            self.since = now;
        }
    }
}
