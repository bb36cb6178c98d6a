//! When the configuration in force was last confirmed.
//!
//! A configuration is confirmed as of the time at which the read that found it unchanged was sent,
//! since the answer may have been delayed. A peer that holds the same version passes its own
//! confirmation on, as an age at the time of its answer to this entry's message. A delayed message
//! therefore makes the configuration look older, never newer.

use std::time::Duration;

use crate::time::Timestamp;

/// The version in force and when it was last confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Confirmation {
    version: u64,
    confirmed: Option<Timestamp>,
}

impl Confirmation {
    /// Records that a read sent at `read_at` found `version` in force.
    pub fn confirm(&mut self, version: u64, read_at: Timestamp) {
        if version < self.version {
            return;
        }
        if version > self.version {
            *self = Self {
                version,
                confirmed: Some(read_at),
            };
            return;
        }
        self.confirmed = self.confirmed.max(Some(read_at));
    }

    /// Adopts a newer version that has not been confirmed yet.
    pub fn adopt(&mut self, version: u64) {
        if version > self.version {
            *self = Self {
                version,
                confirmed: None,
            };
        }
    }

    /// Records a peer's confirmation: the peer held `version`, confirmed `age` before it answered a
    /// message that this entry sent at `sent_at`.
    pub fn confirm_by_peer(&mut self, version: u64, age: Duration, sent_at: Timestamp) {
        if version == self.version {
            self.confirmed = self.confirmed.max(Some(sent_at - age));
        }
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time since the version was last confirmed.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether the version was confirmed less than `limit` ago.
    #[must_use]
    pub fn is_current(&self, limit: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
