//! Checks references between sections, and values that must be unique across sections.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Display;
use std::net::SocketAddr;

use comfreyhaven_core::KeyDigest;
use comfreyhaven_core::fleet::{EndpointKind, Route, Service};

use crate::assemble::Declared;
use crate::document::DocumentKind;
use crate::problem::Problem;

/// Checks all documents together, and sets the rank of each route from its tier.
pub(crate) fn check(declared: &mut Declared) -> Vec<Problem> {
    let mut problems = Vec::new();
    set_ranks(declared, &mut problems);
    check_centres(declared, &mut problems);
    check_addresses(declared, &mut problems);
    check_paths(declared, &mut problems);
    check_kinds(declared, &mut problems);
    check_teams(declared, &mut problems);
    check_keys(declared, &mut problems);
    problems
}

/// Checks what can be checked within one document.
pub(crate) fn check_document(declared: &Declared) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_centres(declared, &mut problems);
    check_addresses(declared, &mut problems);
    check_paths(declared, &mut problems);
    check_keys(declared, &mut problems);
    problems
}

/// Location of a problem: a key in a section of a document.
struct Location<'a> {
    document: String,
    section: String,
    key: &'a str,
}

impl<'a> Location<'a> {
    fn new(declared: &Declared, kind: DocumentKind, section: String, key: &'a str) -> Self {
        let document = declared.origins.get(&kind).cloned().unwrap_or_default();
        Self {
            document,
            section,
            key,
        }
    }

    fn problem(self, found: &impl Display, expected: &str) -> Problem {
        Problem {
            document: self.document,
            section: self.section,
            name: Some(self.key.to_owned()),
            found: Some(found.to_string()),
            expected: expected.to_owned(),
        }
    }
}

fn set_ranks(declared: &mut Declared, problems: &mut Vec<Problem>) {
    let tiers = &declared.fleet.tiers;
    let ranks: HashMap<_, _> = tiers
        .iter()
        .map(|tier| (tier.name.clone(), tier.tier))
        .collect();
    for (route, tier) in declared.route_tiers.clone() {
        if !declared.is_declared("tier", &tier) {
            let section = format!("route {route}");
            let location = Location::new(declared, DocumentKind::Routes, section, "tier");
            problems.push(location.problem(&tier, "the name of a declared tier"));
        }
        let route = declared.fleet.routes.get_mut(&route);
        if let (Some(route), Some(&rank)) = (route, ranks.get(&tier)) {
            route.tier = rank;
        }
    }
}

fn check_centres(declared: &Declared, problems: &mut Vec<Problem>) {
    let fleet = &declared.fleet;
    let hosts = fleet.hosts.values();
    let hosts = hosts.map(|host| (format!("host {}", host.name), &host.centre));
    let endpoints = fleet.endpoints.values();
    let endpoints =
        endpoints.map(|endpoint| (format!("endpoint {}", endpoint.name), &endpoint.centre));
    for (section, centre) in hosts.chain(endpoints) {
        if !declared.is_declared("data-centre", centre) {
            let location = Location::new(declared, DocumentKind::Fleet, section, "data centre");
            problems.push(location.problem(centre, "the name of a declared data centre"));
        }
    }
}

/// Reports addresses that are used twice, because two listeners cannot share one.
fn check_addresses(declared: &Declared, problems: &mut Vec<Problem>) {
    let fleet = &declared.fleet;
    let hosts = fleet.hosts.values();
    let hosts = hosts.map(|host| (format!("host {}", host.name), "control", host.control));
    let endpoints = fleet.endpoints.values().flat_map(|endpoint| {
        let section = format!("endpoint {}", endpoint.name);
        [
            (section.clone(), "control", endpoint.control),
            (section, "traffic", endpoint.traffic),
        ]
    });
    let mut holders: HashMap<SocketAddr, String> = HashMap::new();
    for (section, name, address) in hosts.chain(endpoints) {
        if let Some(holder) = holders.get(&address) {
            let expected = format!("an address that [{holder}] does not use");
            let location = Location::new(declared, DocumentKind::Fleet, section, name);
            problems.push(location.problem(&address, &expected));
        } else {
            holders.insert(address, section);
        }
    }
}

/// Reports routes that overlap. A request must match a single route: the one with the longest
/// matching path and, on that path, the requested model.
fn check_paths(declared: &Declared, problems: &mut Vec<Problem>) {
    let mut seen: BTreeMap<&str, Vec<&Route>> = BTreeMap::new();
    for route in declared.fleet.routes.values() {
        let others = seen.entry(&route.path).or_default();
        if let Some(other) = others.iter().find(|other| overlap(other, route)) {
            let expected = format!("a path and model that route {} does not use", other.name);
            let section = format!("route {}", route.name);
            let location = Location::new(declared, DocumentKind::Routes, section, "path");
            problems.push(location.problem(&route.path, &expected));
        }
        others.push(route);
    }
}

/// Returns whether one request could match both routes, given that their paths are equal.
fn overlap(first: &Route, second: &Route) -> bool {
    match (&first.service, &second.service) {
        (Service::Model(first), Service::Model(second)) => first == second,
        (Service::Plain { .. }, _) | (_, Service::Plain { .. }) => true,
    }
}

/// Reports endpoints of the wrong kind for a route: a route to a model needs engines, and a route
/// to a service needs plain services.
fn check_kinds(declared: &Declared, problems: &mut Vec<Problem>) {
    let mut models = HashMap::new();
    for route in declared.fleet.routes.values() {
        let kind = match route.service {
            Service::Model(_) => EndpointKind::Engine,
            Service::Plain { .. } => EndpointKind::Service,
        };
        models.entry(route.service.name()).or_insert((kind, route));
    }
    for endpoint in declared.fleet.endpoints.values() {
        for name in &endpoint.serves {
            let Some((kind, route)) = models.get(name) else {
                continue;
            };
            if *kind != endpoint.kind {
                let section = format!("endpoint {}", endpoint.name);
                let location = Location::new(declared, DocumentKind::Fleet, section, "serves");
                let expected = format!(
                    "a name for this kind of endpoint; route {} uses it for the other kind",
                    route.name
                );
                problems.push(location.problem(name, &expected));
            }
        }
    }
}

fn check_teams(declared: &Declared, problems: &mut Vec<Problem>) {
    for team in declared.fleet.teams.values() {
        let routes = team.routes.iter();
        for route in routes.filter(|route| !declared.is_declared("route", route)) {
            let location = Location {
                document: declared.team_origins[&team.name].clone(),
                section: format!("team {}", team.name),
                key: "routes",
            };
            problems.push(location.problem(route, "the name of a declared route"));
        }
    }
}

/// Reports keys shared by two teams, because the requests of one would count as the other's.
fn check_keys(declared: &Declared, problems: &mut Vec<Problem>) {
    let mut seen: HashMap<KeyDigest, &str> = HashMap::new();
    for team in declared.fleet.teams.values() {
        for key in &team.keys {
            if let Some(other) = seen.insert(*key, team.name.as_str()) {
                let location = Location {
                    document: declared.team_origins[&team.name].clone(),
                    section: format!("team {}", team.name),
                    key: "keys",
                };
                let expected = format!("a digest that team {other} does not use");
                problems.push(location.problem(key, &expected));
            }
        }
    }
}
