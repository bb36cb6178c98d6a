//! What became of each request that an agent has had a body for, or was asked about.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::RequestId;
use crate::time::Timestamp;

/// How long an agent remembers a request after the last change of its status.
const RETENTION: Duration = Duration::from_secs(600);

/// Most requests remembered; the oldest is forgotten first.
const ENTRIES_LIMIT: usize = 65_536;

/// What an agent knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStatus {
    /// It has not run here under the offer and will not.
    NeverRuns,
    /// It is running.
    Running,
    /// It ran to its end or was cut off.
    Ran,
    /// This process cannot know: the offer is of an earlier process, or the record is gone.
    Unknown,
}

/// Statuses of recent requests, bounded in number and age.
///
/// A request that is reported as [`RunStatus::NeverRuns`] may run under a later offer; the offer that
/// was asked about is void.
#[derive(Debug, Default)]
pub struct History {
    statuses: HashMap<RequestId, RunStatus>,
    order: VecDeque<(Timestamp, RequestId)>,
}

impl History {
    /// Records the status of a request.
    pub fn record(&mut self, request: RequestId, status: RunStatus, now: Timestamp) {
        if self.statuses.insert(request, status).is_none() {
            self.order.push_back((now, request));
        }
        self.forget_old(now);
    }

    /// The recorded status of a request.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<RunStatus> {
        self.statuses.get(&request).copied()
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some(&(since, request)) = self.order.front() {
            let surplus = self.order.len() > ENTRIES_LIMIT;
            if !surplus && now.since(since) < RETENTION {
                return;
            }
            self.order.pop_front();
            if self.get(request) == Some(RunStatus::Running) {
                self.order.push_back((now, request));
                return;
            }
            self.statuses.remove(&request);
        }
    }
}
