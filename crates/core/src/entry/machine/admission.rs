//! Admission of arrivals: checks the route, the caller's key and the quarantine, and bounds the
//! number of bodies held in memory.

use std::sync::Arc;

use super::super::message::{Action, Arrival};
use super::super::pending::Pending;
use super::{Entry, OPEN_TEAM, RETRY_DELAY};
use crate::fleet::{Route, RouteAccess};
use crate::id::RequestId;
use crate::name::TeamName;
use crate::refusal::{Refusal, RefusalKind};
use crate::time::Timestamp;

/// Maximum number of requests whose body has not been sent. Their bodies are held in memory.
const UNDISPATCHED_LIMIT: usize = 2_048;

impl Entry {
    pub(super) fn handle_arrival(
        &mut self,
        arrival: Arrival,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let request = arrival.id;
        match self.admit(arrival, now) {
            Ok(mut pending) => {
                self.arrivals += 1;
                pending.sequence = self.arrivals;
                self.undispatched.insert(pending.shed_key());
                self.requests.insert(request, pending);
                if self.shed_excess(now, actions) != Some(request) {
                    self.enqueue_charge(request, now, actions);
                }
            }
            Err(refusal) => actions.push(Action::Refuse { request, refusal }),
        }
    }

    /// Refuses the newest request of the lowest tier if too many requests wait at this entry.
    /// Returns the request that was refused.
    fn shed_excess(&mut self, now: Timestamp, actions: &mut Vec<Action>) -> Option<RequestId> {
        if self.undispatched.len() <= UNDISPATCHED_LIMIT {
            return None;
        }
        let &(_, _, request) = self.undispatched.last()?;
        let route = &self.requests.get(&request)?.arrival.route;
        let delay = self.route_waits.retry_delay(route);
        let refusal = Refusal::new(RefusalKind::Overloaded).with_retry(delay);
        self.refuse(request, refusal, now, actions);
        Some(request)
    }

    fn admit(&self, arrival: Arrival, now: Timestamp) -> Result<Pending, Refusal> {
        let fleet = Arc::clone(&self.fleet);
        if self.leaving || !fleet.hosts.contains_key(&self.name) {
            return Err(Refusal::new(RefusalKind::Unavailable).with_retry(RETRY_DELAY));
        }
        let route = fleet
            .routes
            .get(&arrival.route)
            .ok_or(Refusal::new(RefusalKind::NoRoute))?;
        let team = self.team_of(&arrival, route)?;
        if let Some(refusal) = self.quarantine_refusal(arrival.body, now) {
            return Err(refusal);
        }
        Ok(Pending::new(
            arrival,
            team,
            route.tier,
            now + route.deadline,
        ))
    }

    /// Returns the team that is charged for a request, after checking its key against the route.
    /// Requests without a known key on an open route are assigned to [`OPEN_TEAM`].
    fn team_of(&self, arrival: &Arrival, route: &Route) -> Result<TeamName, Refusal> {
        let key = arrival.key.as_ref();
        let Some(team) = key.and_then(|key| self.fleet.team_of_key(key)) else {
            return match route.access {
                RouteAccess::Open => {
                    TeamName::new(OPEN_TEAM).map_err(|_| Refusal::new(RefusalKind::Unauthenticated))
                }
                RouteAccess::Teams => Err(Refusal::new(RefusalKind::Unauthenticated)),
            };
        };
        if !self.fleet.may_use(Some(team), route) {
            return Err(Refusal::new(RefusalKind::Forbidden));
        }
        Ok(team.name.clone())
    }

    /// Repeats the check of the key just before the body is sent, since the key may have been
    /// revoked while the request waited. Returns the refusal if it fails.
    pub(super) fn access_refusal(&self, pending: &Pending) -> Option<Refusal> {
        let Some(route) = self.fleet.routes.get(&pending.arrival.route) else {
            return Some(Refusal::new(RefusalKind::NoRoute));
        };
        if route.access == RouteAccess::Open {
            return None;
        }
        match self.team_of(&pending.arrival, route) {
            Ok(team) if team == pending.team => None,
            _ => Some(Refusal::new(RefusalKind::Unauthenticated)),
        }
    }
}
