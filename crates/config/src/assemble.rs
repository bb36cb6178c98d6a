//! Puts documents together into a fleet and checks every reference between them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Display;

use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::{KeyDigest, TeamName, TierName};

use crate::document::{Document, DocumentKind};
use crate::part;
use crate::problem::{Problem, Problems};
use crate::section::Section;

/// Builds the fleet that a set of documents declares.
///
/// # Errors
/// Returns every problem of every document: unknown sections and names, missing or malformed
/// values, names declared twice and references to nothing.
pub fn assemble<'a>(documents: impl IntoIterator<Item = &'a Document>) -> Result<Fleet, Problems> {
    let mut build = Build::default();
    for document in documents {
        build
            .fleet
            .generations
            .insert(document.name().to_owned(), document.generation());
        match document.sections() {
            Ok(sections) => sections
                .into_iter()
                .for_each(|s| build.section(document, s)),
            Err(problems) => build.problems.extend(problems.0),
        }
    }
    build.check_references();
    Problems(build.problems).unless_empty(build.fleet.with_key_index())
}

/// Checks what one document says by itself, leaving out references to other documents.
///
/// # Errors
/// Returns every problem that no other document can mend.
pub fn check_alone(document: &Document) -> Result<(), Problems> {
    let mut build = Build::default();
    for section in document.sections()? {
        build.section(document, section);
    }
    if document.kind() == DocumentKind::Fleet {
        build.check_centres();
    }
    Problems(build.problems).unless_empty(())
}

#[derive(Default)]
struct Build {
    fleet: Fleet,
    route_tiers: Vec<(String, String, TierName)>,
    places: BTreeMap<String, String>,
    problems: Vec<Problem>,
}

impl Build {
    fn section(&mut self, document: &Document, mut section: Section) {
        let known = match (document.kind(), section.kind()) {
            (DocumentKind::Fleet, "tier") => self.tier(&mut section),
            (DocumentKind::Fleet, "data-centre") => part::centre(&mut section)
                .map(|part| insert(&mut self.fleet.centres, &part.name.clone(), part)),
            (DocumentKind::Fleet, "host") => part::host(&mut section)
                .map(|part| insert(&mut self.fleet.hosts, &part.name.clone(), part)),
            (DocumentKind::Fleet, "endpoint") => part::endpoint(&mut section)
                .map(|part| insert(&mut self.fleet.endpoints, &part.name.clone(), part)),
            (DocumentKind::Routes, "route") => self.route(document, &mut section),
            (DocumentKind::Teams, "team") => self.team(document, &mut section),
            (kind, _) => {
                self.problems.extend(section.reject(sections_of(kind)));
                return;
            }
        };
        if known == Some(false) {
            section.fault(None, None, "a name that is not declared twice");
        }
        self.problems.extend(section.finish());
    }

    fn tier(&mut self, section: &mut Section) -> Option<bool> {
        let tier = part::tier(section)?;
        let twice = self
            .fleet
            .tiers
            .iter()
            .any(|t| t.name == tier.name || t.tier == tier.tier);
        self.fleet.tiers.push(tier);
        self.fleet.tiers.sort_by_key(|tier| tier.tier);
        Some(!twice)
    }

    fn route(&mut self, document: &Document, section: &mut Section) -> Option<bool> {
        let (route, tier) = part::route(section)?;
        let name = route.name.clone();
        self.route_tiers
            .push((document.name().to_owned(), name.to_string(), tier));
        Some(insert(&mut self.fleet.routes, &name, route))
    }

    fn team(&mut self, document: &Document, section: &mut Section) -> Option<bool> {
        let team = part::team(section)?;
        let name = team.name.clone();
        self.places
            .insert(name.to_string(), document.name().to_owned());
        Some(insert(&mut self.fleet.teams, &name, team))
    }

    fn check_references(&mut self) {
        self.check_tiers();
        self.check_centres();
        self.check_teams();
        self.check_keys();
    }

    fn check_tiers(&mut self) {
        let ranks: HashMap<_, _> = self
            .fleet
            .tiers
            .iter()
            .map(|tier| (tier.name.clone(), tier.tier))
            .collect();
        for (document, route, tier) in std::mem::take(&mut self.route_tiers) {
            let Some(&rank) = ranks.get(&tier) else {
                let section = format!("route {route}");
                self.dangling(
                    &document,
                    &section,
                    "tier",
                    &tier,
                    "the name of a declared tier",
                );
                continue;
            };
            let name = self
                .fleet
                .routes
                .keys()
                .find(|name| name.as_str() == route)
                .cloned();
            if let Some(route) = name.and_then(|name| self.fleet.routes.get_mut(&name)) {
                route.tier = rank;
            }
        }
    }

    fn check_centres(&mut self) {
        let hosts = self
            .fleet
            .hosts
            .values()
            .map(|host| (format!("host {}", host.name), &host.centre));
        let endpoints = self.fleet.endpoints.values();
        let endpoints = endpoints.map(|part| (format!("endpoint {}", part.name), &part.centre));
        let dangling: Vec<_> = hosts
            .chain(endpoints)
            .filter(|(_, centre)| !self.fleet.centres.contains_key(centre))
            .map(|(section, centre)| (section, centre.clone()))
            .collect();
        for (section, centre) in dangling {
            let expected = "the name of a declared data centre";
            self.dangling("fleet", &section, "data centre", &centre, expected);
        }
    }

    fn check_teams(&mut self) {
        let mut dangling = Vec::new();
        for team in self.fleet.teams.values() {
            let unknown = team
                .routes
                .iter()
                .filter(|route| !self.fleet.routes.contains_key(route));
            dangling.extend(unknown.map(|route| (team.name.clone(), route.clone())));
        }
        for (team, route) in dangling {
            let document = self.place_of(&team);
            let section = format!("team {team}");
            self.dangling(
                &document,
                &section,
                "routes",
                &route,
                "the name of a declared route",
            );
        }
    }

    /// A key of two teams would let one run for the other.
    fn check_keys(&mut self) {
        let mut seen: BTreeSet<KeyDigest> = BTreeSet::new();
        let mut shared = Vec::new();
        for team in self.fleet.teams.values() {
            let twice = team.keys.iter().filter(|key| !seen.insert(**key));
            shared.extend(twice.map(|key| (team.name.clone(), *key)));
        }
        for (team, key) in shared {
            let document = self.place_of(&team);
            let section = format!("team {team}");
            self.dangling(
                &document,
                &section,
                "keys",
                &key,
                "a digest that no other team has",
            );
        }
    }

    fn place_of(&self, team: &TeamName) -> String {
        self.places.get(team.as_str()).cloned().unwrap_or_default()
    }

    fn dangling(
        &mut self,
        document: &str,
        section: &str,
        name: &str,
        found: &impl Display,
        expected: &str,
    ) {
        self.problems.push(Problem {
            document: document.to_owned(),
            section: section.to_owned(),
            name: Some(name.to_owned()),
            found: Some(found.to_string()),
            expected: expected.to_owned(),
        });
    }
}

fn sections_of(kind: DocumentKind) -> &'static str {
    match kind {
        DocumentKind::Fleet => "tier, data-centre, host and endpoint",
        DocumentKind::Routes => "route",
        DocumentKind::Teams => "team",
    }
}

/// Whether the name was free.
fn insert<K: Ord + Clone, V>(parts: &mut BTreeMap<K, V>, name: &K, part: V) -> bool {
    parts.insert(name.clone(), part).is_none()
}
