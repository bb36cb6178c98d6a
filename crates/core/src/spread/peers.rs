//! Which peer is asked when.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::time::Timestamp;

/// Peers told at once of a document that was just learned.
const FANOUT: usize = 3;

/// Time between exchanges while something was learned lately.
const HOT_INTERVAL: Duration = Duration::from_millis(300);

/// How long exchanges stay frequent after something was learned.
const HOT_TIME: Duration = Duration::from_secs(3);

/// Time between exchanges when nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest time between exchanges that this process begins by itself.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Processes that watch the configuration service in a large fleet.
const WATCHERS_LIMIT: usize = 64;

/// The other processes, and when one of them is asked next.
#[derive(Debug)]
pub(super) struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    declared: Option<Vec<SocketAddr>>,
    asking: BTreeSet<SocketAddr>,
    watcher: bool,
    next: Timestamp,
    hot: Timestamp,
    last: Option<Timestamp>,
    burst: usize,
}

impl Peers {
    pub(super) fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds: seeds.into_iter().filter(|seed| *seed != own).collect(),
            declared: None,
            asking: BTreeSet::new(),
            watcher: true,
            next: Timestamp::ZERO,
            hot: Timestamp::ZERO,
            last: None,
            burst: FANOUT,
        }
    }

    /// Takes the declared processes, and finds out whether this one is to watch the service.
    pub(super) fn declare(&mut self, mut all: Vec<SocketAddr>) {
        all.retain(|address| *address != self.own);
        let own = rank(self.own);
        let before = all.iter().filter(|peer| rank(**peer) < own).count();
        self.watcher = before < WATCHERS_LIMIT;
        self.declared = Some(all);
    }

    /// The peers that can be asked.
    pub(super) fn all(&self) -> &[SocketAddr] {
        self.declared.as_ref().unwrap_or(&self.seeds)
    }

    pub(super) fn is_declared(&self) -> bool {
        self.declared.is_some()
    }

    /// Peers that are being asked.
    pub(super) fn asking(&self) -> &BTreeSet<SocketAddr> {
        &self.asking
    }

    /// Processes that read from the service as often as this one may.
    pub(super) fn readers(&self) -> usize {
        let all = self.all().len() + 1;
        if self.watcher {
            all.min(WATCHERS_LIMIT)
        } else {
            all
        }
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.watcher
    }

    /// Something was learned: peers are told soon.
    pub(super) fn learned(&mut self, now: Timestamp) {
        self.hot = now + HOT_TIME;
        self.hurry(FANOUT, now);
    }

    /// Asks `count` peers as soon as the rate allows.
    pub(super) fn hurry(&mut self, count: usize, now: Timestamp) {
        let soonest = self.last.map_or(now, |last| last + MIN_INTERVAL);
        self.burst = self.burst.max(count);
        self.next = self.next.min(soonest.max(now));
    }

    pub(super) fn wake(&self) -> Timestamp {
        if self.all().is_empty() {
            Timestamp::NEVER
        } else {
            self.next
        }
    }

    /// The peers to ask now, which are none most of the time.
    pub(super) fn due(&mut self, now: Timestamp, random: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        if now < self.next {
            return Vec::new();
        }
        let interval = if now < self.hot {
            HOT_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        self.last = Some(now);
        self.next = now + interval.mul_f64(random.random_range(0.75..1.25));
        let burst = std::mem::replace(&mut self.burst, 1);
        self.pick(burst, &BTreeSet::new(), random)
    }

    /// Picks up to `count` peers that are not being asked and not in `except`.
    pub(super) fn pick(
        &mut self,
        count: usize,
        except: &BTreeSet<SocketAddr>,
        random: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        let free = |peer: &&SocketAddr| !self.asking.contains(*peer) && !except.contains(*peer);
        let free: Vec<_> = self.all().iter().filter(free).copied().collect();
        let picked: Vec<_> = free.choose_multiple(random, count).copied().collect();
        self.asking.extend(&picked);
        picked
    }

    /// A peer has answered or failed.
    pub(super) fn asked(&mut self, peer: SocketAddr) {
        self.asking.remove(&peer);
    }
}

/// Every process computes the same order, since the hasher has fixed keys.
fn rank(address: SocketAddr) -> (u64, SocketAddr) {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    (hasher.finish(), address)
}
