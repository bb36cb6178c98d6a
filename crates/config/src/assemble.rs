//! Assembles documents into a fleet, and reports the problems of all of them at once.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Display;

use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::{RouteName, TeamName, TierName};

use crate::declaration;
use crate::document::{Document, DocumentKind, ParsedText};
use crate::problem::{Problem, Problems};
use crate::reference;
use crate::section::Section;

/// Assembles the fleet that a set of documents declares.
///
/// # Errors
/// Returns every problem of every document: unknown sections and keys, missing or malformed
/// values, names declared twice and references to undeclared names.
pub fn assemble<'a>(documents: impl IntoIterator<Item = &'a Document>) -> Result<Fleet, Problems> {
    assemble_texts(documents.into_iter().map(Document::parse))
}

/// Checks texts together as the processes do. Each is a pair of its origin, such as a file path,
/// and its content; problems name the origin.
///
/// ```
/// let text = "[document]\nname = routes\ngeneration = 1\n[route plan]\npath = plan\n";
/// let problems = comfreyhaven_config::check([("routes.ini", text)]).unwrap_err();
/// assert_eq!(problems.0.len(), 3); // The path, the model and the tier.
/// ```
///
/// # Errors
/// Returns every problem of every text at once.
pub fn check<'a>(texts: impl IntoIterator<Item = (&'a str, &'a str)>) -> Result<Fleet, Problems> {
    let documents = texts.into_iter();
    assemble_texts(documents.map(|(origin, text)| ParsedText::parse(origin, text)))
}

fn assemble_texts(documents: impl Iterator<Item = ParsedText>) -> Result<Fleet, Problems> {
    let mut assembler = Assembler::default();
    for parsed in documents {
        assembler.add_document(parsed);
    }
    let mut problems = assembler.problems;
    problems.extend(reference::check(&mut assembler.declared));
    Problems(problems).into_result(assembler.declared.fleet.with_key_index())
}

/// All declarations, and the document that holds each.
#[derive(Debug, Default)]
pub(crate) struct Declared {
    pub(crate) fleet: Fleet,
    pub(crate) route_tiers: BTreeMap<RouteName, TierName>,
    pub(crate) team_origins: BTreeMap<TeamName, String>,
    pub(crate) origins: BTreeMap<DocumentKind, String>,
    /// Titles of all sections, including those with problems, so that a reference to such a section
    /// is not reported as undeclared.
    pub(crate) titles: HashSet<String>,
}

/// Checks one document on its own, without its references to other documents.
///
/// # Errors
/// Returns every problem that the other documents cannot resolve.
pub fn check_document(document: &Document) -> Result<(), Problems> {
    let mut assembler = Assembler::default();
    assembler.add_document(document.parse());
    let mut problems = assembler.problems;
    problems.extend(reference::check_document(&assembler.declared));
    Problems(problems).into_result(())
}

#[derive(Default)]
struct Assembler {
    declared: Declared,
    problems: Vec<Problem>,
}

impl Assembler {
    fn add_document(&mut self, mut parsed: ParsedText) {
        self.problems.append(&mut parsed.problems);
        let (Some(name), Some(kind)) = (parsed.name.clone(), parsed.kind()) else {
            return;
        };
        let generation = parsed.generation.unwrap_or_default();
        let earlier = self
            .declared
            .fleet
            .generations
            .insert(name.clone(), generation);
        if earlier.is_some() {
            self.problems.push(Problem {
                document: parsed.origin.clone(),
                section: "document".to_owned(),
                name: Some("name".to_owned()),
                found: Some(name),
                expected: "a name that no other document uses".to_owned(),
            });
        }
        self.declared.origins.insert(kind, parsed.origin.clone());
        for section in parsed.sections {
            self.add_section(kind, &parsed.origin, section);
        }
    }

    fn add_section(&mut self, kind: DocumentKind, origin: &str, mut section: Section) {
        let inserted = match (kind, section.kind()) {
            (DocumentKind::Fleet, "tier") => self.add_tier(&mut section),
            (DocumentKind::Fleet, "data-centre") => declaration::centre(&mut section)
                .map(|item| insert(&mut self.declared.fleet.centres, &item.name.clone(), item)),
            (DocumentKind::Fleet, "host") => declaration::host(&mut section)
                .map(|item| insert(&mut self.declared.fleet.hosts, &item.name.clone(), item)),
            (DocumentKind::Fleet, "endpoint") => declaration::endpoint(&mut section)
                .map(|item| insert(&mut self.declared.fleet.endpoints, &item.name.clone(), item)),
            (DocumentKind::Routes, "route") => self.add_route(&mut section),
            (DocumentKind::Teams, "team") => self.add_team(origin, &mut section),
            _ => {
                self.problems
                    .extend(section.reject_kind(section_kinds(kind)));
                return;
            }
        };
        // A section with problems is recorded by its title only.
        let is_new = self.declared.titles.insert(section.canonical_title());
        if !is_new || inserted == Some(false) {
            section.report(None, None, "a unique name; this one is already declared");
        }
        self.problems.extend(section.finish());
    }

    fn add_tier(&mut self, section: &mut Section) -> Option<bool> {
        let tier = declaration::tier(section)?;
        let tiers = &mut self.declared.fleet.tiers;
        if let Some(other) = tiers.iter().find(|other| other.tier == tier.tier) {
            let expected = format!("a rank that tier {} does not use", other.name);
            section.report(Some("rank"), Some(&tier.tier.to_string()), &expected);
        }
        tiers.push(tier);
        tiers.sort_by_key(|tier| tier.tier);
        Some(true)
    }

    fn add_route(&mut self, section: &mut Section) -> Option<bool> {
        let (route, tier) = declaration::route(section)?;
        let name = route.name.clone();
        self.declared.route_tiers.insert(name.clone(), tier);
        Some(insert(&mut self.declared.fleet.routes, &name, route))
    }

    fn add_team(&mut self, origin: &str, section: &mut Section) -> Option<bool> {
        let team = declaration::team(section)?;
        let name = team.name.clone();
        self.declared
            .team_origins
            .insert(name.clone(), origin.to_owned());
        Some(insert(&mut self.declared.fleet.teams, &name, team))
    }
}

impl Declared {
    /// Returns whether a section of this kind and name exists, even if it has problems.
    pub(crate) fn is_declared(&self, kind: &str, name: &impl Display) -> bool {
        self.titles.contains(&format!("{kind} {name}"))
    }
}

fn section_kinds(kind: DocumentKind) -> &'static str {
    match kind {
        DocumentKind::Fleet => "tier, data-centre, host and endpoint",
        DocumentKind::Routes => "route",
        DocumentKind::Teams => "team",
    }
}

/// Inserts an item, replacing one of the same name. Returns whether the name was new.
fn insert<K: Ord + Clone, V>(items: &mut BTreeMap<K, V>, name: &K, item: V) -> bool {
    items.insert(name.clone(), item).is_none()
}
