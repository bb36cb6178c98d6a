//! Published documents: texts that each carry a name and a generation.
//!
//! The configuration is split into several small documents, so that a process re-reads little
//! after a change: `fleet` (tiers, data centres, hosts, endpoints), `routes`, and `teams-0` to
//! `teams-f`. The publisher decides which of these holds which team.

use comfreyhaven_core::Generation;
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

use crate::ini;
use crate::problem::{Problem, Problems};
use crate::section::Section;

/// Largest document that the configuration service accepts, in bytes.
pub const DOCUMENT_LIMIT_BYTES: usize = 1_000_000;

/// The kind of a document, which decides the sections it may contain.
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
    /// Routes, each with the model or service that it leads to.
    Routes,
    /// Teams, with their limits and key digests.
    Teams,
}

impl DocumentKind {
    /// Returns the kind of the document with this name, or `None` if no document has the name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
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

/// Returns the names of all documents of a configuration.
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

/// A document with a valid header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    name: String,
    kind: DocumentKind,
    generation: Generation,
    text: String,
}

impl Document {
    /// Parses a text and checks its header. [`assemble`](crate::assemble) checks the rest.
    ///
    /// # Errors
    /// Returns the problems of the header and of every malformed line.
    pub fn new(text: &str) -> Result<Self, Problems> {
        let parsed = ParsedText::parse("document", text);
        let header = parsed.header();
        let document = header.map(|(name, kind, generation)| Self {
            name,
            kind,
            generation,
            text: text.to_owned(),
        });
        match document {
            Some(document) => Problems(parsed.problems).into_result(document),
            None => Err(Problems(parsed.problems)),
        }
    }

    /// Returns the document's name, one of [`document_names`].
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the document's kind, which follows from its name.
    #[must_use]
    pub fn kind(&self) -> DocumentKind {
        self.kind
    }

    /// Returns the version of the document. A higher generation replaces a lower one.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the text as published.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    pub(crate) fn parse(&self) -> ParsedText {
        ParsedText::parse(&self.name, &self.text)
    }
}

/// A parsed text, whose header and sections may have problems.
#[derive(Debug)]
pub(crate) struct ParsedText {
    pub(crate) origin: String,
    pub(crate) name: Option<String>,
    pub(crate) generation: Option<Generation>,
    pub(crate) sections: Vec<Section>,
    pub(crate) problems: Vec<Problem>,
}

impl ParsedText {
    /// Parses a text. Problems name `origin`, such as a file path, as the document.
    pub(crate) fn parse(origin: &str, text: &str) -> Self {
        let ini = ini::parse(origin, text);
        let (headers, sections): (Vec<_>, Vec<_>) = ini
            .sections
            .into_iter()
            .partition(|section| section.kind() == "document");
        let mut parsed = Self {
            origin: origin.to_owned(),
            name: None,
            generation: None,
            sections,
            problems: ini.problems,
        };
        parsed.check_size(text);
        let mut headers = headers.into_iter();
        match headers.next() {
            Some(header) => parsed.read_header(header),
            None => parsed.report(None, "a section [document] with name and generation"),
        }
        for _ in headers {
            parsed.report(None, "one section [document]; it is repeated");
        }
        parsed
    }

    /// Returns the document's kind, if its name is valid.
    pub(crate) fn kind(&self) -> Option<DocumentKind> {
        DocumentKind::from_name(self.name.as_ref()?)
    }

    fn header(&self) -> Option<(String, DocumentKind, Generation)> {
        Some((self.name.clone()?, self.kind()?, self.generation?))
    }

    /// Takes the name and generation out of a `[document]` section.
    pub(crate) fn take_header(header: &mut Section) -> (Option<String>, Option<Generation>) {
        let name: Option<String> = header.take_required("name");
        if let Some(name) = name
            .as_ref()
            .filter(|name| DocumentKind::from_name(name).is_none())
        {
            let expected = "fleet, routes, or teams-0 to teams-f";
            header.report(Some("name"), Some(name), expected);
        }
        let generation = header.take_count("generation", None, 1..=u64::MAX);
        (name, generation.map(Generation))
    }

    fn read_header(&mut self, mut header: Section) {
        (self.name, self.generation) = Self::take_header(&mut header);
        self.problems.extend(header.finish());
    }

    fn check_size(&mut self, text: &str) {
        if text.len() > DOCUMENT_LIMIT_BYTES {
            let found = format!("{} bytes", text.len());
            let expected =
                format!("at most {DOCUMENT_LIMIT_BYTES} bytes; move teams to other documents");
            self.report(Some(found), &expected);
        }
    }

    fn report(&mut self, found: Option<String>, expected: &str) {
        self.problems.push(Problem {
            document: self.origin.clone(),
            section: "document".to_owned(),
            name: None,
            found,
            expected: expected.to_owned(),
        });
    }
}
