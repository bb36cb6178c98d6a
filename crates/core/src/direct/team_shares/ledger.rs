//! The work of teams at one entry.

use std::collections::BTreeMap;

use super::decay;
use super::pool::{Pool, Work};
use super::sum::WorkSum;
use crate::time::Timestamp;

/// Work below which a team is forgotten, in milliseconds.
const FORGOTTEN_MS: f64 = 1.0;

/// Unmet work from which a pool is reported, in milliseconds.
const REPORTED_MS: f64 = 20.0;

/// The work of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// The pool that the request is served in.
    pub pool: Pool,
    /// Digest of the team's name.
    pub team: u64,
    /// Expected slot time, in milliseconds.
    pub cost: f64,
}

/// Work as of a time.
#[derive(Debug, Clone, Copy, Default)]
struct DatedWork {
    work: Work,
    counted: Timestamp,
}

impl DatedWork {
    fn at(&self, now: Timestamp) -> Work {
        let mut work = Work::default();
        work.add(self.work, decay(now.since(self.counted)));
        work
    }
}

/// The work of teams at one entry, by pool and team.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    work: BTreeMap<(Pool, u64), DatedWork>,
}

impl Ledger {
    pub(super) fn ask(&mut self, charge: &Charge, now: Timestamp) {
        self.add(charge, 0.0, charge.cost, now);
    }

    pub(super) fn start(&mut self, charge: &Charge, now: Timestamp) {
        self.add(charge, charge.cost, -charge.cost, now);
    }

    pub(super) fn take_back(&mut self, charge: &Charge, now: Timestamp) {
        self.add(charge, -charge.cost, 0.0, now);
    }

    fn add(&mut self, charge: &Charge, used: f64, unmet: f64, now: Timestamp) {
        let dated = self.work.entry((charge.pool, charge.team)).or_default();
        let mut work = dated.at(now);
        work.add(Work { used, unmet }, 1.0);
        *dated = DatedWork { work, counted: now };
    }

    /// Forgets teams without work.
    pub(super) fn trim(&mut self, now: Timestamp) {
        self.work.retain(|_, dated| {
            let work = dated.at(now);
            work.used + work.unmet > FORGOTTEN_MS
        });
    }

    /// Returns the work that a team started in a pool and in more urgent ones of the service.
    pub(super) fn started(&self, pool: Pool, team: u64, now: Timestamp) -> f64 {
        let first = Pool { rank: 0, ..pool };
        let ranks = (first.rank..=pool.rank).map(|rank| (Pool { rank, ..pool }, team));
        let work = ranks.filter_map(|key| self.work.get(&key));
        work.map(|dated| dated.at(now).used).sum()
    }

    pub(super) fn has_unmet(&self, pool: &Pool, now: Timestamp) -> bool {
        let of_pool = self.work.range((*pool, 0)..=(*pool, u64::MAX));
        let unmet: f64 = of_pool.map(|(_, dated)| dated.at(now).unmet).sum();
        unmet >= REPORTED_MS
    }

    pub(super) fn add_to(&self, sum: &mut WorkSum, now: Timestamp) {
        for ((pool, team), dated) in &self.work {
            sum.add_team(*pool, *team, dated.at(now));
        }
    }
}
