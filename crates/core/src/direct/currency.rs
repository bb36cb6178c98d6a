//! How current the configuration is known to be.
//!
//! A configuration is confirmed as of the moment at which the read that found it unchanged was sent:
//! its answer may have waited anywhere. A peer that holds the same version passes its own confirmation
//! on, as an age at the moment of its answer to our own message, so that a message which was held up
//! makes the configuration look older and never newer.

use std::time::Duration;

use crate::time::Timestamp;

/// The version in force and when it was last confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Currency {
    version: u64,
    confirmed: Option<Timestamp>,
}

impl Currency {
    /// Notes that `version` was in force at `asked`.
    pub fn confirm(&mut self, version: u64, asked: Timestamp) {
        if version < self.version {
            return;
        }
        if version > self.version {
            *self = Self {
                version,
                confirmed: Some(asked),
            };
            return;
        }
        self.confirmed = self.confirmed.max(Some(asked));
    }

    /// Takes a newer version of which nobody has said yet how current it is.
    pub fn adopt(&mut self, version: u64) {
        if version > self.version {
            *self = Self {
                version,
                confirmed: None,
            };
        }
    }

    /// Notes what a peer said: it held `version`, confirmed `age` before it answered a message that
    /// was sent at `asked`.
    pub fn hear(&mut self, version: u64, age: Duration, asked: Timestamp) {
        if version == self.version {
            self.confirmed = self.confirmed.max(Some(asked - age));
        }
    }

    /// The version in force.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// How long ago the version was known to be in force.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether the version was in force less than `limit` ago.
    #[must_use]
    pub fn is_current(&self, limit: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
