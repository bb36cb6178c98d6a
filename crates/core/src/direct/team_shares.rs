//! Fair shares of a service between teams, over all entries.
//!
//! The load: one team sends ten times as much as others to a service without room for all, from
//! callers that reach all entries or only a few.
//!
//! Each entry counts the work that it starts and the work that it is asked for, by service, rank and
//! team. Counts decay, so sums of them over entries need no alignment. From the sums follows the
//! *level* of a service and rank: the work that each team may have started, for its weight, such that
//! all of them together started what was in fact started. Teams that ask for less than that are given
//! what they ask for, and the others share the rest.

mod ledger;
mod pool;
mod sum;
mod water_level;
mod weights;

pub(super) use ledger::Charge;
pub use pool::{Pool, PoolWork, TeamWork, Work};
pub(super) use sum::WorkSum;
pub use water_level::{Claim, water_level};
pub use weights::Weights;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::time::Timestamp;
use ledger::Ledger;

/// Time in which work decays to 1 / e.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Interval at which levels are computed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Part of the started work that unmet work must exceed for a level to exist.
const PRESSURE_PART: f64 = 0.02;

/// Work up to which a team counts as within its due, as a part of the due.
const TOLERANCE: f64 = 1.1;

/// Factor between two levels of excess.
const EXCESS_STEP: f64 = 1.25;

/// Slots that are left to each waiting request that a peer reports, since others come to wait while
/// the report is on its way.
const OWED_FACTOR: u32 = 3;

/// Returns the part of work that is left after `age`.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// How a team stands in a pool with more work asked for than can be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The team has started at most its due.
    Owed,
    /// The team has started its due.
    Met,
    /// The team has started more; the number grows with the excess.
    Above(u8),
}

/// The due of the teams in one pool.
#[derive(Debug, Clone, Default)]
struct Level {
    /// Work that a team of weight one may have started, in milliseconds.
    due: f64,
    /// Work that peers started in this pool and in more urgent ones of the service, by team.
    peers: HashMap<u64, f64>,
    /// Requests of teams within their due that wait at peers.
    owed: u32,
    /// Whether no less urgent requests of the service were started.
    is_last: bool,
    /// Unmet work of all entries, by team.
    unmet: HashMap<u64, f64>,
}

/// A team in a pool without room for all, for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamStatus {
    /// The pool.
    pub pool: Pool,
    /// Digest of the team's name.
    pub team: u64,
    /// Work that the team is due, in milliseconds of slot time.
    pub due: f64,
    /// Work that the team has started lately, and work that was not started.
    pub work: Work,
}

/// The shares of the teams, as one entry knows them.
#[derive(Debug, Default)]
pub struct TeamShares {
    ledger: Ledger,
    weights: Weights,
    levels: BTreeMap<Pool, Level>,
    refreshed: Timestamp,
}

impl TeamShares {
    /// Replaces the weights of the teams.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Returns the weights of the teams.
    #[must_use]
    pub const fn weights(&self) -> &Weights {
        &self.weights
    }

    /// Records work that was asked for.
    pub fn ask(&mut self, charge: &Charge, now: Timestamp) {
        self.ledger.ask(charge, now);
    }

    /// Records that work was started.
    pub fn start(&mut self, charge: &Charge, now: Timestamp) {
        self.ledger.start(charge, now);
    }

    /// Records that started work did not run.
    pub fn take_back(&mut self, charge: &Charge, now: Timestamp) {
        self.ledger.take_back(charge, now);
    }

    /// Returns whether the levels are to be computed again.
    #[must_use]
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        now.since(self.refreshed) >= REFRESH_INTERVAL
    }

    /// Computes the levels from the work of this entry and from that of its peers, with the time at
    /// which each part of it was reported.
    pub fn refresh<'a>(
        &mut self,
        reported: impl Iterator<Item = (&'a [PoolWork], Timestamp)>,
        now: Timestamp,
    ) {
        self.refreshed = now;
        self.ledger.trim(now);
        let mut peers = WorkSum::default();
        for (pools, received) in reported {
            peers.add(pools, decay(now.since(received)));
        }
        let mut all = peers.clone();
        self.ledger.add_to(&mut all, now);
        let pools: Vec<Pool> = all.pools().collect();
        self.levels = pools
            .into_iter()
            .filter_map(|pool| Some((pool, self.level(pool, &all, &peers)?)))
            .collect();
    }

    /// Returns the level of a pool, if work that was asked for is not started there.
    fn level(&self, pool: Pool, all: &WorkSum, peers: &WorkSum) -> Option<Level> {
        let total = all.total(pool);
        if total.unmet <= total.used * PRESSURE_PART {
            return None;
        }
        let claim = |(team, work): (u64, Work)| {
            let floor = all.more_urgent(pool, team);
            let ceiling = floor + work.used + work.unmet;
            (Claim::new(floor, ceiling, self.weights.of(team)), floor)
        };
        let (mut claims, floors): (Vec<_>, Vec<_>) = all.teams(pool).map(claim).unzip();
        let rest = all.rest(pool);
        let listed: f64 = claims.iter().map(|claim| claim.weight).sum();
        let weight = (self.weights.total() - listed).max(1.0);
        claims.push(Claim::new(0.0, rest.used + rest.unmet, weight));
        let started = total.used + floors.iter().sum::<f64>();
        // What less urgent requests have taken gives way.
        let less_urgent = all.less_urgent(pool);
        let room = started + less_urgent;
        let asked: f64 = claims.iter().map(|claim| claim.ceiling).sum();
        if asked <= room * (1.0 + PRESSURE_PART) {
            return None;
        }
        let started_by = |(team, work): (u64, Work)| (team, work.used);
        let mut of_peers: HashMap<u64, f64> = peers.teams(pool).map(started_by).collect();
        for (team, _) in all.teams(pool) {
            *of_peers.entry(team).or_default() += peers.more_urgent(pool, team);
        }
        Some(Level {
            due: water_level(&claims, room),
            peers: of_peers,
            owed: peers.owed(pool),
            is_last: less_urgent <= room * PRESSURE_PART,
            unmet: all
                .teams(pool)
                .map(|(team, work)| (team, work.unmet))
                .collect(),
        })
    }

    /// Returns the work of a team that counts in a pool, in milliseconds.
    fn started(&self, pool: Pool, level: &Level, team: u64, now: Timestamp) -> f64 {
        let peers = level.peers.get(&team).copied().unwrap_or(0.0);
        peers * decay(now.since(self.refreshed)) + self.ledger.started(pool, team, now)
    }

    /// Returns how a team stands whose waiting requests here need `ahead` milliseconds of work; `None`
    /// if the pool has room for all.
    #[must_use]
    pub fn standing(&self, pool: Pool, team: u64, ahead: f64, now: Timestamp) -> Option<Standing> {
        let level = self.levels.get(&pool)?;
        let due = level.due * decay(now.since(self.refreshed)) * self.weights.of(team);
        let started = self.started(pool, level, team, now) + ahead;
        Some(if started <= due {
            Standing::Owed
        } else if started <= due * TOLERANCE {
            Standing::Met
        } else {
            let steps = (started / (due * TOLERANCE)).ln() / EXCESS_STEP.ln();
            Standing::Above(steps.min(f64::from(u8::MAX - 1)) as u8 + 1)
        })
    }

    /// Returns whether teams above their due leave `free` slots of a pool's service to the requests of
    /// teams within their due that wait at peers, of the pool's rank or a more urgent one. Where less
    /// urgent requests were started too, those might take what is left, so less is left.
    #[must_use]
    pub fn leaves_slots(&self, pool: Pool, free: u32) -> bool {
        let levels = self.levels.range(Pool::first(pool.service)..=pool);
        let owed: u32 = levels.map(|(_, level)| level.owed).sum();
        let is_last = self.levels.get(&pool).is_none_or(|level| level.is_last);
        let factor = if is_last { OWED_FACTOR } else { 1 };
        owed > 0 && owed.saturating_mul(factor) >= free
    }

    /// Returns the sum of this entry's work and the given work of others. Only services without room
    /// for all are included. `owed` returns the requests of teams within their due that wait here.
    pub(super) fn sum<'a>(
        &self,
        others: impl Iterator<Item = (&'a [PoolWork], Timestamp)>,
        owed: impl Fn(Pool) -> u32,
        now: Timestamp,
    ) -> WorkSum {
        let mut sum = WorkSum::default();
        self.ledger.add_to(&mut sum, now);
        for (pools, received) in others {
            sum.add(pools, decay(now.since(received)));
        }
        sum.retain(|pool| self.is_pressed(pool.service) || self.ledger.has_unmet(pool, now));
        let pools: Vec<Pool> = sum.pools().collect();
        for pool in pools {
            sum.add_owed(pool, owed(pool));
        }
        sum
    }

    fn is_pressed(&self, service: u64) -> bool {
        let mut levels = self.levels.range(Pool::first(service)..);
        levels
            .next()
            .is_some_and(|(pool, _)| pool.service == service)
    }

    /// Returns the teams in pools without room for all.
    pub fn statuses(&self, now: Timestamp) -> impl Iterator<Item = TeamStatus> {
        self.levels.iter().flat_map(move |(pool, level)| {
            let teams = level.unmet.iter();
            teams.map(move |(team, unmet)| TeamStatus {
                pool: *pool,
                team: *team,
                due: level.due * self.weights.of(*team),
                work: Work {
                    used: self.started(*pool, level, *team, now),
                    unmet: *unmet,
                },
            })
        })
    }
}
