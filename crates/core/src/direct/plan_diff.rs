//! What a configuration changes of the one in force, in words, the dangerous changes first.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use strum::IntoStaticStr;

use super::plan::{Access, Plan, PlanTeam, Route, ServicePlan};

/// Whether a change can make requests fail that are served now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Risk {
    /// Requests that are served now may be refused, run elsewhere, run twice, or run without a key.
    Dangerous,
    /// No request that is served now is refused because of it.
    Harmless,
}

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Whether it is dangerous.
    pub risk: Risk,
    /// The item that differs, such as `route look.example/look/`.
    pub item: String,
    /// What differs.
    pub change: String,
}

/// Lists what `new` changes of `old`, dangerous changes first.
///
/// ```
/// use comfreyhaven_core::direct::{Plan, diff_plans};
///
/// let (old, new) = (Plan::default(), Plan { body_bytes: 10, ..Plan::default() });
/// assert_eq!(diff_plans(&old, &new)[0].change, "largest body 0 B -> 10 B");
/// ```
#[must_use]
pub fn diff_plans(old: &Plan, new: &Plan) -> Vec<Difference> {
    let mut diff = Diff::default();
    diff.routes(old, new);
    diff.services(old, new);
    diff.teams(old, new);
    diff.limits(old, new);
    let mut found = diff.found;
    found.sort_by_key(|difference| difference.risk);
    found
}

#[derive(Default)]
struct Diff {
    found: Vec<Difference>,
}

impl Diff {
    fn add(&mut self, risk: Risk, item: &str, change: impl Into<String>) {
        self.found.push(Difference {
            risk,
            item: item.to_owned(),
            change: change.into(),
        });
    }

    /// Adds a changed value, which is dangerous if `is_worse`.
    fn value<T: PartialEq + Copy>(
        &mut self,
        item: &str,
        name: &str,
        (old, new): (T, T),
        show: impl Fn(T) -> String,
        is_worse: bool,
    ) {
        if old != new {
            let change = format!("{name} {} -> {}", show(old), show(new));
            self.add(risk(is_worse), item, change);
        }
    }

    /// Adds a changed limit, of which a lower one is dangerous.
    fn limit<T: PartialOrd + Copy>(
        &mut self,
        item: &str,
        name: &str,
        (old, new): (T, T),
        show: impl Fn(T) -> String,
    ) {
        self.value(item, name, (old, new), show, new < old);
    }

    fn routes(&mut self, old: &Plan, new: &Plan) {
        let (old, new) = (routes(old), routes(new));
        let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        for key in keys {
            let item = format!("route {}{}", key.0, key.1);
            match (old.get(key), new.get(key)) {
                (Some(_), None) => self.add(Risk::Dangerous, &item, "removed"),
                (None, Some(route)) => {
                    let change = format!("added; leads to {}", targets(route));
                    self.add(Risk::Harmless, &item, change);
                }
                (Some(old), Some(new)) => self.route(&item, old, new),
                (None, None) => {}
            }
        }
    }

    fn route(&mut self, item: &str, old: &Route, new: &Route) {
        let (from, to) = (targets(old), targets(new));
        if from != to {
            let change = format!("moves from {from} to {to}");
            self.add(Risk::Dangerous, item, change);
        }
        if old.access != new.access {
            let change = match new.access {
                Access::Open => "anyone may use it without a key",
                Access::Keyed => "only callers with a key may use it",
            };
            self.add(Risk::Dangerous, item, change);
        }
        let retries = (old.retry, new.retry);
        let show = |policy| format!("{policy:?}").to_lowercase();
        self.value(item, "repeats", retries, show, true);
        let streams = (old.streaming, new.streaming);
        self.value(item, "streaming", streams, |v| v.to_string(), true);
        self.limit(item, "time limit", (old.timeout, new.timeout), millis);
        self.limit(item, "objective", (old.objective, new.objective), millis);
        let attempts = (old.max_attempts, new.max_attempts);
        self.limit(item, "attempts", attempts, |v| v.to_string());
        let ranks = (old.rank, new.rank);
        self.value(item, "rank", ranks, |v| v.to_string(), new.rank > old.rank);
        let gaps = (old.event_gap, new.event_gap);
        let show = |gap: Option<Duration>| gap.map_or_else(|| "none".to_owned(), millis);
        self.value(item, "gap between events", gaps, show, false);
    }

    fn services(&mut self, old: &Plan, new: &Plan) {
        let names: BTreeSet<_> = old.services.keys().chain(new.services.keys()).collect();
        for name in names {
            let item = format!("service {name}");
            match (old.services.get(name), new.services.get(name)) {
                (Some(_), None) => self.add(Risk::Dangerous, &item, "removed"),
                (None, Some(_)) => self.add(Risk::Harmless, &item, "added"),
                (Some(old), Some(new)) => self.service(&item, old, new),
                (None, None) => {}
            }
        }
    }

    fn service(&mut self, item: &str, old: &ServicePlan, new: &ServicePlan) {
        let capacities = (old.cold_capacity, new.cold_capacity);
        let show = |v: f64| format!("{v}/s");
        self.limit(item, "cold capacity", capacities, show);
        let warmups = (old.warmup, new.warmup);
        self.value(item, "warm-up", warmups, millis, new.warmup > old.warmup);
        let reservations = (old.reservation, new.reservation);
        self.value(item, "reservation", reservations, millis, false);
        let tokens = (old.event_tokens, new.event_tokens);
        self.value(item, "tokens of an event", tokens, |v| v.to_string(), false);
    }

    fn teams(&mut self, old: &Plan, new: &Plan) {
        if old.keyed != new.keyed {
            let change = match new.keyed {
                true => "requests need keys",
                false => "requests need no keys",
            };
            self.add(Risk::Dangerous, "teams", change);
        }
        let (before, after) = (teams(old), teams(new));
        let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
        for name in names {
            let item = format!("team {name}");
            match (before.get(name), after.get(name)) {
                (Some(_), None) => {
                    self.add(Risk::Dangerous, &item, "removed; its keys stop working");
                }
                (None, Some(_)) => self.add(Risk::Harmless, &item, "added"),
                (Some(old), Some(new)) => self.team(&item, old, new),
                (None, None) => {}
            }
        }
        self.keys(old, new);
    }

    fn team(&mut self, item: &str, old: &PlanTeam, new: &PlanTeam) {
        let units = (old.unit, new.unit);
        let show = |unit| format!("{unit:?}").to_lowercase();
        self.value(item, "unit", units, show, true);
        // A rate of zero is no limit.
        let is_lower = new.rate != 0 && (old.rate == 0 || new.rate < old.rate);
        let rate = |v| match v {
            0 => "none".to_owned(),
            rate => format!("{rate}/s"),
        };
        self.value(item, "rate", (old.rate, new.rate), rate, is_lower);
        self.limit(item, "burst", (old.burst, new.burst), |v| v.to_string());
        let plain = (old.plain_units, new.plain_units);
        let is_dearer = new.plain_units > old.plain_units;
        let show = |v: u64| v.to_string();
        self.value(item, "units of a plain request", plain, show, is_dearer);
        let show = |rank: Option<u8>| rank.map_or_else(|| "none".to_owned(), |v| v.to_string());
        self.value(
            item,
            "rank",
            (old.rank, new.rank),
            show,
            new.rank > old.rank,
        );
    }

    /// Adds the keys that are taken away, given to another team or added, without their texts.
    fn keys(&mut self, old: &Plan, new: &Plan) {
        let mut taken: BTreeMap<String, usize> = BTreeMap::new();
        let mut added: BTreeMap<String, usize> = BTreeMap::new();
        for key in old.keys.keys() {
            let Some(team) = old.team(key) else { continue };
            if new.team(key).is_none_or(|other| other.name != team.name) {
                *taken.entry(team.name.to_string()).or_default() += 1;
            }
        }
        for key in new.keys.keys() {
            let Some(team) = new.team(key) else { continue };
            if old.team(key).is_none_or(|other| other.name != team.name) {
                *added.entry(team.name.to_string()).or_default() += 1;
            }
        }
        for (team, count) in taken {
            let change = format!("{count} of its keys stop working for it");
            self.add(Risk::Dangerous, &format!("team {team}"), change);
        }
        for (team, count) in added {
            let change = format!("{count} keys added");
            self.add(Risk::Harmless, &format!("team {team}"), change);
        }
    }

    fn limits(&mut self, old: &Plan, new: &Plan) {
        const ITEM: &str = "limits";
        let bytes = |v: usize| format!("{v} B");
        let headers = (old.header_bytes, new.header_bytes);
        self.limit(ITEM, "largest header", headers, bytes);
        let bodies = (old.body_bytes, new.body_bytes);
        self.limit(ITEM, "largest body", bodies, bytes);
        let times = (old.header_timeout, new.header_timeout);
        self.limit(ITEM, "time for a header", times, millis);
        let times = (old.idle_timeout, new.idle_timeout);
        self.limit(ITEM, "idle time", times, millis);
    }
}

const fn risk(is_dangerous: bool) -> Risk {
    match is_dangerous {
        true => Risk::Dangerous,
        false => Risk::Harmless,
    }
}

fn millis(time: Duration) -> String {
    format!("{} ms", time.as_millis())
}

/// Returns the routes that can match, by host and prefix.
fn routes(plan: &Plan) -> BTreeMap<(Arc<str>, Arc<str>), &Route> {
    let mut routes = BTreeMap::new();
    for route in plan.routes.values().flatten() {
        let key = (Arc::clone(&route.host), Arc::clone(&route.prefix));
        routes.entry(key).or_insert(&**route);
    }
    routes
}

fn teams(plan: &Plan) -> HashMap<Arc<str>, &PlanTeam> {
    let teams = plan.teams.iter();
    teams
        .map(|team| (Arc::clone(&team.name), &**team))
        .collect()
}

/// Returns the services of a route, with their parts of its requests.
fn targets(route: &Route) -> String {
    let total: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
    let part = |weight: u32| f64::from(weight) / total.max(1) as f64 * 100.0;
    let targets = route.split.iter().map(|target| match route.split.len() {
        1 => target.service.to_string(),
        _ => format!("{} ({:.0} in 100)", target.service, part(target.weight)),
    });
    targets.collect::<Vec<_>>().join(", ")
}
