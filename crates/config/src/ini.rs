//! Reading INI text into sections without losing repeated ones.
//!
//! The INI library keeps repeated sections and names, and its look-ups return the first or last of
//! them. Here every repetition is kept and reported, since one of two equal names is a mistake.

use ini::{Ini, ParseOption};

use crate::problem::{Problem, Problems};
use crate::section::Section;

/// Reads every section of a text, in order.
pub(crate) fn sections(document: &str, text: &str) -> Result<Vec<Section>, Problems> {
    let option = ParseOption {
        enabled_escape: false,
        enabled_quote: false,
        ..ParseOption::default()
    };
    let parsed = Ini::load_from_str_opt(text, option).map_err(|error| {
        Problems(vec![Problem {
            document: document.to_owned(),
            section: format!("line {}", error.line),
            name: None,
            found: None,
            expected: format!("INI text ({})", error.msg),
        }])
    })?;
    let mut sections = Vec::new();
    for (title, properties) in &parsed {
        let values: Vec<_> = properties
            .iter()
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        if title.is_none() && values.is_empty() {
            continue;
        }
        sections.push(Section::new(document, title.unwrap_or(""), values));
    }
    Ok(sections)
}
