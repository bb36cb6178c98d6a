//! Problems found in a configuration or in settings.

use std::fmt;

use derive_more::{Display, Error};
use serde::Serialize;

/// One problem: its location, the text found there and what is expected instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Document name or file path.
    pub document: String,
    /// Section title as written between brackets, or `line N` for a malformed line.
    pub section: String,
    /// Key within the section, if the problem concerns a single key.
    pub name: Option<String>,
    /// Text that was found. `None` if nothing was found or the text may hold a secret.
    pub found: Option<String>,
    /// Text that is accepted there, or how to fix the problem.
    pub expected: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.document, self.section)?;
        if let Some(name) = &self.name {
            write!(f, " {name}")?;
        }
        match &self.found {
            Some(found) => write!(f, ": found {found:?}; expected {}", self.expected),
            None => write!(f, ": expected {}", self.expected),
        }
    }
}

/// All problems of one or more texts. Those of lines and sections are in the order of the text;
/// those of references between sections follow.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);

impl Problems {
    /// Returns `value` if there are no problems.
    ///
    /// # Errors
    /// Returns `self` if there is at least one problem.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}
