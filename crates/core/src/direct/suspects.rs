//! Requests that are suspected of crashing endpoints.
//!
//! Requests are identified by team, path and body. A request whose endpoint crashes while running
//! it is suspected. After several crashes, counted over all entries, it is refused for a time, so
//! that a caller's own resends do not crash every endpoint. A request that has run to its end crashes
//! no endpoint by itself; entries tell each other by a count of zero.

use std::collections::HashMap;
use std::time::Duration;

use super::report::{Scope, Source};
use crate::request::BodyDigest;
use crate::time::Timestamp;

/// Crashes over all entries after which a request is refused.
const CRASH_LIMIT: u32 = 3;

/// Time for which a crash is counted.
const RETENTION: Duration = Duration::from_secs(60);

/// Time for which a crash, or that there was none, is reported to peers.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Number of remembered requests at which those with expired crashes are removed.
const SUSPECT_LIMIT: usize = 4_096;

/// Maximum number of requests in one report.
const REPORTED_LIMIT: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last: Timestamp,
}

/// Crashes by request.
#[derive(Debug, Default)]
pub struct Suspects {
    own: HashMap<BodyDigest, Crashes>,
    /// Counts that were reported, by their source.
    peers: HashMap<(BodyDigest, Source), Crashes>,
}

impl Suspects {
    /// Records that an endpoint closed the connection before it answered a request. Returns the
    /// request's crashes over all entries.
    pub fn record_crash(&mut self, digest: BodyDigest, now: Timestamp) -> u32 {
        if self.own.len() >= SUSPECT_LIMIT {
            self.own.retain(|_, crashes| now < crashes.last + RETENTION);
        }
        let crashes = self.own.entry(digest).or_insert(Crashes {
            count: 0,
            last: now,
        });
        if crashes.last + RETENTION <= now {
            crashes.count = 0;
        }
        *crashes = Crashes {
            count: crashes.count + 1,
            last: now,
        };
        self.count(digest, now)
    }

    /// Applies the counts that were reported of a source.
    pub fn apply_report(&mut self, source: Source, reported: &[(BodyDigest, u32)], now: Timestamp) {
        if self.peers.len() >= SUSPECT_LIMIT {
            self.peers
                .retain(|_, crashes| now < crashes.last + RETENTION);
        }
        for &(digest, count) in reported {
            if count == 0 {
                self.forget_crashes(digest);
            }
            self.peers
                .insert((digest, source), Crashes { count, last: now });
        }
    }

    /// Returns the counts for a report of the given scope, without those of `recipient`.
    #[must_use]
    pub fn reported(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Vec<(BodyDigest, u32)> {
        let is_fresh = |crashes: &Crashes| now < crashes.last + REPORT_TIME;
        let mut counts: HashMap<BodyDigest, u32> = HashMap::new();
        for (digest, crashes) in self.own.iter().filter(|(_, crashes)| is_fresh(crashes)) {
            *counts.entry(*digest).or_default() += crashes.count;
        }
        for ((digest, source), crashes) in &self.peers {
            if source.is_within(scope) && Some(*source) != recipient && is_fresh(crashes) {
                *counts.entry(*digest).or_default() += crashes.count;
            }
        }
        counts.into_iter().take(REPORTED_LIMIT).collect()
    }

    /// Forgets the counts of a source that reports no longer.
    pub fn forget(&mut self, source: Source) {
        self.peers.retain(|(_, other), _| *other != source);
    }

    /// Clears the crashes of a request that ran to its end, at all entries.
    pub fn clear(&mut self, digest: BodyDigest, now: Timestamp) {
        if self.count(digest, now) > 0 {
            self.forget_crashes(digest);
            self.own.insert(
                digest,
                Crashes {
                    count: 0,
                    last: now,
                },
            );
        }
    }

    fn forget_crashes(&mut self, digest: BodyDigest) {
        self.own.remove(&digest);
        self.peers.retain(|(other, _), _| *other != digest);
    }

    fn count(&self, digest: BodyDigest, now: Timestamp) -> u32 {
        let live = |crashes: &&Crashes| now < crashes.last + RETENTION;
        let own = self
            .own
            .get(&digest)
            .filter(live)
            .map_or(0, |crashes| crashes.count);
        if self.peers.is_empty() {
            return own;
        }
        let peers = self.peers.iter().filter(|((other, _), _)| *other == digest);
        let peers = peers.map(|(_, crashes)| crashes).filter(live);
        own + peers.map(|crashes| crashes.count).sum::<u32>()
    }

    /// Returns whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, digest: BodyDigest, now: Timestamp) -> bool {
        self.count(digest, now) >= CRASH_LIMIT
    }
}
