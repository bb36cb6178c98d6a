//! Puts documents together into a fleet.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Display;

use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::{RouteName, TeamName, TierName};

use crate::document::{Document, DocumentKind, Draft};
use crate::part;
use crate::problem::{Problem, Problems};
use crate::reference;
use crate::section::Section;

/// Builds the fleet that a set of documents declares.
///
/// # Errors
/// Returns every problem of every document: unknown sections and names, missing or malformed
/// values, names declared twice and references to nothing.
pub fn assemble<'a>(documents: impl IntoIterator<Item = &'a Document>) -> Result<Fleet, Problems> {
    build(documents.into_iter().map(Document::draft))
}

/// Checks texts together as the processes do. Each comes with the place that its faults name, such
/// as a file.
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
    let drafts = texts.into_iter();
    build(drafts.map(|(place, text)| Draft::read(place, text)))
}

fn build(drafts: impl Iterator<Item = Draft>) -> Result<Fleet, Problems> {
    let mut build = Build::default();
    for draft in drafts {
        build.draft(draft);
    }
    let mut problems = build.problems;
    problems.extend(reference::check(&mut build.declared));
    Problems(problems).unless_empty(build.declared.fleet.with_key_index())
}

/// What was declared, and in which document.
#[derive(Debug, Default)]
pub(crate) struct Declared {
    pub(crate) fleet: Fleet,
    pub(crate) tiers: BTreeMap<RouteName, TierName>,
    pub(crate) teams: BTreeMap<TeamName, String>,
    pub(crate) places: BTreeMap<DocumentKind, String>,
    /// Titles of all sections, also of those with faults, so that a reference to one is sound.
    pub(crate) titles: HashSet<String>,
}

/// Checks what one document says by itself, leaving out references to other documents.
///
/// # Errors
/// Returns every problem that no other document can mend.
pub fn check_alone(document: &Document) -> Result<(), Problems> {
    let mut build = Build::default();
    build.draft(document.draft());
    let mut problems = build.problems;
    problems.extend(reference::check_alone(&build.declared));
    Problems(problems).unless_empty(())
}

#[derive(Default)]
struct Build {
    declared: Declared,
    problems: Vec<Problem>,
}

impl Build {
    fn draft(&mut self, mut draft: Draft) {
        self.problems.append(&mut draft.problems);
        let (Some(name), Some(kind)) = (draft.name.clone(), draft.kind()) else {
            return;
        };
        let generation = draft.generation.unwrap_or_default();
        let earlier = self
            .declared
            .fleet
            .generations
            .insert(name.clone(), generation);
        if earlier.is_some() {
            self.problems.push(Problem {
                document: draft.place.clone(),
                section: "document".to_owned(),
                name: Some("name".to_owned()),
                found: Some(name),
                expected: "a name that no other document has".to_owned(),
            });
        }
        self.declared.places.insert(kind, draft.place.clone());
        for section in draft.sections {
            self.section(kind, &draft.place, section);
        }
    }

    fn section(&mut self, kind: DocumentKind, place: &str, mut section: Section) {
        let read = match (kind, section.kind()) {
            (DocumentKind::Fleet, "tier") => self.tier(&mut section),
            (DocumentKind::Fleet, "data-centre") => part::centre(&mut section)
                .map(|part| insert(&mut self.declared.fleet.centres, &part.name.clone(), part)),
            (DocumentKind::Fleet, "host") => part::host(&mut section)
                .map(|part| insert(&mut self.declared.fleet.hosts, &part.name.clone(), part)),
            (DocumentKind::Fleet, "endpoint") => part::endpoint(&mut section)
                .map(|part| insert(&mut self.declared.fleet.endpoints, &part.name.clone(), part)),
            (DocumentKind::Routes, "route") => self.route(&mut section),
            (DocumentKind::Teams, "team") => self.team(place, &mut section),
            _ => {
                self.problems.extend(section.reject(sections_of(kind)));
                return;
            }
        };
        // A part with faults is only known by its title.
        let fresh = self.declared.titles.insert(section.canonical());
        if !fresh || read == Some(false) {
            section.fault(None, None, "a name that is not declared twice");
        }
        self.problems.extend(section.finish());
    }

    fn tier(&mut self, section: &mut Section) -> Option<bool> {
        let tier = part::tier(section)?;
        let tiers = &mut self.declared.fleet.tiers;
        if let Some(other) = tiers.iter().find(|other| other.tier == tier.tier) {
            let expected = format!("a rank that tier {} does not have", other.name);
            section.fault(Some("rank"), Some(&tier.tier.to_string()), &expected);
        }
        tiers.push(tier);
        tiers.sort_by_key(|tier| tier.tier);
        Some(true)
    }

    fn route(&mut self, section: &mut Section) -> Option<bool> {
        let (route, tier) = part::route(section)?;
        let name = route.name.clone();
        self.declared.tiers.insert(name.clone(), tier);
        Some(insert(&mut self.declared.fleet.routes, &name, route))
    }

    fn team(&mut self, place: &str, section: &mut Section) -> Option<bool> {
        let team = part::team(section)?;
        let name = team.name.clone();
        self.declared.teams.insert(name.clone(), place.to_owned());
        Some(insert(&mut self.declared.fleet.teams, &name, team))
    }
}

impl Declared {
    /// Whether a section of a kind and name was declared, with faults or without.
    pub(crate) fn has(&self, kind: &str, name: &impl Display) -> bool {
        self.titles.contains(&format!("{kind} {name}"))
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
