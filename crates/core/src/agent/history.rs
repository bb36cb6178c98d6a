//! What became of the bodies that an agent has run.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::RequestId;
use crate::time::Timestamp;

/// How long an agent remembers a request after its run.
const RETENTION: Duration = Duration::from_secs(600);

/// Most runs remembered; the oldest is forgotten first.
const ENTRIES_LIMIT: usize = 65_536;

/// What an agent knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStatus {
    /// It has not run under the offer asked about and will not.
    NeverRuns,
    /// It is running.
    Running,
    /// It ran to its end or was cut off.
    Ran,
    /// This process cannot know: the offer is of an earlier process, or the record is gone.
    Unknown,
}

#[derive(Debug)]
struct Record {
    ended: Timestamp,
    request: RequestId,
    sequence: u64,
}

/// Runs that have ended, bounded in number and age.
///
/// Offers older than a forgotten run can no longer be said not to have run.
#[derive(Debug, Default)]
pub struct History {
    ran: HashSet<RequestId>,
    order: VecDeque<Record>,
    horizon: u64,
}

impl History {
    /// Records the end of a run under the offer with the given sequence number.
    pub fn record(&mut self, request: RequestId, sequence: u64, now: Timestamp) {
        if self.ran.insert(request) {
            self.order.push_back(Record {
                ended: now,
                request,
                sequence,
            });
        }
        self.forget_old(now);
    }

    /// Whether a run of the request is remembered.
    #[must_use]
    pub fn has_run(&self, request: RequestId) -> bool {
        self.ran.contains(&request)
    }

    /// Whether every run under the offer with the given sequence number is still remembered.
    #[must_use]
    pub fn covers(&self, sequence: u64) -> bool {
        sequence >= self.horizon
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some(oldest) = self.order.front() {
            let surplus = self.order.len() > ENTRIES_LIMIT;
            if !surplus && now.since(oldest.ended) < RETENTION {
                return;
            }
            self.horizon = self.horizon.max(oldest.sequence + 1);
            self.ran.remove(&oldest.request);
            self.order.pop_front();
        }
    }
}
