//! Load pattern: a request that crashes every endpoint which begins to run it comes again and again.
//!
//! Requests are recognised by team, path and body. One that was running when its endpoint crashed is
//! suspected; after a few such crashes, over all entries, it is refused for a while.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::request::BodyDigest;
use crate::time::Timestamp;

/// Crashes, over all entries, after which a request is refused.
const CRASHES_LIMIT: u32 = 3;

/// How long a crash is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// How long a crash is told to peers.
const TELL_TIME: Duration = Duration::from_secs(5);

/// Requests remembered at most.
const SUSPECTS_LIMIT: usize = 4_096;

/// Crashes told in one report at most.
const TOLD_LIMIT: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last: Timestamp,
}

/// Crashes by request.
#[derive(Debug, Default)]
pub struct Suspects {
    own: HashMap<BodyDigest, Crashes>,
    /// What each peer counted itself.
    foreign: HashMap<(BodyDigest, SocketAddr), Crashes>,
}

impl Suspects {
    /// Notes that an endpoint broke off before it had answered a request at all. Returns how often
    /// that has happened to the request now.
    pub fn note(&mut self, digest: BodyDigest, now: Timestamp) -> u32 {
        if self.own.len() >= SUSPECTS_LIMIT {
            self.own.retain(|_, crashes| now < crashes.last + MEMORY);
        }
        let crashes = self.own.entry(digest).or_insert(Crashes {
            count: 0,
            last: now,
        });
        if crashes.last + MEMORY <= now {
            crashes.count = 0;
        }
        *crashes = Crashes {
            count: crashes.count + 1,
            last: now,
        };
        self.count(digest, now)
    }

    /// Takes what a peer counted.
    pub fn hear(&mut self, peer: SocketAddr, told: &[(BodyDigest, u32)], now: Timestamp) {
        if self.foreign.len() >= SUSPECTS_LIMIT {
            self.foreign
                .retain(|_, crashes| now < crashes.last + MEMORY);
        }
        for &(digest, count) in told {
            self.foreign
                .insert((digest, peer), Crashes { count, last: now });
        }
    }

    /// What peers are to be told.
    #[must_use]
    pub fn told(&self, now: Timestamp) -> Vec<(BodyDigest, u32)> {
        let fresh = self
            .own
            .iter()
            .filter(|(_, crashes)| now < crashes.last + TELL_TIME);
        fresh
            .map(|(digest, crashes)| (*digest, crashes.count))
            .take(TOLD_LIMIT)
            .collect()
    }

    /// Notes that a request ran to its end.
    pub fn clear(&mut self, digest: BodyDigest) {
        self.own.remove(&digest);
    }

    fn count(&self, digest: BodyDigest, now: Timestamp) -> u32 {
        let live = |crashes: &&Crashes| now < crashes.last + MEMORY;
        let own = self
            .own
            .get(&digest)
            .filter(live)
            .map_or(0, |crashes| crashes.count);
        if self.foreign.is_empty() {
            return own;
        }
        let foreign = self
            .foreign
            .iter()
            .filter(|((other, _), _)| *other == digest);
        let foreign = foreign.map(|(_, crashes)| crashes).filter(live);
        own + foreign.map(|crashes| crashes.count).sum::<u32>()
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, digest: BodyDigest, now: Timestamp) -> bool {
        self.count(digest, now) >= CRASHES_LIMIT
    }
}
