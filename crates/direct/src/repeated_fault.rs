//! Log lines of a fault that repeats: the first one, and then one a minute with the number of
//! repetitions.

use std::time::Duration;

use comfreyhaven_core::Timestamp;

/// Least time between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(60);

/// A fault that may repeat many times a second.
#[derive(Debug, Default)]
pub(crate) struct RepeatedFault {
    /// When the last line was written.
    logged: Option<Timestamp>,
    /// Repetitions since that line.
    count: u64,
}

impl RepeatedFault {
    /// Records the fault. Returns the number of faults since the last line if a line is due.
    pub(crate) fn record(&mut self, now: Timestamp) -> Option<u64> {
        self.count += 1;
        if self
            .logged
            .is_some_and(|logged| now < logged + LINE_INTERVAL)
        {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}
