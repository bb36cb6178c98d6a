//! The parameters of an engine, and the load report and counters that it publishes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Additional duration of a step of a completely cold engine, in percent of the step of a warm one.
const COLD_SLOWDOWN_PERCENT: u64 = 100;

/// The parameters of an engine.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Maximum number of sequences in the batch.
    pub batch_size: usize,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: u64,
    /// Duration of a step that decodes one sequence.
    pub decode_step: Duration,
    /// Size of the prefix cache, in prompt tokens.
    pub cache_tokens: u64,
    /// Maximum number of concurrent requests while cold. The engine crashes beyond it.
    pub cold_capacity: usize,
    /// Number of completions until the engine is warm.
    pub warm_up: u64,
    /// Maximum number of concurrent requests while warm. The engine crashes beyond it.
    pub warm_capacity: usize,
    /// Time from a crash to the restart.
    pub restart_time: Duration,
    /// Minimum age of the load report, and the interval at which it is updated.
    pub report_lag: Duration,
}

impl Spec {
    /// Returns the maximum number of concurrent requests after some completions. It rises linearly
    /// from cold to warm.
    ///
    /// ```
    /// use comfreyhaven_standin::engine::Spec;
    /// use std::time::Duration;
    ///
    /// let spec = Spec {
    ///     batch_size: 8,
    ///     prefill_rate: 20_000,
    ///     decode_step: Duration::from_millis(4),
    ///     cache_tokens: 4_096,
    ///     cold_capacity: 2,
    ///     warm_up: 10,
    ///     warm_capacity: 12,
    ///     restart_time: Duration::from_secs(1),
    ///     report_lag: Duration::from_millis(500),
    /// };
    /// assert_eq!([0, 5, 10, 99].map(|done| spec.capacity_after(done)), [2, 7, 12, 12]);
    /// ```
    #[must_use]
    pub fn capacity_after(&self, completions: u64) -> usize {
        let done = completions.min(self.warm_up);
        let rise = self.warm_capacity.saturating_sub(self.cold_capacity) as u64;
        let increase = (rise * done)
            .checked_div(self.warm_up)
            .map_or(self.warm_capacity, |increase| {
                self.cold_capacity + usize::try_from(increase).unwrap_or(usize::MAX)
            });
        increase.min(self.warm_capacity)
    }

    /// Returns the duration of a step that prefills `chunk` tokens and decodes `batch` sequences.
    #[must_use]
    pub fn step_time(&self, chunk: u64, batch: usize) -> Duration {
        let prefill = Duration::from_micros(chunk * 1_000_000 / self.prefill_rate.max(1));
        let others = u32::try_from(batch.saturating_sub(1)).unwrap_or(u32::MAX);
        prefill + self.decode_step + self.decode_step * others / 16
    }

    /// Returns the duration of a step after some completions, in percent of the step of a warm
    /// engine.
    pub(super) fn warm_up_percent(&self, completions: u64) -> u64 {
        let missing = self.warm_up.saturating_sub(completions);
        100 + (COLD_SLOWDOWN_PERCENT * missing)
            .checked_div(self.warm_up)
            .unwrap_or(0)
    }
}

/// The load report of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Random identifier that changes with each start.
    pub boot: u64,
    /// Admitted requests that have not finished, including the queued ones.
    pub running: u32,
    /// Admitted requests that wait to enter the batch.
    pub queued: u32,
}

/// Counters of an engine since its first start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Computed prompt tokens.
    pub prefill: u64,
    /// Computed prompt tokens of requests that were cancelled or dropped in a crash.
    pub wasted: u64,
    /// Requests that got a complete answer.
    pub whole: u64,
    /// Requests that their callers cancelled.
    pub cancelled: u64,
    /// Crashes, including those on demand.
    pub crashes: u64,
    /// Crashes because the engine was over its capacity.
    pub overruns: u64,
}
