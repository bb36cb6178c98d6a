//! Limits that all entries keep together: teams' rates and the retry budgets.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Scheduler;
use crate::direct::digest::digest;
use crate::direct::members::{DISCOVERY_TIME, FLEET_MEMORY, MEMBER_RETENTION};
use crate::direct::plan::{EndpointId, PlanTeam};
use crate::direct::rate_limit::{FleetView, RateExceeded};
use crate::direct::retry_budget::{RetryBudget, RetryUsage};
use crate::time::Timestamp;

/// Time after which a retry that was taken from the budget has arrived at an endpoint.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Charges a request's units to its team.
    ///
    /// # Errors
    /// Returns a [`RateExceeded`] if the team exceeds its rate and burst.
    pub fn charge(
        &mut self,
        team: &PlanTeam,
        units: u64,
        rank: u8,
        now: Timestamp,
    ) -> Result<(), RateExceeded> {
        let fleet = FleetView {
            responsive_part: self.members.responsive_part(now) * self.seen_part(now),
            members: self.members.count(),
            interval: self.topology.propagation(&self.members),
            lag: self.report_lag(now),
            chance: self.random.random(),
        };
        let team = digest(&team.name);
        if let Some(limiter) = self.rate_limiters.get_mut(&team) {
            limiter.take(units, rank, &fleet, now)?;
            self.spending
                .add_own(team, i64::try_from(units).unwrap_or(i64::MAX / 4));
        }
        Ok(())
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, team: &PlanTeam, units: u64, now: Timestamp) {
        let team = digest(&team.name);
        let units = i64::try_from(units).unwrap_or(i64::MAX / 4);
        if let Some(limiter) = self.rate_limiters.get_mut(&team) {
            limiter.refund(units, now);
            self.spending.add_own(team, -units);
        }
    }

    /// Counts a request for a service in its retry budget, whether or not the request is sent.
    pub fn count_request(&mut self, service: &Arc<str>, now: Timestamp) {
        self.budget(service).record_request(now);
        self.hedging.count_request(service);
    }

    /// Takes a retry from the service's budget. Returns whether one was available.
    pub fn take_retry(&mut self, service: &Arc<str>, now: Timestamp) -> bool {
        let part = self.retry_part(now);
        self.budget(service).take(part, now)
    }

    /// Returns what this entry may take of the service's retry budget, and has taken.
    pub fn retry_usage(&mut self, service: &Arc<str>, now: Timestamp) -> RetryUsage {
        let part = self.retry_part(now);
        self.budget(service).usage(part, now)
    }

    /// Returns whether the budget allows a retry now and an endpoint outside of `excluded`, of the
    /// required build, has a free slot.
    pub fn may_retry(
        &mut self,
        service: &Arc<str>,
        build: Option<&str>,
        excluded: &[EndpointId],
        streaming: bool,
        now: Timestamp,
    ) -> bool {
        let part = self.retry_part(now);
        self.budget(service).has_left(part, now)
            && self.has_alternative(service, build, excluded, streaming, now)
    }

    /// Returns this entry's part of the fixed number of retries. The parts of all entries add up to
    /// at most the whole. A restarted entry has none while its predecessor may have spent it.
    pub(super) fn retry_part(&self, now: Timestamp) -> f64 {
        let started = Timestamp::from_micros(self.identity.started);
        let is_spent = now < started + self.bounds.retry_window + RETRY_DELAY_MAX;
        if self.is_restarted() && is_spent {
            return 0.0;
        }
        let count = self.members.recent_count() + self.members.unfound(&self.seeds);
        self.seen_part_within(FLEET_MEMORY, now) / count as f64
    }

    /// Returns the part of a limit of the whole fleet that the entries may use which this entry knows.
    ///
    /// A process that has restarted in a cut knows its side of the fleet only. It takes the part of the
    /// seeds that it has found. Each seed is on one side, so the parts of all sides add up to one.
    /// Seeds that it never finds count for as long as members that do not respond.
    pub(super) fn seen_part(&self, now: Timestamp) -> f64 {
        self.seen_part_within(MEMBER_RETENTION, now)
    }

    /// Returns the same if seeds that were not found count for `memory` after the start.
    fn seen_part_within(&self, memory: Duration, now: Timestamp) -> f64 {
        let started = Timestamp::from_micros(self.identity.started);
        if !self.is_restarted() || started + memory <= now || self.seeds.is_empty() {
            return 1.0;
        }
        let found = self.seeds.len() - self.members.unfound(&self.seeds);
        found as f64 / self.seeds.len() as f64
    }

    /// Returns whether another process may have run in the place of this one before.
    pub(super) const fn is_restarted(&self) -> bool {
        !self.bounds.rate_policy.first_start && self.identity.started > 0
    }

    /// Returns whether this process may not have discovered all other entries yet.
    pub(super) const fn is_discovering(&self, now: Timestamp) -> bool {
        let started = self.identity.started;
        self.is_restarted() && now.as_micros() < started + DISCOVERY_TIME.as_micros() as u64
    }

    pub(super) fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let bounds = &self.bounds;
        self.budgets.entry(Arc::clone(service)).or_insert_with(|| {
            RetryBudget::new(bounds.retry_window, bounds.retry_ratio, bounds.retry_slack)
        })
    }
}
