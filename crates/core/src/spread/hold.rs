//! Waiting for the word of peers before the configuration is relied on.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Timestamp;

/// Peers whose word a process that has just started waits for.
pub(super) const START_WORDS: usize = 3;

/// How long a process that has just started waits for its peers, once it has any document.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a process that was paused waits for a word.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the configuration is not relied on yet, and whose word has come.
#[derive(Debug)]
pub(super) struct Hold {
    needed: usize,
    until: Timestamp,
    service: bool,
    heard: BTreeSet<SocketAddr>,
    failed: BTreeSet<SocketAddr>,
}

impl Hold {
    /// The hold of a process that has just started. The service alone does not end it, since it
    /// may be stale.
    pub(super) fn start() -> Self {
        Self::new(START_WORDS, Timestamp::NEVER, false)
    }

    /// The hold of a process that was paused.
    pub(super) fn pause(now: Timestamp) -> Self {
        Self::new(1, now + PAUSE_TIMEOUT, true)
    }

    fn new(needed: usize, until: Timestamp, service: bool) -> Self {
        Self {
            needed,
            until,
            service,
            heard: BTreeSet::new(),
            failed: BTreeSet::new(),
        }
    }

    /// A document is known: from now on the wait is bounded.
    pub(super) fn learned(&mut self, now: Timestamp) {
        if self.until == Timestamp::NEVER {
            self.until = now + START_TIMEOUT;
        }
    }

    pub(super) fn heard(&mut self, peer: SocketAddr) {
        self.heard.insert(peer);
    }

    pub(super) fn failed(&mut self, peer: SocketAddr) {
        self.failed.insert(peer);
    }

    /// The service has answered.
    pub(super) fn served(&mut self) {
        if self.service {
            self.needed = 0;
        }
    }

    pub(super) fn until(&self) -> Timestamp {
        self.until
    }

    /// The peers that have answered or failed.
    pub(super) fn tried(&self) -> BTreeSet<SocketAddr> {
        self.heard.union(&self.failed).copied().collect()
    }

    /// Peers that must still be heard.
    pub(super) fn missing(&self) -> usize {
        self.needed.saturating_sub(self.heard.len())
    }

    /// Whether enough of `peers` have spoken.
    pub(super) fn is_satisfied(&self, peers: &[SocketAddr]) -> bool {
        self.missing() == 0
            || peers
                .iter()
                .all(|peer| self.heard.contains(peer) || self.failed.contains(peer))
    }
}
