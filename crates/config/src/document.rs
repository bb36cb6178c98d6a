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

/// Largest document that the configuration service holds, in bytes.
pub const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// What a document may hold.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
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
    /// Returns the problems of the header and of every line that is no INI.
    pub fn new(text: &str) -> Result<Self, Problems> {
        let draft = Draft::read("document", text);
        let header = draft.header();
        let document = header.map(|(name, kind, generation)| Self {
            name,
            kind,
            generation,
            text: text.to_owned(),
        });
        match document {
            Some(document) => Problems(draft.problems).unless_empty(document),
            None => Err(Problems(draft.problems)),
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

    pub(crate) fn draft(&self) -> Draft {
        Draft::read(&self.name, &self.text)
    }
}

/// A text whose sections were read and may have faults.
#[derive(Debug)]
pub(crate) struct Draft {
    pub(crate) place: String,
    pub(crate) name: Option<String>,
    pub(crate) generation: Option<Generation>,
    pub(crate) sections: Vec<Section>,
    pub(crate) problems: Vec<Problem>,
}

impl Draft {
    /// Reads a text that `place` names in faults.
    pub(crate) fn read(place: &str, text: &str) -> Self {
        let parsed = ini::parse(place, text);
        let (headers, sections): (Vec<_>, Vec<_>) = parsed
            .sections
            .into_iter()
            .partition(|section| section.kind() == "document");
        let mut draft = Self {
            place: place.to_owned(),
            name: None,
            generation: None,
            sections,
            problems: parsed.problems,
        };
        draft.check_size(text);
        let mut headers = headers.into_iter();
        match headers.next() {
            Some(header) => draft.read_header(header),
            None => draft.fault(None, "a section [document] with name and generation"),
        }
        for _ in headers {
            draft.fault(None, "one section [document]; it stands twice");
        }
        draft
    }

    /// What the document may hold, if its name says so.
    pub(crate) fn kind(&self) -> Option<DocumentKind> {
        DocumentKind::of_name(self.name.as_ref()?)
    }

    fn header(&self) -> Option<(String, DocumentKind, Generation)> {
        Some((self.name.clone()?, self.kind()?, self.generation?))
    }

    /// Takes the values of a header.
    pub(crate) fn header_of(header: &mut Section) -> (Option<String>, Option<Generation>) {
        let name: Option<String> = header.take("name");
        if let Some(name) = name
            .as_ref()
            .filter(|name| DocumentKind::of_name(name).is_none())
        {
            let expected = "fleet, routes, or teams-0 to teams-f";
            header.fault(Some("name"), Some(name), expected);
        }
        let generation = header.take_count("generation", None, 1..=u64::MAX);
        (name, generation.map(Generation))
    }

    fn read_header(&mut self, mut header: Section) {
        (self.name, self.generation) = Self::header_of(&mut header);
        self.problems.extend(header.finish());
    }

    fn check_size(&mut self, text: &str) {
        if text.len() > DOCUMENT_LIMIT_BYTES {
            let found = format!("{} bytes", text.len());
            let expected = format!("at most {DOCUMENT_LIMIT_BYTES} bytes; spread the teams");
            self.fault(Some(found), &expected);
        }
    }

    fn fault(&mut self, found: Option<String>, expected: &str) {
        self.problems.push(Problem {
            document: self.place.clone(),
            section: "document".to_owned(),
            name: None,
            found,
            expected: expected.to_owned(),
        });
    }
}
