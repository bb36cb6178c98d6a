//! Describes the changes between two configurations for operators.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::time::Duration;

use comfreyhaven_core::fleet::{
    DataCentre, DataCentreState, Endpoint, Fleet, Host, Route, Service, Team, TierSpec,
};
use serde::Serialize;

/// One change to an item of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[display("{part}: {what}")]
pub struct Change {
    /// Kind and name of the item, such as `team kakheti`.
    pub part: String,
    /// The change and its effect.
    pub what: String,
}

/// Lists the changes from `old` to `new`.
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
    compare_items(&mut changes, &tiers(old), &tiers(new));
    compare_items(&mut changes, &old.centres, &new.centres);
    compare_items(&mut changes, &old.hosts, &new.hosts);
    compare_items(&mut changes, &old.endpoints, &new.endpoints);
    compare_items(&mut changes, &old.routes, &new.routes);
    compare_items(&mut changes, &old.teams, &new.teams);
    changes
}

/// An item of a configuration that can be compared value by value.
trait Item {
    /// Kind of the item, as shown to operators.
    const KIND: &'static str;
    /// Effect of removing the item.
    const REMOVAL_EFFECT: &'static str;
    /// Returns the names of the item's values, with the values as operators write them.
    fn values(&self) -> Vec<(&'static str, String)>;
    /// Returns the names of the item's lists, with their elements.
    fn lists(&self) -> Vec<(&'static str, BTreeSet<String>)> {
        Vec::new()
    }
    /// Returns the effect of a changed value, or an empty text if the change is self-explanatory.
    fn effect(_name: &str, _value: &str) -> &'static str {
        ""
    }
}

fn compare_items<K: Ord + Display, I: Item>(
    changes: &mut Vec<Change>,
    old: &BTreeMap<K, I>,
    new: &BTreeMap<K, I>,
) {
    let names: BTreeSet<&K> = old.keys().chain(new.keys()).collect();
    for name in names {
        let part = format!("{} {name}", I::KIND);
        let found = match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => compare_values(old, new),
            (Some(_), None) => vec![format!("removed; {}", I::REMOVAL_EFFECT)],
            (None, Some(_)) => vec!["added".to_owned()],
            (None, None) => Vec::new(),
        };
        changes.extend(found.into_iter().map(|what| Change {
            part: part.clone(),
            what,
        }));
    }
}

fn compare_values<I: Item>(old: &I, new: &I) -> Vec<String> {
    let pairs = old.values().into_iter().zip(new.values());
    let changed = pairs.filter(|(old, new)| old != new);
    let mut found: Vec<_> = changed
        .map(|((name, old), (_, new))| format!("{name} {old} -> {new}{}", I::effect(name, &new)))
        .collect();
    for ((name, old), (_, new)) in old.lists().into_iter().zip(new.lists()) {
        let removed = old
            .difference(&new)
            .map(|item| format!("{item} removed from {name}"));
        let added = new
            .difference(&old)
            .map(|item| format!("{item} added to {name}"));
        found.extend(removed.chain(added));
    }
    found
}

fn to_strings<T: Display>(items: &BTreeSet<T>) -> BTreeSet<String> {
    items.iter().map(ToString::to_string).collect()
}

impl Item for TierSpec {
    const KIND: &'static str = "tier";
    const REMOVAL_EFFECT: &'static str = "no route may reference it";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![("rank", self.tier.to_string())]
    }
}

impl Item for DataCentre {
    const KIND: &'static str = "data centre";
    const REMOVAL_EFFECT: &'static str = "no host or endpoint may be in it";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("region", self.region.clone()),
            ("state", self.state.to_string()),
        ]
    }
    fn effect(name: &str, value: &str) -> &'static str {
        let state = |state: DataCentreState| name == "state" && value == <&str>::from(state);
        if state(DataCentreState::Out) {
            "; its endpoints receive no new work and finish running requests"
        } else if state(DataCentreState::In) {
            "; its endpoints receive new work again"
        } else {
            ""
        }
    }
}

impl Item for Host {
    const KIND: &'static str = "host";
    const REMOVAL_EFFECT: &'static str =
        "agents reject its entry; its share of every rate limit goes to other entries";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("data centre", self.centre.to_string()),
            ("control", self.control.to_string()),
        ]
    }
}

impl Item for Endpoint {
    const KIND: &'static str = "endpoint";
    const REMOVAL_EFFECT: &'static str = "it receives no new work";
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
        vec![("serves", to_strings(&self.serves))]
    }
}

impl Item for Route {
    const KIND: &'static str = "route";
    const REMOVAL_EFFECT: &'static str = "its requests are refused";
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

impl Item for Team {
    const KIND: &'static str = "team";
    const REMOVAL_EFFECT: &'static str = "its keys stop working";
    fn values(&self) -> Vec<(&'static str, String)> {
        vec![
            ("rate", format!("{}/s", self.rate)),
            ("burst tokens", self.burst.to_string()),
            ("weight", self.weight.to_string()),
        ]
    }
    fn lists(&self) -> Vec<(&'static str, BTreeSet<String>)> {
        vec![
            ("keys", to_strings(&self.keys)),
            ("routes", to_strings(&self.routes)),
        ]
    }
}
