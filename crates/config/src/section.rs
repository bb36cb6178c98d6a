//! One section of a text, whose values are taken out by name.

use std::fmt::Display;
use std::str::FromStr;

use crate::problem::Problem;

/// A section such as `[endpoint engine-1]`, with the faults found in it so far.
#[derive(Debug)]
pub(crate) struct Section {
    document: String,
    title: String,
    values: Vec<(String, String)>,
    problems: Vec<Problem>,
}

impl Section {
    pub(crate) fn new(document: &str, title: &str, values: Vec<(String, String)>) -> Self {
        Self {
            document: document.to_owned(),
            title: title.to_owned(),
            values,
            problems: Vec::new(),
        }
    }

    /// The word before the name, such as `endpoint`.
    pub(crate) fn kind(&self) -> &str {
        self.title.split_whitespace().next().unwrap_or("")
    }

    /// The section's name as a typed name.
    pub(crate) fn name<T: FromStr<Err: Display>>(&mut self) -> Option<T> {
        let kind = self.kind().to_owned();
        let name = self.title[kind.len()..].trim().to_owned();
        match name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.fault(
                    None,
                    Some(&name),
                    &format!("a name after {kind:?}: {error}"),
                );
                None
            }
        }
    }

    /// Takes a value that must be there.
    pub(crate) fn take<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        if !self.has(name) {
            self.fault(Some(name), None, "a value; this one has no default");
            return None;
        }
        self.take_optional(name)
    }

    /// Takes a value, or `default` if it is not there.
    pub(crate) fn take_or<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
        default: T,
    ) -> Option<T> {
        if self.has(name) {
            self.take_optional(name)
        } else {
            Some(default)
        }
    }

    /// Takes a comma-separated list, empty if it is not there.
    pub(crate) fn take_list<T: FromStr<Err: Display>>(&mut self, name: &str) -> Vec<T> {
        let Some(text) = self.take_or(name, String::new()) else {
            return Vec::new();
        };
        let mut list = Vec::new();
        for item in text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
        {
            match item.parse::<T>() {
                Ok(value) => list.push(value),
                Err(error) => self.fault(Some(name), Some(item), &error.to_string()),
            }
        }
        list
    }

    /// Adds a fault of this section.
    pub(crate) fn fault(&mut self, name: Option<&str>, found: Option<&str>, expected: &str) {
        self.problems.push(Problem {
            document: self.document.clone(),
            section: self.title.clone(),
            name: name.map(str::to_owned),
            found: found.map(str::to_owned),
            expected: expected.to_owned(),
        });
    }

    /// Ends the section: whatever was not taken is unknown.
    pub(crate) fn finish(mut self) -> Vec<Problem> {
        for (name, value) in std::mem::take(&mut self.values) {
            self.fault(
                Some(&name),
                Some(&value),
                "no such name in this section; remove it",
            );
        }
        self.problems
    }

    /// Ends a section whose kind does not exist.
    pub(crate) fn reject(mut self, known: &str) -> Vec<Problem> {
        let kind = self.kind().to_owned();
        self.values.clear();
        self.fault(None, Some(&kind), &format!("one of the sections {known}"));
        self.problems
    }

    fn has(&self, name: &str) -> bool {
        self.values.iter().any(|(known, _)| known == name)
    }

    fn take_optional<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        let (found, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.values)
            .into_iter()
            .partition(|(known, _)| known == name);
        self.values = rest;
        if let [_, second, ..] = &found[..] {
            self.fault(
                Some(name),
                Some(&second.1),
                "one value; the name stands twice",
            );
            return None;
        }
        let (_, text) = found.first()?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(Some(name), Some(text), &error.to_string());
                None
            }
        }
    }
}
