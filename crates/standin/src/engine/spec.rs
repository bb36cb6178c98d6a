//! How an engine behaves and what it tells of itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of a warm engine's speed that a wholly cold one lacks, in percent of the time of a step.
const COLD_SLOWDOWN_PERCENT: u64 = 100;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Sequences decoded at once.
    pub batch: usize,
    /// Prompt tokens prefilled a second.
    pub prefill: u64,
    /// Time of a step that decodes one sequence.
    pub step: Duration,
    /// Prompt tokens that the prefix cache holds.
    pub cache: u64,
    /// Requests borne at once while cold, beyond which the engine crashes.
    pub cold: usize,
    /// Completions until the engine is warm.
    pub warm_up: u64,
    /// Requests borne at once while warm, beyond which the engine crashes.
    pub bearing: usize,
    /// Time that a crashed engine takes to come back.
    pub restart: Duration,
    /// Age of the load report.
    pub lag: Duration,
}

impl Spec {
    /// Requests borne at once after some completions. It rises evenly from cold to warm.
    ///
    /// ```
    /// use comfreyhaven_standin::engine::Spec;
    /// use std::time::Duration;
    ///
    /// let spec = Spec {
    ///     batch: 8,
    ///     prefill: 20_000,
    ///     step: Duration::from_millis(4),
    ///     cache: 4_096,
    ///     cold: 2,
    ///     warm_up: 10,
    ///     bearing: 12,
    ///     restart: Duration::from_secs(1),
    ///     lag: Duration::from_millis(500),
    /// };
    /// assert_eq!([0, 5, 10, 99].map(|done| spec.bearing_after(done)), [2, 7, 12, 12]);
    /// ```
    #[must_use]
    pub fn bearing_after(&self, completions: u64) -> usize {
        let done = completions.min(self.warm_up);
        let rise = self.bearing.saturating_sub(self.cold) as u64;
        let risen = (rise * done)
            .checked_div(self.warm_up)
            .map_or(self.bearing, |risen| {
                self.cold + usize::try_from(risen).unwrap_or(usize::MAX)
            });
        risen.min(self.bearing)
    }

    /// Time of a step that prefills `chunk` tokens and decodes `batch` sequences.
    #[must_use]
    pub fn step_time(&self, chunk: u64, batch: usize) -> Duration {
        let prefill = Duration::from_micros(chunk * 1_000_000 / self.prefill.max(1));
        let others = u32::try_from(batch.saturating_sub(1)).unwrap_or(u32::MAX);
        prefill + self.step + self.step * others / 16
    }

    /// How much longer a step takes after some completions, in percent.
    pub(super) fn cold_percent(&self, completions: u64) -> u64 {
        let missing = self.warm_up.saturating_sub(completions);
        100 + (COLD_SLOWDOWN_PERCENT * missing)
            .checked_div(self.warm_up)
            .unwrap_or(0)
    }
}

/// What the engine reports of its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Changes with each start.
    pub boot: u64,
    /// Requests admitted and not finished.
    pub running: u32,
    /// Requests of those that wait for a place in the batch.
    pub queued: u32,
}

/// What the engine did since its first start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Prompt tokens computed.
    pub prefill: u64,
    /// Prompt tokens computed for requests that were then cancelled or lost.
    pub wasted: u64,
    /// Requests that ended whole.
    pub whole: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
    /// Crashes under more requests than the engine bore.
    pub overruns: u64,
}
