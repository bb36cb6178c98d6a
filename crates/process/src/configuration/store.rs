//! Documents in force, and documents that wait for others.

use std::collections::{BTreeMap, BTreeSet};

use comfreyhaven_config::{Document, Problem, Problems, assemble, check_alone};
use comfreyhaven_core::config_sync::{Outcome, Version};
use comfreyhaven_core::fleet::Fleet;

#[cfg(test)]
mod tests;

#[derive(Debug, Clone)]
struct Stored {
    document: Document,
    version: Version,
}

/// What became of a text.
#[derive(Debug)]
pub struct Offer {
    /// What the spread is told.
    pub outcome: Outcome,
    /// The fleet, if a new one is in force.
    pub fleet: Option<Fleet>,
}

/// The documents of one process. Each only ever moves to a higher version.
///
/// A document that is faulty by itself is kept out. One that refers to what the documents in force
/// do not declare waits, and comes in force together with those that declare it.
#[derive(Debug, Default)]
pub struct Store {
    accepted: BTreeMap<String, Stored>,
    waiting: BTreeMap<String, Stored>,
    faults: BTreeMap<String, Problems>,
    conflicts: BTreeSet<String>,
}

impl Store {
    /// Takes the text that was read under a name, if it is newer than what is known.
    pub fn offer(&mut self, name: &str, text: &str) -> Offer {
        let document = match read(name, text) {
            Ok(document) => document,
            Err(problems) => {
                self.faults.insert(name.to_owned(), problems);
                return Offer::new(Outcome::Missing);
            }
        };
        let version = Version::new(document.generation(), text);
        let known = self.version(name);
        if known.is_some_and(|known| known.conflicts(version)) {
            self.conflicts.insert(name.to_owned());
        }
        if let Some(known) = known.filter(|known| *known >= version) {
            return Offer::new(Outcome::Known(known));
        }
        if let Err(problems) = check_alone(&document) {
            self.faults.insert(name.to_owned(), problems);
            return Offer::new(Outcome::Rejected(version));
        }
        if known.is_some_and(|known| known.generation < version.generation) {
            self.conflicts.remove(name);
        }
        self.faults.remove(name);
        let stored = Stored { document, version };
        self.waiting.insert(name.to_owned(), stored);
        Offer {
            outcome: Outcome::Known(version),
            fleet: self.settle(),
        }
    }

    /// The newest version of a document, in force or waiting.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<Version> {
        Some(self.newest(name)?.version)
    }

    /// The newest text of a document, in force or waiting.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        Some(self.newest(name)?.document.text())
    }

    /// Names of the documents that wait for others.
    pub fn waiting(&self) -> impl Iterator<Item = &str> {
        self.waiting.keys().map(String::as_str)
    }

    /// Names of the documents of which two texts with one generation were seen.
    pub fn conflicts(&self) -> impl Iterator<Item = &str> {
        self.conflicts.iter().map(String::as_str)
    }

    /// What keeps documents out, and what the waiting ones wait for.
    #[must_use]
    pub fn problems(&self) -> Vec<Problem> {
        let faults = self.faults.values().flat_map(|problems| problems.0.clone());
        let mut problems: Vec<_> = faults.collect();
        if !self.waiting.is_empty()
            && let Err(waiting) = self.assemble_with(&self.waiting)
        {
            problems.extend(waiting.0);
        }
        problems
    }

    fn newest(&self, name: &str) -> Option<&Stored> {
        self.waiting.get(name).or_else(|| self.accepted.get(name))
    }

    fn assemble_with(&self, some: &BTreeMap<String, Stored>) -> Result<Fleet, Problems> {
        let kept = self.accepted.iter();
        let kept = kept.filter(|(name, _)| !some.contains_key(*name));
        let all = kept.chain(some).map(|(_, stored)| &stored.document);
        assemble(all)
    }

    /// Puts the waiting documents in force: all at once if they fit, else those that fit alone.
    fn settle(&mut self) -> Option<Fleet> {
        if let Ok(fleet) = self.assemble_with(&self.waiting) {
            self.accepted.append(&mut self.waiting);
            return Some(fleet);
        }
        let mut newest = None;
        while let Some((name, fleet)) = self.fitting() {
            if let Some(stored) = self.waiting.remove(&name) {
                self.accepted.insert(name, stored);
            }
            newest = Some(fleet);
        }
        newest
    }

    /// A waiting document that fits the documents in force.
    fn fitting(&self) -> Option<(String, Fleet)> {
        self.waiting.iter().find_map(|(name, stored)| {
            let single = BTreeMap::from([(name.clone(), stored.clone())]);
            Some((name.clone(), self.assemble_with(&single).ok()?))
        })
    }
}

impl Offer {
    fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            fleet: None,
        }
    }
}

/// Reads the header. A document under another one's name would hide it.
fn read(name: &str, text: &str) -> Result<Document, Problems> {
    let document = Document::new(text)?;
    let fault = Problem {
        document: name.to_owned(),
        section: "document".to_owned(),
        name: Some("name".to_owned()),
        found: Some(document.name().to_owned()),
        expected: format!("{name:?}, under which it is published"),
    };
    let matches = document.name() == name;
    let problems = if matches { Vec::new() } else { vec![fault] };
    Problems(problems).unless_empty(document)
}
