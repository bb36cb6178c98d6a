//! The kinds of sections and the keys of each, collected from the parser itself so that the
//! reference pages can be checked against it.

use crate::declaration;
use crate::document::ParsedText;
use crate::section::Section;
use crate::settings;

/// The keys of one kind of section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionSchema {
    /// First word of the section title, such as `team`.
    pub kind: &'static str,
    /// Keys in the order in which the parser requests them.
    pub keys: Vec<&'static str>,
}

/// Lists every kind of section with its keys, by parsing an empty section of each kind and
/// recording the requested keys.
///
/// ```
/// let sections = comfreyhaven_config::schema::sections();
/// let team = sections.iter().find(|section| section.kind == "team").unwrap();
/// assert!(team.keys.contains(&"rate"));
/// ```
#[must_use]
pub fn sections() -> Vec<SectionSchema> {
    vec![
        schema_of("document", |section| drop(ParsedText::take_header(section))),
        schema_of("tier", |section| drop(declaration::tier(section))),
        schema_of("data-centre", |section| drop(declaration::centre(section))),
        schema_of("host", |section| drop(declaration::host(section))),
        schema_of("endpoint", |section| drop(declaration::endpoint(section))),
        schema_of("route", |section| drop(declaration::route(section))),
        schema_of("team", |section| drop(declaration::team(section))),
        schema_of("process", |section| drop(settings::process(section))),
        schema_of("entry", |section| drop(settings::entry(section))),
        schema_of("agent", |section| drop(settings::agent(section))),
    ]
}

fn schema_of(kind: &'static str, parse: impl Fn(&mut Section)) -> SectionSchema {
    let mut section = Section::new(kind, kind, Vec::new());
    parse(&mut section);
    let keys = section.requested_keys();
    SectionSchema { kind, keys }
}
