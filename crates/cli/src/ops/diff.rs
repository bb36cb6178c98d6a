//! What a new configuration changes, in operators' terms.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::time::Duration;

use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, Fleet, Host, Route, Service, Team, TierSpec,
};
use serde::Serialize;

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[display("{part}: {what}")]
pub struct Change {
    /// What changes, such as `team kakheti`.
    pub part: String,
    /// How, and what it does.
    pub what: String,
}

/// Lists what changes from `old` to `new`.
///
/// ```
/// use comfreyhaven_cli::ops::diff::diff;
///
/// let text = |rate: u32| format!(
///     "[document]\nname = teams-0\ngeneration = 1\n\
///      [team kakheti]\nrate = {rate}/s\nburst tokens = 10\n"
/// );
/// let fleet = |rate| comfreyhaven_config::check([("teams", text(rate).as_str())]).unwrap();
/// let changes = diff(&fleet(5), &fleet(6));
/// assert_eq!(changes[0].to_string(), "team kakheti: rate 5/s -> 6/s");
/// ```
#[must_use]
pub fn diff(old: &Fleet, new: &Fleet) -> Vec<Change> {
    let mut changes = Vec::new();
    let tiers = |fleet: &Fleet| {
        let tiers = fleet.tiers.iter();
        tiers
            .map(|tier| (tier.name.clone(), tier.clone()))
            .collect()
    };
    parts(&mut changes, &tiers(old), &tiers(new));
    parts(&mut changes, &old.centres, &new.centres);
    parts(&mut changes, &old.hosts, &new.hosts);
    parts(&mut changes, &old.endpoints, &new.endpoints);
    parts(&mut changes, &old.routes, &new.routes);
    parts(&mut changes, &old.teams, &new.teams);
    changes
}

/// A part that can be compared value by value.
trait Part {
    /// The word of its section.
    const KIND: &'static str;
    /// What its removal does.
    const REMOVED: &'static str;
    /// Its values by name, as operators write them.
    fn values(&self) -> Vec<(&'static str, String)>;
    /// Its lists by name.
    fn lists(&self) -> Vec<(&'static str, BTreeSet<String>)> {
        Vec::new()
    }
    /// What a changed value does, if it is not plain.
    fn effect(_name: &str, _value: &str) -> &'static str {
        ""
    }
}

fn parts<K: Ord + Display, P: Part>(
    changes: &mut Vec<Change>,
    old: &BTreeMap<K, P>,
    new: &BTreeMap<K, P>,
) {
    let names: BTreeSet<&K> = old.keys().chain(new.keys()).collect();
    for name in names {
        let part = format!("{} {name}", P::KIND);
        let found = match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => values(old, new),
            (Some(_), None) => vec![format!("removed; {}", P::REMOVED)],
            (None, Some(_)) => vec!["added".to_owned()],
            (None, None) => Vec::new(),
        };
        changes.extend(found.into_iter().map(|what| Change {
            part: part.clone(),
            what,
        }));
    }
}

fn values<P: Part>(old: &P, new: &P) -> Vec<String> {
    let pairs = old.values().into_iter().zip(new.values());
    let changed = pairs.filter(|(old, new)| old != new);
    let mut found: Vec<_> = changed
        .map(|((name, old), (_, new))| format!("{name} {old} -> {new}{}", P::effect(name, &new)))
        .collect();
    for ((name, old), (_, new)) in old.lists().into_iter().zip(new.lists()) {
        let gone = old
            .difference(&new)
            .map(|item| format!("{name} without {item}"));
        let come = new
            .difference(&old)
            .map(|item| format!("{name} with {item}"));
        found.extend(gone.chain(come));
    }
    found
}

fn texts<T: Display>(items: &BTreeSet<T>) -> BTreeSet<String> {
    items.iter().map(ToString::to_string).collect()
}

impl Part for TierSpec {
    const KIND: &'static str = "tier";
    const REMOVED: &'static str = "no route may name it";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![("rank", self.tier.to_string())]
    }
}

impl Part for DataCentre {
    const KIND: &'static str = "data centre";
    const REMOVED: &'static str = "nothing may stand in it";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("region", self.region.clone()),
            ("state", self.state.to_string()),
        ]
    }
    fn effect(name: &str, value: &str) -> &'static str {
        let state = |state: DataCentreState| name == "state" && value == <&str>::from(state);
        if state(DataCentreState::Out) {
            "; its endpoints get no new work and finish what runs"
        } else if state(DataCentreState::In) {
            "; its endpoints get new work again"
        } else {
            ""
        }
    }
}

impl Part for Host {
    const KIND: &'static str = "host";
    const REMOVED: &'static str = "agents refuse its entry; its share of every rate goes to others";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("data centre", self.centre.to_string()),
            ("control", self.control.to_string()),
        ]
    }
}

impl Part for Endpoint {
    const KIND: &'static str = "endpoint";
    const REMOVED: &'static str = "it gets no new work";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("data centre", self.centre.to_string()),
            ("kind", self.kind.to_string()),
            ("control", self.control.to_string()),
            ("traffic", self.traffic.to_string()),
            ("cold requests", self.cold.to_string()),
            ("warm requests", self.warm.to_string()),
            ("cache tokens", self.tokens.to_string()),
        ]
    }
    fn lists(&self) -> Vec<(&'static str, BTreeSet<String>)> {
        vec![("serves", texts(&self.serves))]
    }
}

impl Part for Route {
    const KIND: &'static str = "route";
    const REMOVED: &'static str = "its requests are refused";
    fn values(&self) -> Vec<(&'static str, String)> {
        let (kind, idempotent, window) = match &self.service {
            Service::Model(_) => ("model", false, Duration::ZERO),
            Service::Plain {
                idempotent, window, ..
            } => ("service", *idempotent, *window),
        };
        vec![
            ("path", self.path.clone()),
            ("leads to", format!("{kind} {}", self.service.name())),
            ("idempotent", idempotent.to_string()),
            ("resend window", format!("{}ms", window.as_millis())),
            ("rank of tier", self.tier.to_string()),
            ("access", self.access.to_string()),
            ("deadline", format!("{}ms", self.deadline.as_millis())),
            ("output tokens", self.output.to_string()),
        ]
    }
    fn effect(name: &str, value: &str) -> &'static str {
        match (name, value) {
            ("access", "open") => "; anyone may use it without a key",
            ("access", _) => "; only teams that list it may use it",
            _ => "",
        }
    }
}

impl Part for Team {
    const KIND: &'static str = "team";
    const REMOVED: &'static str = "its keys stop working";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("rate", format!("{}/s", self.rate)),
            ("burst tokens", self.burst.to_string()),
            ("weight", self.weight.to_string()),
        ]
    }
    fn lists(&self) -> Vec<(&'static str, BTreeSet<String>)> {
        vec![("keys", texts(&self.keys)), ("routes", texts(&self.routes))]
    }
}
