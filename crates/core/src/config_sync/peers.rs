//! Decides which peers to contact, and when.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::time::Timestamp;

/// Number of peers contacted at once after a new document.
const FANOUT: usize = 3;

/// Interval between exchanges while changes are recent.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which exchanges stay frequent after a new document.
const ACTIVE_TIME: Duration = Duration::from_secs(3);

/// Interval between exchanges when nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest interval between exchanges that this process starts.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of processes that watch the configuration service.
const WATCHER_LIMIT: usize = 64;

/// The other processes, and the time of the next exchange.
#[derive(Debug)]
pub(super) struct Peers {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    declared: Option<Vec<SocketAddr>>,
    in_flight: BTreeSet<SocketAddr>,
    watcher: bool,
    next_exchange: Timestamp,
    active_until: Timestamp,
    last_exchange: Option<Timestamp>,
    burst: usize,
}

impl Peers {
    pub(super) fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds: seeds.into_iter().filter(|seed| *seed != own).collect(),
            declared: None,
            in_flight: BTreeSet::new(),
            watcher: true,
            next_exchange: Timestamp::ZERO,
            active_until: Timestamp::ZERO,
            last_exchange: None,
            burst: FANOUT,
        }
    }

    /// Records the declared processes, and determines whether this one watches the service.
    pub(super) fn declare(&mut self, mut all: Vec<SocketAddr>) {
        all.retain(|address| *address != self.own);
        let own = rank(self.own);
        let before = all.iter().filter(|peer| rank(**peer) < own).count();
        self.watcher = before < WATCHER_LIMIT;
        self.declared = Some(all);
    }

    /// Returns the peers that can be contacted: the declared ones, or the seeds before any are
    /// declared.
    pub(super) fn all(&self) -> &[SocketAddr] {
        self.declared.as_ref().unwrap_or(&self.seeds)
    }

    pub(super) fn is_declared(&self) -> bool {
        self.declared.is_some()
    }

    /// Returns the peers with an exchange in flight.
    pub(super) fn in_flight(&self) -> &BTreeSet<SocketAddr> {
        &self.in_flight
    }

    /// Returns the number of processes that read from the service as often as this one may.
    pub(super) fn readers(&self) -> usize {
        let all = self.all().len() + 1;
        if self.watcher {
            all.min(WATCHER_LIMIT)
        } else {
            all
        }
    }

    pub(super) fn is_watcher(&self) -> bool {
        self.watcher
    }

    /// Schedules exchanges after a new document.
    pub(super) fn on_document(&mut self, now: Timestamp) {
        self.active_until = now + ACTIVE_TIME;
        self.schedule_soon(FANOUT, now);
    }

    /// Schedules exchanges with `count` peers as soon as the minimum interval allows.
    pub(super) fn schedule_soon(&mut self, count: usize, now: Timestamp) {
        let soonest = self.last_exchange.map_or(now, |last| last + MIN_INTERVAL);
        self.burst = self.burst.max(count);
        self.next_exchange = self.next_exchange.min(soonest.max(now));
    }

    pub(super) fn wake(&self) -> Timestamp {
        if self.all().is_empty() {
            Timestamp::NEVER
        } else {
            self.next_exchange
        }
    }

    /// Returns the peers to contact now. The list is empty before the next exchange is due.
    pub(super) fn due(&mut self, now: Timestamp, random: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        if now < self.next_exchange {
            return Vec::new();
        }
        let interval = if now < self.active_until {
            ACTIVE_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        self.last_exchange = Some(now);
        self.next_exchange = now + interval.mul_f64(random.random_range(0.75..1.25));
        let burst = std::mem::replace(&mut self.burst, 1);
        self.pick(burst, &BTreeSet::new(), random)
    }

    /// Picks up to `count` random peers that are not in `except` and have no exchange in flight.
    pub(super) fn pick(
        &mut self,
        count: usize,
        except: &BTreeSet<SocketAddr>,
        random: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        let free = |peer: &&SocketAddr| !self.in_flight.contains(*peer) && !except.contains(*peer);
        let free: Vec<_> = self.all().iter().filter(free).copied().collect();
        let picked: Vec<_> = free.choose_multiple(random, count).copied().collect();
        self.in_flight.extend(&picked);
        picked
    }

    /// Ends the exchange with a peer, whether it answered or failed.
    pub(super) fn finish_exchange(&mut self, peer: SocketAddr) {
        self.in_flight.remove(&peer);
    }
}

/// Returns the order of the processes by hash, which determines the watchers. Every process
/// computes the same order, since the hasher has fixed keys.
fn rank(address: SocketAddr) -> (u64, SocketAddr) {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    (hasher.finish(), address)
}
