//! Records of the requests that an agent has run, to answer inquiries from entries.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::RequestId;
use crate::time::Timestamp;

/// Time for which a request is remembered after its run.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of remembered runs. The oldest is dropped first.
const RECORD_LIMIT: usize = 65_536;

/// Status of a request as far as an agent knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStatus {
    /// The request has not run under the given offer and will not.
    NeverRuns,
    /// The request is running.
    Running,
    /// The run ended, whether complete or not.
    Ran,
    /// The status cannot be determined: the offer is from an earlier process, or its record was
    /// dropped.
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
/// Offers older than a dropped record are no longer covered: whether they have run cannot be
/// determined.
#[derive(Debug, Default)]
pub struct History {
    ran: HashSet<RequestId>,
    order: VecDeque<Record>,
    first_covered: u64,
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
        self.drop_old(now);
    }

    /// Returns whether a run of the request is on record.
    #[must_use]
    pub fn has_run(&self, request: RequestId) -> bool {
        self.ran.contains(&request)
    }

    /// Returns whether every run under the offer with the given sequence number is still on record.
    #[must_use]
    pub fn covers(&self, sequence: u64) -> bool {
        sequence >= self.first_covered
    }

    fn drop_old(&mut self, now: Timestamp) {
        while let Some(oldest) = self.order.front() {
            let over_limit = self.order.len() > RECORD_LIMIT;
            if !over_limit && now.since(oldest.ended) < RETENTION {
                return;
            }
            self.first_covered = self.first_covered.max(oldest.sequence + 1);
            self.ran.remove(&oldest.request);
            self.order.pop_front();
        }
    }
}
