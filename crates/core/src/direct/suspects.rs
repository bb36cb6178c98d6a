//! Load pattern: a request that crashes every endpoint which begins to run it comes again and again.
//!
//! Requests are recognised by team, path and body. One that was running when its endpoint crashed is
//! suspected; after a few such crashes it is refused here for a while.

use std::collections::HashMap;
use std::time::Duration;

use crate::request::BodyDigest;
use crate::time::Timestamp;

/// Crashes after which a request is refused.
const CRASHES_LIMIT: u32 = 2;

/// How long a crash is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// Requests remembered at most.
const SUSPECTS_LIMIT: usize = 4_096;

/// Crashes by request.
#[derive(Debug, Default)]
pub struct Suspects {
    crashes: HashMap<BodyDigest, (u32, Timestamp)>,
}

impl Suspects {
    /// Notes that an endpoint crashed before it had answered a request at all. Returns how often now.
    pub fn note(&mut self, digest: BodyDigest, now: Timestamp) -> u32 {
        if self.crashes.len() >= SUSPECTS_LIMIT {
            self.crashes.retain(|_, (_, last)| now < *last + MEMORY);
        }
        let (count, last) = self.crashes.entry(digest).or_insert((0, now));
        if *last + MEMORY <= now {
            *count = 0;
        }
        (*count, *last) = (*count + 1, now);
        *count
    }

    /// Notes that a request ran to its end.
    pub fn clear(&mut self, digest: BodyDigest) {
        self.crashes.remove(&digest);
    }

    /// Whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, digest: BodyDigest, now: Timestamp) -> bool {
        let found = self.crashes.get(&digest);
        found.is_some_and(|(count, last)| *count >= CRASHES_LIMIT && now < *last + MEMORY)
    }
}
