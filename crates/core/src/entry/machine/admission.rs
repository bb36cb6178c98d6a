//! Whether an arrival may run at all.

use std::sync::Arc;

use super::super::message::{Action, Arrival};
use super::super::pending::Pending;
use super::{Entry, OPEN_TEAM, RETRY_DELAY};
use crate::fleet::{Route, RouteAccess};
use crate::id::RequestId;
use crate::name::TeamName;
use crate::refusal::{Refusal, RefusalKind};
use crate::time::Timestamp;

/// Requests whose body has not left at most. Their bodies are held in memory.
const UNDISPATCHED_LIMIT: usize = 2_048;

impl Entry {
    pub(super) fn arrive(&mut self, arrival: Arrival, now: Timestamp, actions: &mut Vec<Action>) {
        let request = arrival.id;
        match self.admit(arrival, now) {
            Ok(mut pending) => {
                self.arrivals += 1;
                pending.sequence = self.arrivals;
                self.undispatched.insert(pending.rank());
                self.requests.insert(request, pending);
                if self.shed_surplus(now, actions) != Some(request) {
                    self.pay(request, now, actions);
                }
            }
            Err(refusal) => actions.push(Action::Refuse { request, refusal }),
        }
    }

    /// Refuses the newest request of the lowest tier if the entry owns too many that wait.
    fn shed_surplus(&mut self, now: Timestamp, actions: &mut Vec<Action>) -> Option<RequestId> {
        if self.undispatched.len() <= UNDISPATCHED_LIMIT {
            return None;
        }
        let &(_, _, request) = self.undispatched.last()?;
        let route = &self.requests.get(&request)?.arrival.route;
        let retry = self.waits.retry(route);
        let refusal = Refusal::new(RefusalKind::Overloaded).with_retry(retry);
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
        if let Some(refusal) = self.quarantined(arrival.body, now) {
            return Err(refusal);
        }
        Ok(Pending::new(
            arrival,
            team,
            route.tier,
            now + route.deadline,
        ))
    }

    /// Checks key and route. A request on an open route without a known key runs for no team.
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

    /// Checks again, at the last moment before the body leaves, that the key still holds.
    pub(super) fn revoked(&self, pending: &Pending) -> Option<Refusal> {
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
