//! Fair shares of a service between teams: what the scheduler counts, asks and reports.

use std::collections::HashMap;
use std::sync::Arc;

use super::{Ending, Scheduler};
use crate::direct::digest::digest;
use crate::direct::endpoint_table::Run;
use crate::direct::placement_request::PlacementRequest;
use crate::direct::source::{Scope, Source};
use crate::direct::team_shares::{Charge, Pool, PoolWork, Standing, TeamStatus, Weights, WorkSum};
use crate::direct::wait_queue::SHARED_RANK;
use crate::time::Timestamp;

/// A team of a service without room for all.
#[derive(Debug, Clone)]
pub struct PressedTeam {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the team; `None` for requests without a team.
    pub team: Option<Arc<str>>,
    /// What the team is due and has.
    pub status: TeamStatus,
    /// Work of the team's requests that wait at this entry, in milliseconds of slot time.
    pub waiting: f64,
}

impl Scheduler {
    /// Computes the shares again if they are outdated.
    pub(super) fn refresh_shares(&mut self, now: Timestamp) {
        if !self.policies.team_shares || !self.shares.is_outdated(now) {
            return;
        }
        if self.shares.weights().version() != self.plan.version {
            let weights = Weights::new(self.plan.version, &self.plan.teams);
            self.shares.set_weights(weights);
        }
        let reported = self.demand.values();
        let reported = reported.map(|demand| (&*demand.shares, demand.received));
        self.shares.refresh(reported, now);
    }

    /// Counts the work that a new request asks for and returns the step of its team's excess over its
    /// due; zero within it. A caller that returns after a refusal has been counted before.
    pub(super) fn share_step(&mut self, request: &PlacementRequest, now: Timestamp) -> u8 {
        if !self.policies.team_shares {
            return 0;
        }
        self.refresh_shares(now);
        let charge = charge(request);
        if request.elapsed.is_zero() {
            self.shares.ask(&charge, now);
        }
        let queue = self.queues.get(&request.service);
        let ahead = queue.map_or(0.0, |queue| queue.team_work_ms(request.team));
        match self.shares.standing(charge.pool, charge.team, ahead, now) {
            Some(Standing::Above(step)) => step,
            Some(Standing::Owed | Standing::Met) | None => 0,
        }
    }

    /// Returns whether a request may take one of `free` slots while others wait at peers, if the share
    /// of its team decides that.
    pub(super) fn share_claim(
        &self,
        request: &PlacementRequest,
        free: u32,
        now: Timestamp,
    ) -> Option<bool> {
        if !self.policies.team_shares {
            return None;
        }
        let pool = pool(request);
        match self.shares.standing(pool, request.team, 0.0, now)? {
            Standing::Owed => Some(true),
            Standing::Met => None,
            Standing::Above(_) => self.shares.leaves_slots(pool, free).then_some(false),
        }
    }

    /// Counts the work of a request that is sent.
    pub(super) fn start_work(&mut self, request: &PlacementRequest, run: &mut Run, now: Timestamp) {
        if self.policies.team_shares {
            let charge = charge(request);
            self.shares.start(&charge, now);
            run.charge = Some(charge);
        }
    }

    /// Takes back the work of a request that did not run.
    pub(super) fn settle_work(&mut self, run: &Run, ending: Ending, now: Timestamp) {
        if let (Some(charge), Ending::Full | Ending::Rejected) = (&run.charge, ending) {
            self.shares.take_back(charge, now);
        }
    }

    /// Returns the work of all entries that a report of the given scope speaks for.
    pub(super) fn work_sum(&self, scope: Scope, now: Timestamp) -> WorkSum {
        if !self.policies.team_shares {
            return WorkSum::default();
        }
        let included = self.demand.iter();
        let included = included.filter(|(source, _)| source.is_within(scope));
        let others = included.map(|(_, demand)| (&*demand.shares, demand.received));
        self.shares.sum(others, |pool| self.owed(pool), now)
    }

    /// Returns a sum of work as it is reported to `recipient`, without the recipient's own part.
    pub(super) fn reported_work(
        &self,
        sum: &WorkSum,
        recipient: Option<&Source>,
        now: Timestamp,
    ) -> Vec<PoolWork> {
        let weights = self.shares.weights();
        match recipient.and_then(|recipient| self.demand.get(recipient)) {
            Some(part) => sum
                .without(&part.shares, part.received, now)
                .to_report(weights),
            None => sum.to_report(weights),
        }
    }

    /// Returns the number of requests of teams within their due that wait here.
    fn owed(&self, pool: Pool) -> u32 {
        let queues = self.queues.iter();
        let mut queues = queues.filter(|(service, _)| digest(&**service) == pool.service);
        let owed = queues.next().map_or(0, |(_, queue)| {
            let requests = queue.timely_requests();
            requests
                .filter(|request| request.share == 0 && self::pool(request) == pool)
                .count()
        });
        u32::try_from(owed).unwrap_or(u32::MAX)
    }

    /// Returns the teams of services without room for all, for metrics and log lines.
    #[must_use]
    pub fn pressed_teams(&self, now: Timestamp) -> Vec<PressedTeam> {
        let services = self.plan.services.keys();
        let services: HashMap<u64, &Arc<str>> =
            services.map(|name| (digest(&**name), name)).collect();
        let teams = self.plan.teams.iter();
        let teams: HashMap<u64, &Arc<str>> =
            teams.map(|team| (digest(&team.name), &team.name)).collect();
        let named = |status: TeamStatus| {
            let service = *services.get(&status.pool.service)?;
            let queue = self.queues.get(service);
            Some(PressedTeam {
                service: Arc::clone(service),
                team: teams.get(&status.team).map(|name| Arc::clone(name)),
                waiting: queue.map_or(0.0, |queue| queue.team_work_ms(status.team)),
                status,
            })
        };
        self.shares.statuses(now).filter_map(named).collect()
    }
}

/// Returns the pool that a request is served in.
fn pool(request: &PlacementRequest) -> Pool {
    Pool {
        service: digest(&*request.service),
        team_rank: request.team_rank,
        rank: request.rank.min(SHARED_RANK),
    }
}

fn charge(request: &PlacementRequest) -> Charge {
    Charge {
        pool: pool(request),
        team: request.team,
        cost: request.slot_time().as_secs_f64() * 1_000.0,
    }
}
