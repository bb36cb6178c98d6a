//! What an entry knows of the newest restoration of the platform's store.
//!
//! A store that is restored from a copy has lost what was written since. The operator and the
//! endpoints write it again, which takes time. Until then an answer shows only that the store has
//! nothing newer, not that nothing newer was acknowledged.

use std::time::Duration;

use crate::time::Timestamp;

/// Time after the store's return in which running endpoints write their records again.
pub const RECOVERY_TIME: Duration = Duration::from_millis(1_900);

/// Longest time for which an entry waits for the operator to write again what the store has lost.
const OPERATOR_TIME: Duration = Duration::from_secs(10);

/// Longest time until a read by one of the readers is known to all entries.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// The newest era that an entry knows, and what its reads confirm.
#[derive(Debug, Clone, Copy, Default)]
pub struct Restoration {
    era: Option<u64>,
    /// When this entry learned of the era.
    seen: Timestamp,
    /// Whether this entry knew an earlier era.
    risen: bool,
    /// Version of the configuration that the store has shown in this era.
    shown: u64,
    /// The newest version that a peer has reported, and when.
    reported: Option<(u64, Timestamp)>,
}

impl Restoration {
    /// Records the era of an answer or of a peer's snapshot. Returns the era before if a known one
    /// has ended.
    pub fn observe(&mut self, era: u64, now: Timestamp) -> Option<u64> {
        let before = self.era;
        if before >= Some(era) {
            return None;
        }
        self.era = Some(era);
        self.seen = now;
        self.risen = before.is_some();
        self.shown = 0;
        before
    }

    /// Returns the newest known era.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.unwrap_or_default()
    }

    /// Records the version that the store shows.
    pub const fn record_shown(&mut self, version: u64) {
        self.shown = version;
    }

    /// Returns the version that the store has shown in this era, or 0.
    #[must_use]
    pub const fn shown(&self) -> u64 {
        self.shown
    }

    /// Records a version in a peer's report that is newer than the one in force here.
    pub fn record_reported(&mut self, version: u64, now: Timestamp) {
        if self.reported.is_none_or(|(known, _)| known <= version) {
            self.reported = Some((version, now));
        }
    }

    /// Returns whether a read sent at `sent` confirms that the version `in_force` is the newest.
    #[must_use]
    pub fn confirms(&self, in_force: u64, sent: Timestamp) -> bool {
        let is_superseded = self
            .reported
            .is_some_and(|(version, at)| version > in_force && sent < at + OPERATOR_TIME);
        self.era() == 0 || !(is_superseded || self.awaits_operator(in_force, sent))
    }

    /// Returns whether the store shows an older version than the one `in_force`, and the operator
    /// still has time to write that one again. Reads do not confirm it until then.
    #[must_use]
    pub fn awaits_operator(&self, in_force: u64, now: Timestamp) -> bool {
        self.era() > 0 && self.shown < in_force && now < self.seen + OPERATOR_TIME
    }

    /// Returns whether the confirmation of the version `in_force` is old because the operator is
    /// awaited, so that more reads would not renew it. The readers' next confirmation takes
    /// [`REPORT_TIME`] to reach all entries.
    #[must_use]
    pub fn delays_confirmation(&self, in_force: u64, now: Timestamp) -> bool {
        self.awaits_operator(in_force, now - REPORT_TIME)
    }

    /// Returns the time by which running endpoints have written their records again, if this entry
    /// has seen the store being restored.
    #[must_use]
    pub fn return_time(&self) -> Option<Timestamp> {
        self.risen.then(|| self.seen + RECOVERY_TIME)
    }

    /// Returns until when this entry waits for what the operator has to write again, if it has seen
    /// the store being restored.
    #[must_use]
    pub fn operator_time(&self) -> Option<Timestamp> {
        self.risen.then(|| self.seen + OPERATOR_TIME)
    }
}
