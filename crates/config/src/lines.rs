//! The shape of each line, checked before the INI library reads a text.
//!
//! The library joins lines in silence: a name without `=` takes in the next line, a backslash at
//! the end of a value too, a bracket that is not closed runs on to the next one, and an indented
//! line at the end of a file is dropped. Its inline comments are off, so a comment behind a value
//! becomes a part of it. Here a line that is none of the four plain shapes is a fault, and is left
//! out of what the library reads, so that the faults of all other lines are found too.

use crate::problem::Problem;

/// First character of some editors' files, which is no part of the text.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Checks every line. Returns the text without the faulty ones, and the faults.
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
        match fault(line) {
            None => rest.push_str(line),
            Some(expected) => problems.push(problem(document, index + 1, line, expected)),
        }
        rest.push('\n');
    }
    (rest, problems)
}

fn problem(document: &str, number: usize, line: &str, expected: &str) -> Problem {
    // The value may be a secret that is in the wrong place, so only the name is shown.
    let shown = line.split_once('=').map_or("", |(name, _)| name.trim());
    Problem {
        document: document.to_owned(),
        section: format!("line {number}"),
        name: None,
        found: (!shown.is_empty()).then(|| shown.to_owned()),
        expected: expected.to_owned(),
    }
}

/// What should stand in place of a line, if it has none of the plain shapes.
fn fault(line: &str) -> Option<&'static str> {
    let trimmed = line.trim();
    if trimmed.is_empty() {
        return None;
    }
    if line.chars().any(|c| c.is_control() && c != '\t') {
        return Some("a line without control characters");
    }
    if line.starts_with(char::is_whitespace) {
        return Some("a line that is not indented; a value stands on one line");
    }
    match trimmed.chars().next() {
        Some('#' | ';') => None,
        Some('[') => title_fault(trimmed),
        _ => value_fault(trimmed),
    }
}

fn title_fault(line: &str) -> Option<&'static str> {
    let title = line.strip_prefix('[')?.strip_suffix(']');
    match title {
        Some(title) if !title.contains(['[', ']', '\\']) => None,
        _ => Some("a title in brackets, alone on its line, such as [team kakheti]"),
    }
}

fn value_fault(line: &str) -> Option<&'static str> {
    let Some((name, value)) = line.split_once('=') else {
        return Some("a line of the form name = value");
    };
    let (name, value) = (name.trim(), value.trim());
    if name.is_empty() || name.contains([':', '\\', '"', '\'', '#', ';']) {
        return Some("a name of letters before the =");
    }
    if value.contains('\\') {
        return Some("a value without a backslash; there are no escapes");
    }
    if value.contains(['"', '\'']) {
        return Some("a value without quotes; it stands as it is");
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
