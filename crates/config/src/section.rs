//! One section of a text, whose values are taken out by name.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use comfreyhaven_core::KeyDigest;

use crate::problem::Problem;
use crate::value::{Address, Count};

const DIGEST_EXPECTED: &str =
    "the SHA-256 digest of a key, 64 hexadecimal digits; `comfreyhaven key new` prints one";

/// A section such as `[endpoint engine-1]`, with the faults found in it so far.
#[derive(Debug)]
pub(crate) struct Section {
    document: String,
    title: String,
    values: Vec<(String, String)>,
    asked: Vec<&'static str>,
    problems: Vec<Problem>,
}

impl Section {
    pub(crate) fn new(document: &str, title: &str, values: Vec<(String, String)>) -> Self {
        Self {
            document: document.to_owned(),
            title: title.to_owned(),
            values,
            asked: Vec::new(),
            problems: Vec::new(),
        }
    }

    /// The word before the name, such as `endpoint`.
    pub(crate) fn kind(&self) -> &str {
        self.title.split_whitespace().next().unwrap_or("")
    }

    /// Kind and name with one space between them.
    pub(crate) fn canonical(&self) -> String {
        let words: Vec<_> = self.title.split_whitespace().collect();
        words.join(" ")
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
    pub(crate) fn take<T: FromStr<Err: Display>>(&mut self, name: &'static str) -> Option<T> {
        if !self.has(name) {
            self.asked.push(name);
            self.fault(Some(name), None, "a value; this one has no default");
            return None;
        }
        self.take_optional(name)
    }

    /// Takes a value, or `default` if it is not there.
    pub(crate) fn take_or<T: FromStr<Err: Display>>(
        &mut self,
        name: &'static str,
        default: T,
    ) -> Option<T> {
        if self.has(name) {
            self.take_optional(name)
        } else {
            self.asked.push(name);
            Some(default)
        }
    }

    /// Takes a comma-separated list, empty if it is not there.
    pub(crate) fn take_list<T: FromStr<Err: Display> + PartialEq>(
        &mut self,
        name: &'static str,
    ) -> Vec<T> {
        let Some(text) = self.take_or(name, String::new()) else {
            return Vec::new();
        };
        let mut list: Vec<T> = Vec::new();
        for item in items(&text) {
            match item.parse::<T>() {
                Ok(value) if list.contains(&value) => {
                    self.fault(Some(name), Some(item), "each item once; it stands twice");
                }
                Ok(value) => list.push(value),
                Err(error) => self.fault(Some(name), Some(item), &error.to_string()),
            }
        }
        list
    }

    /// Takes a comma-separated list of digests. Nothing of a malformed item is shown, since it may
    /// be a key that was put in place of its digest.
    pub(crate) fn take_digests(&mut self, name: &'static str) -> Vec<KeyDigest> {
        let Some(text) = self.take_or(name, String::new()) else {
            return Vec::new();
        };
        let mut list = Vec::new();
        for (index, item) in items(&text).enumerate() {
            let place = format!("item {}", index + 1);
            match item.parse::<KeyDigest>() {
                Ok(digest) if list.contains(&digest) => {
                    self.fault(
                        Some(name),
                        Some(&place),
                        "each digest once; it stands twice",
                    );
                }
                Ok(digest) => list.push(digest),
                Err(_) => self.fault(Some(name), Some(&place), DIGEST_EXPECTED),
            }
        }
        list
    }

    /// Takes a count between two bounds, or `default` if it is not there.
    pub(crate) fn take_count(
        &mut self,
        name: &'static str,
        default: Option<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let count = match default {
            Some(default) => self.take_or(name, Count(default))?,
            None => self.take::<Count>(name)?,
        };
        if !range.contains(&count.0) {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            self.fault(Some(name), Some(&count.to_string()), &expected);
            return None;
        }
        Some(count.0)
    }

    /// Takes an address at which others can reach a process.
    pub(crate) fn take_address(&mut self, name: &'static str) -> Option<SocketAddr> {
        let Address(address) = self.take(name)?;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            let expected = "an IP number and a port that others can connect to";
            self.fault(Some(name), Some(&address.to_string()), expected);
            return None;
        }
        Some(address)
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
        for (name, _) in std::mem::take(&mut self.values) {
            let expected = "no such name in this section; remove it";
            self.fault(Some(&name), None, expected);
        }
        self.problems
    }

    /// The names that were asked for, each once, in order.
    pub(crate) fn asked(&self) -> Vec<&'static str> {
        let mut names = Vec::new();
        for name in &self.asked {
            if !names.contains(name) {
                names.push(*name);
            }
        }
        names
    }

    /// Ends a section whose values are not read.
    pub(crate) fn discard(self) -> Vec<Problem> {
        self.problems
    }

    /// Ends a section whose kind does not exist.
    pub(crate) fn reject(mut self, known: &str) -> Vec<Problem> {
        let kind = self.kind().to_owned();
        self.values.clear();
        let expected = if kind.is_empty() {
            format!("a section title before the first value: {known}")
        } else {
            format!("one of the sections {known}")
        };
        self.fault(None, Some(&kind), &expected);
        self.problems
    }

    /// The text of a value that was not taken yet.
    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        let mut values = self.values.iter();
        values
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Whether a value stands here that was not taken yet.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.values.iter().any(|(known, _)| known == name)
    }

    /// Takes a value that may be missing.
    pub(crate) fn take_optional<T: FromStr<Err: Display>>(
        &mut self,
        name: &'static str,
    ) -> Option<T> {
        self.asked.push(name);
        let (found, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.values)
            .into_iter()
            .partition(|(known, _)| known == name);
        self.values = rest;
        if let [_, second, ..] = &found[..] {
            let shown = shown(name, &second.1);
            self.fault(Some(name), shown, "one value; the name stands twice");
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

fn items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// The value of a name, unless it may hold a key.
fn shown<'a>(name: &str, value: &'a str) -> Option<&'a str> {
    (name != "keys").then_some(value)
}
