//! One section of a text. Values are taken out by key, and each key that is requested is recorded,
//! so that keys that were not requested can be reported as unknown.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use comfreyhaven_core::KeyDigest;

use crate::problem::Problem;
use crate::value::{Address, Count};

const DIGEST_EXPECTED: &str =
    "the SHA-256 digest of a key, 64 hexadecimal digits; `comfreyhaven key new` prints one";

/// A section such as `[endpoint engine-1]`, with the problems found in it so far.
#[derive(Debug)]
pub(crate) struct Section {
    document: String,
    title: String,
    values: Vec<(String, String)>,
    requested: Vec<&'static str>,
    problems: Vec<Problem>,
}

impl Section {
    pub(crate) fn new(document: &str, title: &str, values: Vec<(String, String)>) -> Self {
        Self {
            document: document.to_owned(),
            title: title.to_owned(),
            values,
            requested: Vec::new(),
            problems: Vec::new(),
        }
    }

    /// Returns the first word of the title, such as `endpoint`.
    pub(crate) fn kind(&self) -> &str {
        self.title.split_whitespace().next().unwrap_or("")
    }

    /// Returns the title with single spaces between its words.
    pub(crate) fn canonical_title(&self) -> String {
        let words: Vec<_> = self.title.split_whitespace().collect();
        words.join(" ")
    }

    /// Parses the rest of the title, after the kind, as a name. A malformed name is reported.
    pub(crate) fn name<T: FromStr<Err: Display>>(&mut self) -> Option<T> {
        let kind = self.kind().to_owned();
        let name = self.title[kind.len()..].trim().to_owned();
        match name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.report(
                    None,
                    Some(&name),
                    &format!("a name after {kind:?}: {error}"),
                );
                None
            }
        }
    }

    /// Takes a required value. A missing one is reported.
    pub(crate) fn take_required<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Option<T> {
        if !self.contains_key(key) {
            self.requested.push(key);
            self.report(Some(key), None, "a value; this key is required");
            return None;
        }
        self.take_optional(key)
    }

    /// Takes a value, or returns `default` if the key is missing.
    pub(crate) fn take_or<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        default: T,
    ) -> Option<T> {
        if self.contains_key(key) {
            self.take_optional(key)
        } else {
            self.requested.push(key);
            Some(default)
        }
    }

    /// Takes a comma-separated list. A missing key gives an empty list.
    pub(crate) fn take_list<T: FromStr<Err: Display> + PartialEq>(
        &mut self,
        key: &'static str,
    ) -> Vec<T> {
        let Some(text) = self.take_or(key, String::new()) else {
            return Vec::new();
        };
        let mut list: Vec<T> = Vec::new();
        for item in split_items(&text) {
            match item.parse::<T>() {
                Ok(value) if list.contains(&value) => {
                    self.report(
                        Some(key),
                        Some(item),
                        "each item once; this one is repeated",
                    );
                }
                Ok(value) => list.push(value),
                Err(error) => self.report(Some(key), Some(item), &error.to_string()),
            }
        }
        list
    }

    /// Takes a comma-separated list of digests. A malformed item is reported by its position and
    /// not by its text, because it may be a team key written in place of its digest.
    pub(crate) fn take_digests(&mut self, key: &'static str) -> Vec<KeyDigest> {
        let Some(text) = self.take_or(key, String::new()) else {
            return Vec::new();
        };
        let mut list = Vec::new();
        for (index, item) in split_items(&text).enumerate() {
            let position = format!("item {}", index + 1);
            match item.parse::<KeyDigest>() {
                Ok(digest) if list.contains(&digest) => {
                    self.report(
                        Some(key),
                        Some(&position),
                        "each digest once; this one is repeated",
                    );
                }
                Ok(digest) => list.push(digest),
                Err(_) => self.report(Some(key), Some(&position), DIGEST_EXPECTED),
            }
        }
        list
    }

    /// Takes a count within `range`. A missing key gives `default`, or is reported without one.
    pub(crate) fn take_count(
        &mut self,
        key: &'static str,
        default: Option<u64>,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let count = match default {
            Some(default) => self.take_or(key, Count(default))?,
            None => self.take_required::<Count>(key)?,
        };
        if !range.contains(&count.0) {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            self.report(Some(key), Some(&count.to_string()), &expected);
            return None;
        }
        Some(count.0)
    }

    /// Takes an address that other processes can connect to.
    pub(crate) fn take_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let Address(address) = self.take_required(key)?;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            let expected = "an IP address and a port that other processes can connect to";
            self.report(Some(key), Some(&address.to_string()), expected);
            return None;
        }
        Some(address)
    }

    /// Reports a problem of this section, or of `key` in it.
    pub(crate) fn report(&mut self, key: Option<&str>, found: Option<&str>, expected: &str) {
        self.problems.push(Problem {
            document: self.document.clone(),
            section: self.title.clone(),
            name: key.map(str::to_owned),
            found: found.map(str::to_owned),
            expected: expected.to_owned(),
        });
    }

    /// Reports every key that was not taken as unknown, and returns all problems of the section.
    pub(crate) fn finish(mut self) -> Vec<Problem> {
        for (key, _) in std::mem::take(&mut self.values) {
            let expected = "a known key of this section; remove this one";
            self.report(Some(&key), None, expected);
        }
        self.problems
    }

    /// Returns the keys that were requested, each once, in order of the first request.
    pub(crate) fn requested_keys(&self) -> Vec<&'static str> {
        let mut keys = Vec::new();
        for key in &self.requested {
            if !keys.contains(key) {
                keys.push(*key);
            }
        }
        keys
    }

    /// Returns the problems so far and ignores the remaining values.
    pub(crate) fn into_problems(self) -> Vec<Problem> {
        self.problems
    }

    /// Reports the section's kind as unknown. `known` lists the kinds that are accepted.
    pub(crate) fn reject_kind(mut self, known: &str) -> Vec<Problem> {
        let kind = self.kind().to_owned();
        self.values.clear();
        let expected = if kind.is_empty() {
            format!("a section title before the first value: {known}")
        } else {
            format!("one of these sections: {known}")
        };
        self.report(None, Some(&kind), &expected);
        self.problems
    }

    /// Returns the text of a value that has not been taken yet.
    pub(crate) fn peek(&self, key: &str) -> Option<&str> {
        let mut values = self.values.iter();
        values
            .find(|(known, _)| known == key)
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether the key has a value that has not been taken yet.
    pub(crate) fn contains_key(&self, key: &str) -> bool {
        self.values.iter().any(|(known, _)| known == key)
    }

    /// Takes an optional value. A repeated key or a malformed value is reported.
    pub(crate) fn take_optional<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Option<T> {
        self.requested.push(key);
        let (found, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.values)
            .into_iter()
            .partition(|(known, _)| known == key);
        self.values = rest;
        if let [_, second, ..] = &found[..] {
            let redacted = redacted(key, &second.1);
            self.report(Some(key), redacted, "the key once; it is repeated");
            return None;
        }
        let (_, text) = found.first()?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(Some(key), Some(text), &error.to_string());
                None
            }
        }
    }
}

fn split_items(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// Returns the value for an error message, or `None` if it may be a team key.
fn redacted<'a>(key: &str, value: &'a str) -> Option<&'a str> {
    (key != "keys").then_some(value)
}
