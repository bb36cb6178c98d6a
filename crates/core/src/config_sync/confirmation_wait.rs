//! The wait for answers from peers before the configuration is relied on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Timestamp;

/// Number of peers whose answers a process that has just started waits for.
pub(super) const START_ANSWERS: usize = 3;

/// Time for which a process that has just started waits for its peers, from its first document on.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a process that was suspended waits for an answer.
const SUSPENSION_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the wait: the answers required and the peers that have answered or failed.
#[derive(Debug)]
pub(super) struct ConfirmationWait {
    needed: usize,
    deadline: Timestamp,
    /// Whether the wait follows a suspension. Then a complete read from the service ends it too,
    /// and it continues even when every peer has failed.
    suspended: bool,
    /// Peers with an exchange in flight at the suspension. Their next answer may predate it and
    /// does not count.
    stale: BTreeSet<SocketAddr>,
    answered: BTreeSet<SocketAddr>,
    failed: BTreeSet<SocketAddr>,
}

impl ConfirmationWait {
    /// Creates the wait of a process that has just started. The service alone does not end it,
    /// since the service may be stale.
    pub(super) fn at_start() -> Self {
        Self {
            needed: START_ANSWERS,
            deadline: Timestamp::NEVER,
            suspended: false,
            stale: BTreeSet::new(),
            answered: BTreeSet::new(),
            failed: BTreeSet::new(),
        }
    }

    /// Creates the wait of a process that was suspended while exchanges with the peers in `stale`
    /// were in flight.
    pub(super) fn after_suspension(stale: BTreeSet<SocketAddr>, now: Timestamp) -> Self {
        Self {
            needed: 1,
            deadline: now + SUSPENSION_TIMEOUT,
            suspended: true,
            stale,
            ..Self::at_start()
        }
    }

    /// Bounds the wait, once a document is known.
    pub(super) fn on_document(&mut self, now: Timestamp) {
        if self.deadline == Timestamp::NEVER {
            self.deadline = now + START_TIMEOUT;
        }
    }

    pub(super) fn on_answer(&mut self, peer: SocketAddr) {
        if !self.stale.remove(&peer) {
            self.answered.insert(peer);
        }
    }

    pub(super) fn on_failure(&mut self, peer: SocketAddr) {
        self.failed.insert(peer);
    }

    /// Ends a wait after a suspension, once all values in the service's index have been read.
    pub(super) fn on_service_read(&mut self) {
        if self.suspended {
            self.needed = 0;
        }
    }

    pub(super) fn is_after_suspension(&self) -> bool {
        self.suspended
    }

    pub(super) fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// Returns the peers that have answered or failed.
    pub(super) fn tried(&self) -> BTreeSet<SocketAddr> {
        self.answered.union(&self.failed).copied().collect()
    }

    /// Returns the number of answers still required.
    pub(super) fn missing(&self) -> usize {
        self.needed.saturating_sub(self.answered.len())
    }

    /// Returns whether enough of `peers` have answered, or the process has just started and all of
    /// them have answered or failed.
    pub(super) fn is_satisfied(&self, peers: &[SocketAddr]) -> bool {
        let tried = |peer| self.answered.contains(peer) || self.failed.contains(peer);
        self.missing() == 0 || (!self.suspended && peers.iter().all(tried))
    }
}
