//! Parses INI text into sections and keeps repeated sections and keys.
//!
//! Look-ups of the INI library return only the first or last of several equal names. Here all of
//! them are kept and reported, because one of two equal names is a mistake.

use ini::{Ini, ParseOption};

use crate::lines;
use crate::problem::Problem;
use crate::section::Section;

/// The sections of a text in order, and the problems of its lines.
#[derive(Debug, Default)]
pub(crate) struct Parsed {
    pub(crate) sections: Vec<Section>,
    pub(crate) problems: Vec<Problem>,
}

/// Parses every section of a text. Malformed lines are reported and skipped.
pub(crate) fn parse(document: &str, text: &str) -> Parsed {
    let (rest, mut problems) = lines::check(document, text);
    let option = ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ParseOption::default()
    };
    let sections = match Ini::load_from_str_opt(&rest, option) {
        Ok(ini) => sections(document, &ini),
        Err(error) => {
            problems.push(Problem {
                document: document.to_owned(),
                section: format!("line {}", error.line),
                name: None,
                found: None,
                expected: format!("INI text ({})", error.msg),
            });
            Vec::new()
        }
    };
    Parsed { sections, problems }
}

fn sections(document: &str, ini: &Ini) -> Vec<Section> {
    let mut sections = Vec::new();
    for (title, properties) in ini {
        let values: Vec<_> = properties
            .iter()
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        if title.is_none() && values.is_empty() {
            continue;
        }
        sections.push(Section::new(document, title.unwrap_or(""), values));
    }
    sections
}
