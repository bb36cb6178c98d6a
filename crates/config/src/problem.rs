//! Faults found in a configuration or in settings.

use std::fmt;

use derive_more::{Display, Error};
use serde::Serialize;

/// One fault: where it is, what stands there and what is expected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Document or file.
    pub document: String,
    /// Section, as it is written between brackets.
    pub section: String,
    /// Name of the value, if the fault is about one.
    pub name: Option<String>,
    /// What stands there, if anything.
    pub found: Option<String>,
    /// What must stand there, or what to do.
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

/// All faults of a text, in the order of the text.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);

impl Problems {
    /// Succeeds with `value` if nothing was found.
    ///
    /// # Errors
    /// Returns the problems if there are any.
    pub fn unless_empty<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}
