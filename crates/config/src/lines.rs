//! Checks the syntax of each line before the INI library parses a text.
//!
//! The library silently joins or drops lines: a key without `=` and a value that ends in a
//! backslash absorb the next line, an unclosed bracket extends to the next bracket, and an indented
//! line at the end of a file is dropped. Inline comments are disabled, so a comment after a value
//! becomes part of the value. Only blank lines, comments, section titles and `key = value` lines
//! are accepted here. Any other line is reported and removed from the text that the library
//! parses, so that problems of all other lines are found in the same run.

use crate::problem::Problem;

/// Some editors write this character at the start of a file. It is not part of the text.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Checks every line. Returns the text without the malformed lines, and their problems.
pub(crate) fn check(document: &str, text: &str) -> (String, Vec<Problem>) {
    let mut problems = Vec::new();
    let mut rest = String::with_capacity(text.len());
    let plain = text.strip_prefix(BYTE_ORDER_MARK);
    if plain.is_some() {
        let expected = "text without a byte order mark; save the file as plain UTF-8";
        problems.push(problem(document, 1, "", expected));
    }
    let text = plain.unwrap_or(text);
    for (index, line) in text.split('\n').enumerate() {
        let line = line.strip_suffix('\r').unwrap_or(line);
        match check_line(line) {
            None => rest.push_str(line),
            Some(expected) => problems.push(problem(document, index + 1, line, expected)),
        }
        rest.push('\n');
    }
    (rest, problems)
}

fn problem(document: &str, number: usize, line: &str, expected: &str) -> Problem {
    // A misplaced value may be a secret, so only the key is shown.
    let shown = line.split_once('=').map_or("", |(key, _)| key.trim());
    Problem {
        document: document.to_owned(),
        section: format!("line {number}"),
        name: None,
        found: (!shown.is_empty()).then(|| shown.to_owned()),
        expected: expected.to_owned(),
    }
}

/// Returns what is expected instead of the line, or `None` if the line is well formed.
fn check_line(line: &str) -> Option<&'static str> {
    let trimmed = line.trim();
    if trimmed.is_empty() {
        return None;
    }
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return Some("a line without control characters");
    }
    if line.starts_with(char::is_whitespace) {
        return Some("a line without indentation; a value cannot span lines");
    }
    match trimmed.chars().next() {
        Some('#' | ';') => None,
        Some('[') => check_title(trimmed),
        _ => check_value(trimmed),
    }
}

fn check_title(line: &str) -> Option<&'static str> {
    let title = line.strip_prefix('[')?.strip_suffix(']');
    match title {
        Some(title) if !title.contains(['[', ']', '\\']) => None,
        _ => Some("a section title in brackets on a line of its own, such as [team kakheti]"),
    }
}

fn check_value(line: &str) -> Option<&'static str> {
    let Some((key, value)) = line.split_once('=') else {
        return Some("a line of the form key = value");
    };
    let (key, value) = (key.trim(), value.trim());
    if key.is_empty() || key.contains([':', '\\', '"', '\'', '#', ';']) {
        return Some("a key of letters before the =");
    }
    if value.contains('\\') {
        return Some("a value without a backslash; there are no escapes");
    }
    if value.contains(['"', '\'']) {
        return Some("a value without quotes; values are not quoted");
    }
    if value.starts_with(['#', ';']) || value.contains([' ', '\t']) && has_comment(value) {
        return Some("a value without a comment; put the comment on a line of its own");
    }
    None
}

fn has_comment(value: &str) -> bool {
    value
        .split([' ', '\t'])
        .any(|word| word.starts_with(['#', ';']))
}
