//! Published documents: named texts that each carry a generation.
//!
//! The configuration is published in several small documents, so that a change re-reads little:
//! `fleet` (tiers, data centres, hosts, endpoints), `routes`, and `teams-0` to `teams-f`, among
//! which teams are spread as the publisher likes.

use comfreyhaven_core::Generation;
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::ini;
use crate::problem::{Problem, Problems};
use crate::section::Section;
use crate::value::Count;

/// Largest document that the configuration service holds, in bytes.
pub const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// What a document may hold.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum DocumentKind {
    /// Tiers, data centres, hosts and endpoints.
    Fleet,
    /// Routes.
    Routes,
    /// Teams.
    Teams,
}

impl DocumentKind {
    /// The kind of a document by its name.
    #[must_use]
    pub fn of_name(name: &str) -> Option<Self> {
        match name.as_bytes() {
            b"fleet" => Some(Self::Fleet),
            b"routes" => Some(Self::Routes),
            [
                b't',
                b'e',
                b'a',
                b'm',
                b's',
                b'-',
                b'0'..=b'9' | b'a'..=b'f',
            ] => Some(Self::Teams),
            _ => None,
        }
    }
}

/// The names of every document there can be.
///
/// ```
/// assert_eq!(comfreyhaven_config::document_names().count(), 18);
/// ```
pub fn document_names() -> impl Iterator<Item = String> {
    let teams = (0..16).map(|shard| format!("teams-{shard:x}"));
    ["fleet".to_owned(), "routes".to_owned()]
        .into_iter()
        .chain(teams)
}

/// A document whose header was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    name: String,
    kind: DocumentKind,
    generation: Generation,
    text: String,
}

impl Document {
    /// Reads the header of a text. The rest is checked by [`assemble`](crate::assemble).
    ///
    /// # Errors
    /// Returns the problems of the header, or of the text if it is no INI.
    pub fn new(text: &str) -> Result<Self, Problems> {
        let mut sections = ini::sections("document", text)?.into_iter();
        let Some(mut header) = sections.find(|section| section.kind() == "document") else {
            return Err(Problems(vec![no_header()]));
        };
        if text.len() > DOCUMENT_LIMIT_BYTES {
            let found = format!("{} bytes", text.len());
            let expected = format!("at most {DOCUMENT_LIMIT_BYTES} bytes; split the teams further");
            header.fault(None, Some(&found), &expected);
        }
        let name: Option<String> = header.take("name");
        let kind = name.as_deref().and_then(DocumentKind::of_name);
        if let (Some(name), None) = (&name, kind) {
            header.fault(
                Some("name"),
                Some(name),
                "fleet, routes, or teams-0 to teams-f",
            );
        }
        let generation = header.take::<Count>("generation");
        let problems = Problems(header.finish());
        match (name, kind, generation) {
            (Some(name), Some(kind), Some(Count(generation))) => problems.unless_empty(Self {
                name,
                kind,
                generation: Generation(generation),
                text: text.to_owned(),
            }),
            _ => Err(problems),
        }
    }

    /// The document's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What the document may hold.
    #[must_use]
    pub fn kind(&self) -> DocumentKind {
        self.kind
    }

    /// Which version of the document this is.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The text as published.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    pub(crate) fn sections(&self) -> Result<Vec<Section>, Problems> {
        let sections = ini::sections(&self.name, &self.text)?;
        Ok(sections
            .into_iter()
            .filter(|section| section.kind() != "document")
            .collect())
    }
}

fn no_header() -> Problem {
    Problem {
        document: "document".to_owned(),
        section: "document".to_owned(),
        name: None,
        found: None,
        expected: "a section [document] with name and generation".to_owned(),
    }
}
