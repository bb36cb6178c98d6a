//! References between sections, and values that two sections may not share.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Display;
use std::net::SocketAddr;

use comfreyhaven_core::KeyDigest;
use comfreyhaven_core::fleet::{EndpointKind, Route, Service};

use crate::assemble::Declared;
use crate::document::DocumentKind;
use crate::problem::Problem;

/// Checks what was declared as a whole, and gives each route the rank of its tier.
pub(crate) fn check(declared: &mut Declared) -> Vec<Problem> {
    let mut found = Vec::new();
    set_ranks(declared, &mut found);
    check_centres(declared, &mut found);
    check_addresses(declared, &mut found);
    check_paths(declared, &mut found);
    check_kinds(declared, &mut found);
    check_teams(declared, &mut found);
    check_keys(declared, &mut found);
    found
}

/// Checks the references that stay inside one document.
pub(crate) fn check_alone(declared: &Declared) -> Vec<Problem> {
    let mut found = Vec::new();
    check_centres(declared, &mut found);
    check_addresses(declared, &mut found);
    check_paths(declared, &mut found);
    check_keys(declared, &mut found);
    found
}

/// Where a fault is: a section of a document, and the name of a value in it.
struct Place<'a> {
    document: String,
    section: String,
    name: &'a str,
}

impl<'a> Place<'a> {
    fn new(declared: &Declared, kind: DocumentKind, section: String, name: &'a str) -> Self {
        let document = declared.places.get(&kind).cloned().unwrap_or_default();
        Self {
            document,
            section,
            name,
        }
    }

    fn problem(self, found: &impl Display, expected: &str) -> Problem {
        Problem {
            document: self.document,
            section: self.section,
            name: Some(self.name.to_owned()),
            found: Some(found.to_string()),
            expected: expected.to_owned(),
        }
    }
}

fn set_ranks(declared: &mut Declared, found: &mut Vec<Problem>) {
    let tiers = &declared.fleet.tiers;
    let ranks: HashMap<_, _> = tiers
        .iter()
        .map(|tier| (tier.name.clone(), tier.tier))
        .collect();
    for (route, tier) in declared.tiers.clone() {
        if !declared.has("tier", &tier) {
            let section = format!("route {route}");
            let place = Place::new(declared, DocumentKind::Routes, section, "tier");
            found.push(place.problem(&tier, "the name of a declared tier"));
        }
        let route = declared.fleet.routes.get_mut(&route);
        if let (Some(route), Some(&rank)) = (route, ranks.get(&tier)) {
            route.tier = rank;
        }
    }
}

fn check_centres(declared: &Declared, found: &mut Vec<Problem>) {
    let fleet = &declared.fleet;
    let hosts = fleet.hosts.values();
    let hosts = hosts.map(|host| (format!("host {}", host.name), &host.centre));
    let endpoints = fleet.endpoints.values();
    let endpoints = endpoints.map(|part| (format!("endpoint {}", part.name), &part.centre));
    for (section, centre) in hosts.chain(endpoints) {
        if !declared.has("data-centre", centre) {
            let place = Place::new(declared, DocumentKind::Fleet, section, "data centre");
            found.push(place.problem(centre, "the name of a declared data centre"));
        }
    }
}

/// Two processes cannot listen at one address.
fn check_addresses(declared: &Declared, found: &mut Vec<Problem>) {
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
            let expected = format!("an address that [{holder}] does not have");
            let place = Place::new(declared, DocumentKind::Fleet, section, name);
            found.push(place.problem(&address, &expected));
        } else {
            holders.insert(address, section);
        }
    }
}

/// A request must match one route: the longest path that fits, and there the model.
fn check_paths(declared: &Declared, found: &mut Vec<Problem>) {
    let mut seen: BTreeMap<&str, Vec<&Route>> = BTreeMap::new();
    for route in declared.fleet.routes.values() {
        let others = seen.entry(&route.path).or_default();
        if let Some(other) = others.iter().find(|other| overlap(other, route)) {
            let expected = format!("a path and model that route {} does not have", other.name);
            let section = format!("route {}", route.name);
            let place = Place::new(declared, DocumentKind::Routes, section, "path");
            found.push(place.problem(&route.path, &expected));
        }
        others.push(route);
    }
}

/// Whether two routes of one path fit one request.
fn overlap(one: &Route, other: &Route) -> bool {
    match (&one.service, &other.service) {
        (Service::Model(one), Service::Model(other)) => one == other,
        (Service::Plain { .. }, _) | (_, Service::Plain { .. }) => true,
    }
}

/// A model's route cannot end at a plain service, nor a service's route at an engine.
fn check_kinds(declared: &Declared, found: &mut Vec<Problem>) {
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
                let place = Place::new(declared, DocumentKind::Fleet, section, "serves");
                let expected = format!("a name of its own kind; route {} leads to it", route.name);
                found.push(place.problem(name, &expected));
            }
        }
    }
}

fn check_teams(declared: &Declared, found: &mut Vec<Problem>) {
    for team in declared.fleet.teams.values() {
        let routes = team.routes.iter();
        for route in routes.filter(|route| !declared.has("route", route)) {
            let place = Place {
                document: declared.teams[&team.name].clone(),
                section: format!("team {}", team.name),
                name: "routes",
            };
            found.push(place.problem(route, "the name of a declared route"));
        }
    }
}

/// A key of two teams would let one run for the other.
fn check_keys(declared: &Declared, found: &mut Vec<Problem>) {
    let mut seen: HashMap<KeyDigest, &str> = HashMap::new();
    for team in declared.fleet.teams.values() {
        for key in &team.keys {
            if let Some(other) = seen.insert(*key, team.name.as_str()) {
                let place = Place {
                    document: declared.teams[&team.name].clone(),
                    section: format!("team {}", team.name),
                    name: "keys",
                };
                let expected = format!("a digest that team {other} does not have");
                found.push(place.problem(key, &expected));
            }
        }
    }
}
