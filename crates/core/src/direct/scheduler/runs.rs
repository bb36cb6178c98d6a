//! What happens to a request at its endpoint.

use std::time::Duration;

use super::{Ending, Scheduler};
use crate::direct::endpoint_table::Run;
use crate::time::Timestamp;

impl Scheduler {
    /// Records the first byte of an answer.
    pub fn record_first_byte(&mut self, run: &mut Run, now: Timestamp) {
        self.endpoints.record_first_byte(run, now);
    }

    /// Records the time from the first to the last of an answer's events so far.
    pub fn record_events(&mut self, run: &Run, events: u32, span: Duration) {
        self.endpoints.record_events(run, events, span);
    }

    /// Records that an endpoint closed the connection early, was unreachable or stalled.
    pub fn record_failure(&mut self, run: &Run, now: Timestamp) {
        self.endpoints.record_failure(run);
        self.endpoints.back_off(run, now);
    }

    /// Records how a request ended at its endpoint, and frees its slot.
    pub fn end(&mut self, run: &Run, ending: Ending, now: Timestamp) {
        self.endpoints.record_end(run);
        self.keep_slot(run, ending, now);
        self.settle_work(run, ending, now);
        match ending {
            Ending::Complete => self.endpoints.record_success(run),
            Ending::Failed | Ending::Rejected => self.endpoints.record_failure(run),
            Ending::Broken => self.record_failure(run, now),
            Ending::Full => self.record_full(run, now),
            Ending::Cancelled => {}
        }
    }
}
