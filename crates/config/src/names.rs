//! The names that a configuration may hold, as the reader takes them.

use crate::document::Draft;
use crate::part;
use crate::section::Section;
use crate::settings;

/// The names of one kind of section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionNames {
    /// Kind of section, such as `team`.
    pub kind: &'static str,
    /// Names of its values.
    pub names: Vec<&'static str>,
}

/// Lists every kind of section with the names of its values, by letting the reader read an empty
/// section of each kind.
///
/// ```
/// let sections = comfreyhaven_config::names::sections();
/// let team = sections.iter().find(|section| section.kind == "team").unwrap();
/// assert!(team.names.contains(&"rate"));
/// ```
#[must_use]
pub fn sections() -> Vec<SectionNames> {
    vec![
        read("document", |section| drop(Draft::header_of(section))),
        read("tier", |section| drop(part::tier(section))),
        read("data-centre", |section| drop(part::centre(section))),
        read("host", |section| drop(part::host(section))),
        read("endpoint", |section| drop(part::endpoint(section))),
        read("route", |section| drop(part::route(section))),
        read("team", |section| drop(part::team(section))),
        read("process", |section| drop(settings::process(section))),
        read("entry", |section| drop(settings::entry(section))),
        read("agent", |section| drop(settings::agent(section))),
    ]
}

fn read(kind: &'static str, reader: impl Fn(&mut Section)) -> SectionNames {
    let mut section = Section::new(kind, kind, Vec::new());
    reader(&mut section);
    let names = section.asked();
    SectionNames { kind, names }
}
