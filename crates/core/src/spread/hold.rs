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
    /// Whether the service's word is enough, and peers that cannot be asked are no reason to go on.
    pause: bool,
    /// Peers that were asked before the pause, whose next answer may be as old.
    earlier: BTreeSet<SocketAddr>,
    heard: BTreeSet<SocketAddr>,
    failed: BTreeSet<SocketAddr>,
}

impl Hold {
    /// The hold of a process that has just started. The service alone does not end it, since it
    /// may be stale.
    pub(super) fn start() -> Self {
        Self {
            needed: START_WORDS,
            until: Timestamp::NEVER,
            pause: false,
            earlier: BTreeSet::new(),
            heard: BTreeSet::new(),
            failed: BTreeSet::new(),
        }
    }

    /// The hold of a process that was paused while the peers in `earlier` were being asked.
    pub(super) fn pause(earlier: BTreeSet<SocketAddr>, now: Timestamp) -> Self {
        Self {
            needed: 1,
            until: now + PAUSE_TIMEOUT,
            pause: true,
            earlier,
            ..Self::start()
        }
    }

    /// A document is known: from now on the wait is bounded.
    pub(super) fn learned(&mut self, now: Timestamp) {
        if self.until == Timestamp::NEVER {
            self.until = now + START_TIMEOUT;
        }
    }

    pub(super) fn heard(&mut self, peer: SocketAddr) {
        if !self.earlier.remove(&peer) {
            self.heard.insert(peer);
        }
    }

    pub(super) fn failed(&mut self, peer: SocketAddr) {
        self.failed.insert(peer);
    }

    /// Everything that the service showed since the hold began has been read.
    pub(super) fn served(&mut self) {
        if self.pause {
            self.needed = 0;
        }
    }

    pub(super) fn is_pause(&self) -> bool {
        self.pause
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
        let tried = |peer| self.heard.contains(peer) || self.failed.contains(peer);
        self.missing() == 0 || (!self.pause && peers.iter().all(tried))
    }
}
