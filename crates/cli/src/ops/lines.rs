//! What log lines say of one request, over the logs of several processes.

use std::fs::File;
use std::io::{BufRead, BufReader};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::CliError;

/// Fields of a line that are shown elsewhere or say nothing of the decision.
const HIDDEN: [&str; 6] = ["event", "level", "module", "request", "time", "target"];

/// Events that change what a process believes of the store, as their texts begin.
const BELIEFS: [&str; 5] = [
    "configuration in force",
    "the store is lost",
    "the store answers again",
    "started",
    "leaving",
];

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Milliseconds since the Unix epoch.
    pub time: u64,
    /// The log that holds it.
    pub log: String,
    /// What happened.
    pub event: String,
    /// The inputs and the outcome, as `name=value`.
    pub fields: String,
    /// Whether it tells of the request, and not of what the process believed before.
    pub own: bool,
}

/// The lines of one log that tell of a request, after what the process last said of the store.
fn of_log(
    name: &str,
    lines: impl Iterator<Item = std::io::Result<String>>,
    request: &str,
) -> std::io::Result<Vec<Line>> {
    let mut beliefs: Vec<Line> = Vec::new();
    let mut found = Vec::new();
    for line in lines {
        let Some(fields) = fields(&line?) else {
            continue;
        };
        let own = fields.get("request").and_then(Value::as_str) == Some(request);
        let line = read(name, &fields, own);
        if own {
            found.push(line);
        } else if found.is_empty() {
            let Some(kind) = BELIEFS.iter().find(|kind| line.event.starts_with(**kind)) else {
                continue;
            };
            beliefs.retain(|other| !other.event.starts_with(kind));
            beliefs.push(line);
        }
    }
    if found.is_empty() {
        return Ok(found);
    }
    beliefs.append(&mut found);
    Ok(beliefs)
}

/// The object of a line, which may stand behind what a collector of logs has put before it.
fn fields(line: &str) -> Option<Map<String, Value>> {
    let begin = line.find('{')?;
    serde_json::from_str(line[begin..].trim_end()).ok()
}

fn read(log: &str, fields: &Map<String, Value>, own: bool) -> Line {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let shown = fields
        .iter()
        .filter(|(name, _)| !HIDDEN.contains(&name.as_str()));
    let shown: Vec<_> = shown
        .map(|(name, value)| format!("{name}={}", text(value)))
        .collect();
    Line {
        time: fields
            .get("time")
            .and_then(Value::as_u64)
            .unwrap_or_default(),
        log: log.to_owned(),
        event: fields.get("event").map(text).unwrap_or_default(),
        fields: shown.join(" "),
        own,
    }
}

/// The lines of all `logs` that tell of a request, in the order of their times.
///
/// # Errors
/// Returns a [`CliError`] if a log cannot be read, or none tells of the request.
pub fn explain(request: &str, logs: &[String]) -> Result<Vec<Line>, CliError> {
    let mut lines = Vec::new();
    for path in logs {
        let failed = |source| CliError::Read {
            path: path.clone(),
            source,
        };
        let file = BufReader::new(File::open(path).map_err(failed)?);
        lines.extend(of_log(path, file.lines(), request).map_err(failed)?);
    }
    if lines.is_empty() {
        return Err(CliError::UnknownRequest(request.to_owned()));
    }
    lines.sort_by_key(|line| line.time);
    Ok(lines)
}
