//! A configuration as its operators wrote it, before it is put in force.
//!
//! A [`Plan`] answers lookups, so it keeps no entry that another one hides. A draft keeps every entry
//! in its order, so that a check can name the entries that would have no effect.

use std::sync::Arc;
use std::time::Duration;

use super::plan::{Plan, PlanTeam, Route, ServicePlan};
use crate::id::KeyDigest;

/// A service with the capacity that its operators declare for each of its endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceDraft {
    /// The service.
    pub plan: ServicePlan,
    /// Requests that an endpoint runs at once, if declared.
    pub slots: Option<u32>,
    /// Connections that an endpoint accepts, if declared.
    pub connections: Option<u32>,
}

/// A team with its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamDraft {
    /// The team.
    pub team: PlanTeam,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// A whole configuration in the order of its document.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanDraft {
    /// Version, which grows with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceDraft>,
    /// Teams; none if requests need no keys.
    pub teams: Option<Vec<TeamDraft>>,
    /// Largest request header, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for receiving a request header.
    pub header_timeout: Duration,
    /// Longest idle time of a caller's connection.
    pub idle_timeout: Duration,
}

impl PlanDraft {
    /// Builds the configuration that the entries put in force. Of two services of one name the last
    /// one counts, and a key that two teams have belongs to the last one.
    ///
    /// ```
    /// use comfreyhaven_core::direct::PlanDraft;
    ///
    /// let draft = PlanDraft { version: 7, ..PlanDraft::default() };
    /// assert_eq!(draft.into_plan().version, 7);
    /// ```
    #[must_use]
    pub fn into_plan(self) -> Plan {
        let mut plan = Plan {
            version: self.version,
            keyed: self.teams.is_some(),
            header_bytes: self.header_bytes,
            body_bytes: self.body_bytes,
            header_timeout: self.header_timeout,
            idle_timeout: self.idle_timeout,
            ..Plan::default()
        };
        for route in self.routes {
            plan.add_route(route);
        }
        plan.sort_routes();
        for service in self.services {
            let name = Arc::clone(&service.plan.name);
            plan.services.insert(name, service.plan);
        }
        for (index, draft) in self.teams.into_iter().flatten().enumerate() {
            for key in draft.keys {
                plan.keys.insert(key, index);
            }
            plan.teams.push(Arc::new(draft.team));
        }
        plan
    }
}
