//! The documents of a process: those in force, and newer ones that wait for others.

use std::collections::{BTreeMap, BTreeSet};

use comfreyhaven_config::{Document, Problem, Problems, assemble, check_document};
use comfreyhaven_core::config_sync::{Outcome, Version};
use comfreyhaven_core::fleet::Fleet;

#[cfg(test)]
mod tests;

#[derive(Debug, Clone)]
struct StoredDocument {
    document: Document,
    version: Version,
}

/// Result of [`DocumentSet::insert`].
#[derive(Debug)]
pub struct InsertResult {
    /// Outcome to report to [`ConfigSync`](comfreyhaven_core::config_sync::ConfigSync).
    pub outcome: Outcome,
    /// The new fleet, if the text changed the documents in force.
    pub fleet: Option<Fleet>,
}

/// The documents of one process. Each document only ever moves to a higher version.
///
/// A document that fails its own checks is rejected. A document that refers to names that the
/// documents in force do not declare waits, and comes into force together with those that declare
/// them.
#[derive(Debug, Default)]
pub struct DocumentSet {
    accepted: BTreeMap<String, StoredDocument>,
    waiting: BTreeMap<String, StoredDocument>,
    faults: BTreeMap<String, Problems>,
    conflicts: BTreeSet<String>,
}

impl DocumentSet {
    /// Adds the text that was read under a name, if its version is higher than the known one.
    pub fn insert(&mut self, name: &str, text: &str) -> InsertResult {
        let document = match parse(name, text) {
            Ok(document) => document,
            Err(problems) => {
                self.faults.insert(name.to_owned(), problems);
                return InsertResult::new(Outcome::Missing);
            }
        };
        let version = Version::new(document.generation(), text);
        let known = self.version(name);
        if known.is_some_and(|known| known.conflicts(version)) {
            self.conflicts.insert(name.to_owned());
        }
        if let Some(known) = known.filter(|known| *known >= version) {
            return InsertResult::new(Outcome::Known(known));
        }
        if let Err(problems) = check_document(&document) {
            self.faults.insert(name.to_owned(), problems);
            return InsertResult::new(Outcome::Rejected(version));
        }
        if known.is_some_and(|known| known.generation < version.generation) {
            self.conflicts.remove(name);
        }
        self.faults.remove(name);
        let stored = StoredDocument { document, version };
        self.waiting.insert(name.to_owned(), stored);
        InsertResult {
            outcome: Outcome::Known(version),
            fleet: self.apply_waiting(),
        }
    }

    /// Returns the newest version of a document, in force or waiting.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<Version> {
        Some(self.newest(name)?.version)
    }

    /// Returns the newest text of a document, in force or waiting.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        Some(self.newest(name)?.document.text())
    }

    /// Returns the names of the documents that wait for other documents.
    pub fn waiting(&self) -> impl Iterator<Item = &str> {
        self.waiting.keys().map(String::as_str)
    }

    /// Returns the names of the documents for which two different texts with the same generation
    /// were read.
    pub fn conflicts(&self) -> impl Iterator<Item = &str> {
        self.conflicts.iter().map(String::as_str)
    }

    /// Faults of rejected documents, and references that the waiting documents lack.
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

    fn newest(&self, name: &str) -> Option<&StoredDocument> {
        self.waiting.get(name).or_else(|| self.accepted.get(name))
    }

    fn assemble_with(
        &self,
        replaced: &BTreeMap<String, StoredDocument>,
    ) -> Result<Fleet, Problems> {
        let kept = self.accepted.iter();
        let kept = kept.filter(|(name, _)| !replaced.contains_key(*name));
        let all = kept.chain(replaced).map(|(_, stored)| &stored.document);
        assemble(all)
    }

    /// Puts waiting documents into force: all together if the result is valid, otherwise one at a
    /// time those that are valid with the documents in force. Returns the new fleet if any.
    fn apply_waiting(&mut self) -> Option<Fleet> {
        if let Ok(fleet) = self.assemble_with(&self.waiting) {
            self.accepted.append(&mut self.waiting);
            return Some(fleet);
        }
        let mut newest = None;
        while let Some((name, fleet)) = self.find_applicable() {
            if let Some(stored) = self.waiting.remove(&name) {
                self.accepted.insert(name, stored);
            }
            newest = Some(fleet);
        }
        newest
    }

    /// Finds a waiting document that is valid with the documents in force, and the resulting fleet.
    fn find_applicable(&self) -> Option<(String, Fleet)> {
        self.waiting.iter().find_map(|(name, stored)| {
            let single = BTreeMap::from([(name.clone(), stored.clone())]);
            Some((name.clone(), self.assemble_with(&single).ok()?))
        })
    }
}

impl InsertResult {
    fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            fleet: None,
        }
    }
}

/// Parses the header of a document. A document whose own name differs from the one under which it
/// is published is an error, because it would hide the document that belongs there.
fn parse(name: &str, text: &str) -> Result<Document, Problems> {
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
    Problems(problems).into_result(document)
}
