//! Rate and burst of each team, as one entry may spend them.
//!
//! A team's rate and burst are split evenly among the declared entry hosts. A share starts empty, so
//! that a restart never makes tokens.

use std::collections::HashMap;
use std::time::Duration;

use crate::fleet::{Fleet, Team};
use crate::name::TeamName;
use crate::time::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(Debug)]
struct Share {
    /// Token-microseconds, so that slow rates lose nothing to rounding.
    level: u128,
    rate: u64,
    burst: u64,
    holders: u64,
    updated: Timestamp,
}

/// This entry's shares of every team that has asked for something.
#[derive(Debug, Default)]
pub struct Ledger {
    shares: HashMap<TeamName, Share>,
}

impl Ledger {
    /// Opens an empty share for each team that is new and forgets those that are gone.
    pub fn configure(&mut self, fleet: &Fleet, now: Timestamp) {
        self.shares.retain(|team, _| fleet.teams.contains_key(team));
        for team in fleet.teams.keys() {
            self.shares
                .entry(team.clone())
                .or_insert_with(|| Share::new(now));
        }
    }

    /// Takes `tokens` from a team's share, or says how long the share needs to hold them.
    ///
    /// # Errors
    /// Returns the time after which the tokens are there, or `None` if they never fit the burst.
    pub fn take(
        &mut self,
        fleet: &Fleet,
        team: &Team,
        tokens: u64,
        now: Timestamp,
    ) -> Result<(), Option<Duration>> {
        let share = self
            .shares
            .entry(team.name.clone())
            .or_insert_with(|| Share::new(now));
        share.refill(team, fleet.hosts.len() as u64, now);
        share.take(tokens)
    }

    /// Gives back tokens that were reserved and not used.
    pub fn refund(&mut self, team: &TeamName, tokens: u64) {
        if let Some(share) = self.shares.get_mut(team) {
            share.give(tokens);
        }
    }
}

impl Share {
    fn new(now: Timestamp) -> Self {
        Self {
            level: 0,
            rate: 0,
            burst: 0,
            holders: 1,
            updated: now,
        }
    }

    fn refill(&mut self, team: &Team, holders: u64, now: Timestamp) {
        let elapsed = now.since(self.updated).as_micros();
        self.updated = now;
        (self.rate, self.burst, self.holders) = (team.rate, team.burst, holders.max(1));
        self.level = (self.level + elapsed * u128::from(self.rate)).min(self.capacity());
    }

    /// Level units: one token of the whole team's is `MICROS_PER_SECOND * holders`.
    fn unit(&self) -> u128 {
        u128::from(MICROS_PER_SECOND * self.holders)
    }

    fn capacity(&self) -> u128 {
        u128::from(self.burst) * u128::from(MICROS_PER_SECOND)
    }

    fn take(&mut self, tokens: u64) -> Result<(), Option<Duration>> {
        let need = u128::from(tokens) * self.unit();
        if need <= self.level {
            self.level -= need;
            return Ok(());
        }
        if need > self.capacity() || self.rate == 0 {
            return Err(None);
        }
        let micros = (need - self.level).div_ceil(u128::from(self.rate));
        Err(Some(Duration::from_micros(
            u64::try_from(micros).unwrap_or(u64::MAX),
        )))
    }

    fn give(&mut self, tokens: u64) {
        self.level = (self.level + u128::from(tokens) * self.unit()).min(self.capacity());
    }
}
