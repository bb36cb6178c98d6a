//! Sums of the work of several entries.

use std::collections::BTreeMap;

use super::decay;
use super::pool::{Pool, PoolWork, TeamWork, Work};
use super::weights::Weights;
use crate::time::Timestamp;

/// Teams of one pool in a report.
const TEAMS_LIMIT: usize = 32;

/// Pools in a report.
const POOLS_LIMIT: usize = 32;

#[derive(Debug, Clone, Default)]
struct PoolSum {
    owed: u32,
    teams: BTreeMap<u64, Work>,
    rest: Work,
}

/// Work by pool and team.
#[derive(Debug, Clone, Default)]
pub struct WorkSum {
    pools: BTreeMap<Pool, PoolSum>,
}

impl WorkSum {
    /// Adds reported work, of which `factor` is left. What waited then is assumed to wait still.
    pub(super) fn add(&mut self, reported: &[PoolWork], factor: f64) {
        for part in reported.iter().take(POOLS_LIMIT) {
            let sum = self.pools.entry(part.pool).or_default();
            sum.owed += u32::from(part.owed);
            sum.rest.add(part.rest.work(), factor);
            for team in part.teams.iter().take(TEAMS_LIMIT) {
                sum.teams
                    .entry(team.team)
                    .or_default()
                    .add(team.work(), factor);
            }
        }
    }

    /// Returns the sum without work that was reported at `received` and added then.
    pub(in crate::direct) fn without(
        &self,
        reported: &[PoolWork],
        received: Timestamp,
        now: Timestamp,
    ) -> Self {
        let factor = -decay(now.since(received));
        let mut left = self.clone();
        for part in reported.iter().take(POOLS_LIMIT) {
            let Some(sum) = left.pools.get_mut(&part.pool) else {
                continue;
            };
            sum.owed = sum.owed.saturating_sub(u32::from(part.owed));
            sum.rest.add(part.rest.work(), factor);
            for team in part.teams.iter().take(TEAMS_LIMIT) {
                if let Some(work) = sum.teams.get_mut(&team.team) {
                    work.add(team.work(), factor);
                }
            }
        }
        left
    }

    pub(super) fn add_team(&mut self, pool: Pool, team: u64, work: Work) {
        let sum = self.pools.entry(pool).or_default();
        sum.teams.entry(team).or_default().add(work, 1.0);
    }

    pub(super) fn add_owed(&mut self, pool: Pool, owed: u32) {
        if let Some(sum) = self.pools.get_mut(&pool) {
            sum.owed += owed;
        }
    }

    pub(super) fn retain(&mut self, mut is_kept: impl FnMut(&Pool) -> bool) {
        self.pools.retain(|pool, _| is_kept(pool));
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = Pool> {
        self.pools.keys().copied()
    }

    pub(super) fn teams(&self, pool: Pool) -> impl Iterator<Item = (u64, Work)> {
        let teams = self.pools.get(&pool).into_iter().flat_map(|sum| &sum.teams);
        teams.map(|(team, work)| (*team, *work))
    }

    pub(super) fn rest(&self, pool: Pool) -> Work {
        self.pools
            .get(&pool)
            .map_or_else(Work::default, |sum| sum.rest)
    }

    pub(super) fn owed(&self, pool: Pool) -> u32 {
        self.pools.get(&pool).map_or(0, |sum| sum.owed)
    }

    /// Returns the work of all teams in a pool.
    pub(super) fn total(&self, pool: Pool) -> Work {
        let mut total = self.rest(pool);
        for (_, work) in self.teams(pool) {
            total.add(work, 1.0);
        }
        total
    }

    /// Returns the work that a team started in the more urgent pools of the same service.
    pub(super) fn more_urgent(&self, pool: Pool, team: u64) -> f64 {
        let ranks = (0..pool.rank).map(|rank| Pool { rank, ..pool });
        let pools = ranks.filter_map(|pool| self.pools.get(&pool));
        let work = pools.filter_map(|sum| sum.teams.get(&team));
        work.map(|work| work.used).sum()
    }

    /// Returns the work started in the less urgent pools of the same service.
    pub(super) fn less_urgent(&self, pool: Pool) -> f64 {
        let later = self
            .pools
            .keys()
            .filter(|other| other.service == pool.service && **other > pool);
        later.map(|other| self.total(*other).used).sum()
    }

    /// Returns the work for a report. Teams that ask for less than others, by their weight, are summed
    /// up.
    pub(in crate::direct) fn to_report(&self, weights: &Weights) -> Vec<PoolWork> {
        let pools = self.pools.iter().take(POOLS_LIMIT);
        pools
            .map(|(pool, sum)| sum.to_report(*pool, weights))
            .collect()
    }
}

impl PoolSum {
    fn to_report(&self, pool: Pool, weights: &Weights) -> PoolWork {
        let asked = |(team, work): &(u64, Work)| (work.used + work.unmet) / weights.of(*team);
        let mut teams: Vec<(u64, Work)> = self.teams.iter().map(|(t, work)| (*t, *work)).collect();
        teams.sort_by(|a, b| asked(b).total_cmp(&asked(a)));
        let mut rest = self.rest;
        for (_, work) in teams.iter().skip(TEAMS_LIMIT) {
            rest.add(*work, 1.0);
        }
        teams.truncate(TEAMS_LIMIT);
        let listed = teams.iter().map(|(team, work)| TeamWork::new(*team, *work));
        PoolWork {
            pool,
            owed: u16::try_from(self.owed).unwrap_or(u16::MAX),
            teams: listed
                .filter(|team| team.used > 0 || team.unmet > 0)
                .collect(),
            rest: TeamWork::new(0, rest),
        }
    }
}
