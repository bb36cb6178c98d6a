//! Finds the log lines of one request in the logs of several processes.

use std::fs::File;
use std::io::{BufRead, BufReader};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::CliError;

/// Fields that are shown in other columns or do not concern the decision.
const HIDDEN_FIELDS: [&str; 6] = ["event", "level", "module", "request", "time", "target"];

/// Prefixes of events that report a process's start, its leaving, the configuration in force or
/// the state of its connection to the store. The last event of each kind before a request shows the
/// context in which the process decided.
const CONTEXT_EVENTS: [&str; 5] = [
    "configuration in force",
    "the store is lost",
    "the store answers again",
    "started",
    "leaving",
];

/// One line of a process log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Milliseconds since the Unix epoch.
    pub time: u64,
    /// Path of the log.
    pub log: String,
    /// Text of the event.
    pub event: String,
    /// The other fields, such as inputs and outcome, as `name=value` separated by spaces.
    pub fields: String,
    /// Whether the line is of the request itself, and not a preceding context event.
    pub own: bool,
}

/// Returns the lines of a request in one log, preceded by the last context event of each kind
/// before the first of them.
fn lines_of(
    name: &str,
    lines: impl Iterator<Item = std::io::Result<String>>,
    request: &str,
) -> std::io::Result<Vec<LogLine>> {
    let mut context: Vec<LogLine> = Vec::new();
    let mut found = Vec::new();
    for line in lines {
        let Some(fields) = parse_fields(&line?) else {
            continue;
        };
        let own = fields.get("request").and_then(Value::as_str) == Some(request);
        let line = log_line(name, &fields, own);
        if own {
            found.push(line);
        } else if found.is_empty() {
            let Some(prefix) = CONTEXT_EVENTS
                .iter()
                .find(|prefix| line.event.starts_with(**prefix))
            else {
                continue;
            };
            context.retain(|other| !other.event.starts_with(prefix));
            context.push(line);
        }
    }
    if found.is_empty() {
        return Ok(found);
    }
    context.append(&mut found);
    Ok(context)
}

/// Parses the JSON object of a line. A log collector may have added a prefix to the line.
fn parse_fields(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(line[start..].trim_end()).ok()
}

fn log_line(log: &str, fields: &Map<String, Value>, own: bool) -> LogLine {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let shown = fields
        .iter()
        .filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
    let shown: Vec<_> = shown
        .map(|(name, value)| format!("{name}={}", text(value)))
        .collect();
    LogLine {
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

/// Returns the lines of a request in all `logs`, with the preceding context events, by time.
///
/// # Errors
/// Returns a [`CliError`] if a log cannot be read, or no log contains the request.
pub fn explain(request: &str, logs: &[String]) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for path in logs {
        let failed = |source| CliError::Read {
            path: path.clone(),
            source,
        };
        let file = BufReader::new(File::open(path).map_err(failed)?);
        lines.extend(lines_of(path, file.lines(), request).map_err(failed)?);
    }
    if lines.is_empty() {
        return Err(CliError::UnknownRequest(request.to_owned()));
    }
    lines.sort_by_key(|line| line.time);
    Ok(lines)
}
