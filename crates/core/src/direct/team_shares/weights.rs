//! Weights of teams.

use std::collections::HashMap;
use std::sync::Arc;

use crate::direct::digest::digest;
use crate::direct::plan::{PlanTeam, Unit};

/// Weights by digest of the team; a team without a rate has the weight one.
#[derive(Debug, Clone, Default)]
pub struct Weights {
    version: u64,
    by_team: HashMap<u64, f64>,
}

impl Weights {
    /// Returns the weights in a version of the configuration: each team's rate relative to the mean
    /// rate of the teams whose rate is in the same unit.
    #[must_use]
    pub fn new(version: u64, teams: &[Arc<PlanTeam>]) -> Self {
        let mean = |unit: Unit| {
            let rates = teams
                .iter()
                .filter(|team| team.unit == unit && team.rate > 0);
            let (count, sum) = rates.fold((0.0, 0.0), |(count, sum), team| {
                (count + 1.0, sum + team.rate as f64)
            });
            sum / f64::max(count, 1.0)
        };
        let (requests, tokens) = (mean(Unit::Requests), mean(Unit::Tokens));
        let weight = |team: &Arc<PlanTeam>| match (team.rate, team.unit) {
            (0, _) => 1.0,
            (rate, Unit::Requests) => rate as f64 / requests,
            (rate, Unit::Tokens) => rate as f64 / tokens,
        };
        Self {
            version,
            by_team: teams
                .iter()
                .map(|team| (digest(&team.name), weight(team)))
                .collect(),
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the weight of a team.
    #[must_use]
    pub fn of(&self, team: u64) -> f64 {
        self.by_team.get(&team).copied().unwrap_or(1.0)
    }

    /// Returns the sum of the weights of all configured teams.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.by_team.values().sum()
    }
}
