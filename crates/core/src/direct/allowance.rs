//! Load pattern: one team sends many times its usual through every entry at once.
//!
//! Each entry keeps the whole team's bucket and debits what it lets in and what its peers say they
//! let in. The share of a peer that has fallen silent is left to it: it may still run.

use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Part of the burst that a process finds at its start; others may have spent before.
const START: f64 = 0.5;

/// A request is over its team's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("over the team's rate; enough is there in {refill:?}")]
pub struct Excess {
    /// When the rate would have filled the gap.
    pub refill: Duration,
}

/// One team's bucket, in its units.
#[derive(Debug)]
pub struct Allowance {
    rate: f64,
    burst: f64,
    level: f64,
    updated: Timestamp,
}

impl Allowance {
    /// A bucket of a team that is first seen at `now`.
    #[must_use]
    pub fn new(rate: u64, burst: u64, now: Timestamp) -> Self {
        Self {
            rate: rate as f64,
            burst: burst as f64,
            level: burst as f64 * START,
            updated: now,
        }
    }

    /// Takes another rate and burst.
    pub fn configure(&mut self, rate: u64, burst: u64, now: Timestamp) {
        self.fill(1.0, now);
        (self.rate, self.burst) = (rate as f64, burst as f64);
        self.level = self.level.min(self.burst);
    }

    fn fill(&mut self, part: f64, now: Timestamp) {
        let gained = now.since(self.updated).as_secs_f64() * self.rate * part;
        self.updated = self.updated.max(now);
        self.level = (self.level + gained).min(self.burst);
    }

    /// Takes `units`. `part` is the part of the rate that entries which can be heard may use.
    ///
    /// # Errors
    /// Returns an [`Excess`] if the bucket holds less.
    pub fn take(&mut self, units: u64, part: f64, now: Timestamp) -> Result<(), Excess> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        self.fill(part, now);
        // A request that is larger than the burst may run when the bucket is full.
        let need = (units as f64).min(self.burst);
        if self.level < need {
            let seconds = (need - self.level) / (self.rate * part.max(0.01));
            return Err(Excess {
                refill: Duration::from_secs_f64(seconds.clamp(0.01, 60.0)),
            });
        }
        self.level -= units as f64;
        Ok(())
    }

    /// Gives back what did not run.
    pub fn give(&mut self, units: u64) {
        self.level = (self.level + units as f64).min(self.burst);
    }

    /// Debits what a peer let in.
    pub fn debit(&mut self, units: u64) {
        // Below this, what peers spent is a burst that they took together before they heard.
        self.level = (self.level - units as f64).max(-self.burst);
    }
}
