//! Checks a configuration before it is put in force: errors, entries that can never match, and limits
//! that contradict each other.
//!
//! The check reads the same [`PlanDraft`] from which the entries build the configuration in force.

mod place;
mod problem;

pub use place::{LimitField, Place, RouteField, ServiceField, TeamField};
pub use problem::{Problem, Severity};

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::plan::{Access, RetryPolicy, Route};
use super::plan_draft::{PlanDraft, ServiceDraft, TeamDraft};
use crate::id::KeyDigest;

/// Characters that end the path of a request, or that no request line contains.
const NO_PATH: [char; 3] = ['?', '#', ' '];

/// One finding of a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub problem: Problem,
}

/// What is known of the deployment besides the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Surroundings {
    /// The version in force.
    pub version: Option<u64>,
    /// Number of endpoints by service, if their list is known.
    pub endpoints: Option<BTreeMap<Arc<str>, usize>>,
}

/// Returns all findings, errors first, each in the order of the configuration.
///
/// ```
/// use comfreyhaven_core::direct::{PlanDraft, Problem, Surroundings, check_plan};
///
/// let findings = check_plan(&PlanDraft::default(), &Surroundings::default());
/// assert_eq!(findings[0].problem, Problem::NoVersion);
/// ```
#[must_use]
pub fn check_plan(draft: &PlanDraft, surroundings: &Surroundings) -> Vec<Finding> {
    let mut check = Check {
        draft,
        surroundings,
        findings: Vec::new(),
    };
    check.version();
    check.limits();
    check.routes();
    check.services();
    check.teams();
    let mut findings = check.findings;
    findings.sort_by_key(|finding| (finding.problem.severity(), finding.place));
    findings
}

struct Check<'a> {
    draft: &'a PlanDraft,
    surroundings: &'a Surroundings,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn add(&mut self, place: Place, problem: Problem) {
        self.findings.push(Finding { place, problem });
    }

    fn version(&mut self) {
        let version = self.draft.version;
        if version == 0 {
            self.add(Place::Version, Problem::NoVersion);
        }
        if let Some(current) = self.surroundings.version
            && version <= current
        {
            self.add(Place::Version, Problem::OldVersion(current));
        }
    }

    fn limits(&mut self) {
        let draft = self.draft;
        let limits = [
            (LimitField::Header, draft.header_bytes == 0),
            (LimitField::HeaderTimeout, draft.header_timeout.is_zero()),
            (LimitField::IdleTimeout, draft.idle_timeout.is_zero()),
        ];
        for (field, is_zero) in limits {
            if is_zero {
                self.add(Place::Limit(field), Problem::NoLimit);
            }
        }
    }

    fn routes(&mut self) {
        let mut known: HashMap<(&str, &str), &Route> = HashMap::new();
        for (index, route) in self.draft.routes.iter().enumerate() {
            let place = |field| Place::Route(index, field);
            if is_bad_host(&route.host) {
                self.add(
                    place(RouteField::Host),
                    Problem::BadHost(route.host.clone()),
                );
            }
            self.prefix(index, route);
            match known.entry((&route.host, &route.prefix)) {
                std::collections::hash_map::Entry::Occupied(first) => {
                    let first = Arc::clone(&first.get().name);
                    self.add(place(RouteField::Prefix), Problem::HiddenRoute(first));
                }
                std::collections::hash_map::Entry::Vacant(entry) => drop(entry.insert(route)),
            }
            self.split(index, route);
            self.times(index, route);
            self.attempts(index, route);
        }
    }

    fn prefix(&mut self, index: usize, route: &Route) {
        let place = Place::Route(index, RouteField::Prefix);
        let prefix = &route.prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            self.add(place, Problem::BadPrefix(Arc::clone(prefix)));
        }
        if prefix.contains(NO_PATH) {
            self.add(place, Problem::ImpossiblePrefix(Arc::clone(prefix)));
        }
    }

    fn split(&mut self, index: usize, route: &Route) {
        let is_single = route.split.len() <= 1;
        let service = |part| match is_single {
            true => Place::Route(index, RouteField::Service),
            false => Place::Route(index, RouteField::SplitService(part)),
        };
        let total: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
        match (route.split.is_empty(), total) {
            (true, _) => self.add(service(0), Problem::NoService),
            (false, 0) => self.add(
                Place::Route(index, RouteField::SplitWeight(0)),
                Problem::NoWeights,
            ),
            _ => {}
        }
        for (part, target) in route.split.iter().enumerate() {
            if target.weight == 0 && total > 0 {
                let place = Place::Route(index, RouteField::SplitWeight(part));
                self.add(place, Problem::NoWeight);
            }
            if !self.is_declared(&target.service) {
                let problem = Problem::UnknownService(Arc::clone(&target.service));
                self.add(service(part), problem);
            } else if self.endpoints(&target.service) == Some(0) {
                let problem = Problem::NoEndpoints(Arc::clone(&target.service));
                self.add(service(part), problem);
            }
        }
    }

    fn is_declared(&self, service: &str) -> bool {
        let mut services = self.draft.services.iter();
        services.any(|known| *known.plan.name == *service)
    }

    /// Returns the number of a service's endpoints, if their list is known.
    fn endpoints(&self, service: &str) -> Option<usize> {
        let known = self.surroundings.endpoints.as_ref()?;
        Some(known.get(service).copied().unwrap_or(0))
    }

    fn times(&mut self, index: usize, route: &Route) {
        let place = |field| Place::Route(index, field);
        if route.timeout.is_zero() {
            self.add(place(RouteField::Timeout), Problem::NoTimeout);
            return;
        }
        let mut within = |field, time: Duration| {
            if time > route.timeout {
                self.add(place(field), Problem::AboveTimeout(time, route.timeout));
            }
        };
        within(RouteField::Objective, route.objective);
        if let Some(event_gap) = route.event_gap {
            within(RouteField::EventGap, event_gap);
            if !route.streaming {
                self.add(place(RouteField::EventGap), Problem::GapWithoutStream);
            }
        }
    }

    fn attempts(&mut self, index: usize, route: &Route) {
        let place = Place::Route(index, RouteField::Attempts);
        let attempts = route.max_attempts;
        let services = route.split.iter().map(|part| self.endpoints(&part.service));
        let most = services.max().flatten();
        match (attempts, route.retry) {
            (0, _) => self.add(place, Problem::NoAttempts),
            (1, _) => {}
            (_, RetryPolicy::Never) => self.add(place, Problem::UnusedAttempts(attempts)),
            _ => {
                if let Some(most) = most.filter(|most| (1..attempts as usize).contains(most)) {
                    self.add(place, Problem::AttemptsAboveEndpoints(attempts, most));
                }
            }
        }
    }

    fn services(&mut self) {
        let mut names = HashSet::new();
        for (index, service) in self.draft.services.iter().enumerate() {
            let name = &service.plan.name;
            let place = Place::Service(index, ServiceField::Name);
            if !names.insert(name) {
                self.add(place, Problem::DeclaredTwice(Arc::clone(name)));
            }
            let mut targets = self.draft.routes.iter().flat_map(|route| &route.split);
            if !targets.any(|part| part.service == *name) {
                self.add(place, Problem::UnusedService(Arc::clone(name)));
            }
            self.connections(index, service);
        }
    }

    fn connections(&mut self, index: usize, service: &ServiceDraft) {
        if let (Some(connections), Some(slots)) = (service.connections, service.slots)
            && connections < slots
        {
            let place = Place::Service(index, ServiceField::Connections);
            self.add(place, Problem::FewConnections(connections, slots));
        }
    }

    fn teams(&mut self) {
        let Some(teams) = &self.draft.teams else {
            return;
        };
        let mut routes = self.draft.routes.iter();
        if teams.is_empty() && routes.any(|route| route.access == Access::Keyed) {
            self.add(Place::Teams, Problem::NoTeams);
        }
        let mut names = HashSet::new();
        let mut holders: HashMap<KeyDigest, &Arc<str>> = HashMap::new();
        for (index, draft) in teams.iter().enumerate() {
            let name = &draft.team.name;
            if !names.insert(name) {
                let place = Place::Team(index, TeamField::Name);
                self.add(place, Problem::DeclaredTwice(Arc::clone(name)));
            }
            self.keys(index, draft, &mut holders);
            self.rate(index, draft);
        }
    }

    fn keys<'a>(
        &mut self,
        index: usize,
        draft: &'a TeamDraft,
        holders: &mut HashMap<KeyDigest, &'a Arc<str>>,
    ) {
        let name = &draft.team.name;
        if draft.keys.is_empty() {
            let place = Place::Team(index, TeamField::Keys);
            self.add(place, Problem::NoKeys(Arc::clone(name)));
        }
        for (number, key) in draft.keys.iter().enumerate() {
            let place = Place::Team(index, TeamField::Key(number));
            if *key == KeyDigest::of_key("") {
                self.add(place, Problem::EmptyKey);
            }
            if let Some(holder) = holders.insert(*key, name) {
                self.add(place, Problem::SharedKey(Arc::clone(holder)));
            }
        }
    }

    fn rate(&mut self, index: usize, draft: &TeamDraft) {
        let team = &draft.team;
        let place = Place::Team(index, TeamField::Burst);
        let one = match team.unit {
            super::plan::Unit::Requests => 1,
            super::plan::Unit::Tokens => team.plain_units,
        };
        match (team.rate, team.burst) {
            (0, 0) => {}
            (0, burst) => self.add(place, Problem::BurstWithoutRate(burst)),
            (_, burst) if burst < one => self.add(place, Problem::SmallBurst(burst, one)),
            _ => {}
        }
    }
}

/// Returns whether no request can name this host: ports are removed from the names that callers send.
fn is_bad_host(host: &str) -> bool {
    host.is_empty() || host.contains([':', '/', ' '])
}
