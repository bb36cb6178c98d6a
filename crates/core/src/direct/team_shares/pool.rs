//! Work of teams, by the pool of slots that it takes place in.

use serde::{Deserialize, Serialize};

/// Requests of one service that are served in turn: those of one rank of teams and of routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// Digest of the service's name.
    pub service: u64,
    /// Urgency of the teams.
    pub team_rank: u8,
    /// Urgency at which the requests are queued.
    pub rank: u8,
}

impl Pool {
    /// Returns the most urgent pool of a service.
    #[must_use]
    pub const fn first(service: u64) -> Self {
        Self {
            service,
            team_rank: 0,
            rank: 0,
        }
    }
}

/// Work in milliseconds of slot time, decayed since it was counted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Work that was started.
    pub used: f64,
    /// Work that was asked for and not started.
    pub unmet: f64,
}

impl Work {
    /// Adds a part of other work; less than nothing cannot result.
    pub(super) fn add(&mut self, other: Self, factor: f64) {
        self.used = (self.used + other.used * factor).max(0.0);
        self.unmet = (self.unmet + other.unmet * factor).max(0.0);
    }
}

/// Work of one team in a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamWork {
    /// Digest of the team's name; zero in the sum of several teams.
    pub team: u64,
    /// Started work in milliseconds.
    pub used: u32,
    /// Work that was asked for and not started, in milliseconds.
    pub unmet: u32,
}

impl TeamWork {
    /// Returns the work of a team in whole milliseconds.
    #[must_use]
    pub const fn new(team: u64, work: Work) -> Self {
        Self {
            team,
            used: work.used as u32,
            unmet: work.unmet as u32,
        }
    }

    /// Returns the work.
    #[must_use]
    pub fn work(&self) -> Work {
        Work {
            used: f64::from(self.used),
            unmet: f64::from(self.unmet),
        }
    }
}

/// Work in one pool in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolWork {
    /// The pool.
    pub pool: Pool,
    /// Waiting requests of teams within their due.
    pub owed: u16,
    /// The teams that ask for most.
    pub teams: Vec<TeamWork>,
    /// Work of all other teams.
    pub rest: TeamWork,
}
