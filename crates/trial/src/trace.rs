//! Parser of recorded traces, which hold the requests of callers with their arrival times.
//!
//! A trace is a file of JSON lines. Lines of kind `prefix` define text that several prompts start
//! with; lines of kind `chat` and `call` are requests in order of arrival.

use std::collections::HashMap;

use derive_more::{Display, Error, From};
use hyper::Method;
use serde::Deserialize;

/// Reason why a trace cannot be parsed.
#[derive(Debug, Display, Error, From)]
pub enum TraceError {
    /// A line is not a valid record.
    #[display("line {line}: {source}")]
    #[from(ignore)]
    Record {
        /// Number of the line, counted from one.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A chat refers to a prefix that no earlier line defines.
    #[display("undefined prefix {_0:?}")]
    #[from(ignore)]
    Prefix(#[error(not(source))] String),
    /// A call has an invalid HTTP method.
    #[display("invalid HTTP method {_0:?}")]
    #[from(ignore)]
    Method(#[error(not(source))] String),
}

#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum TraceLine {
    Prefix {
        name: String,
        text: String,
    },
    Chat {
        at_ms: u64,
        team: String,
        route: String,
        prefix: String,
        text: String,
        tokens: u32,
    },
    Call {
        at_ms: u64,
        team: String,
        route: String,
        method: String,
        target: String,
    },
}

/// Content of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion of at most `tokens` tokens.
    Chat {
        /// Complete prompt, including the prefix.
        prompt: String,
        /// Length in bytes of the prefix that other prompts share.
        shared: usize,
        /// Limit of the answer in tokens.
        tokens: u32,
    },
    /// A call to a plain service.
    Call {
        /// Method of the HTTP request.
        method: Method,
        /// Path and query of the HTTP request.
        target: String,
    },
}

/// A recorded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Time since the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// Team whose API key the request carries.
    pub team: String,
    /// Name of the route that the request matches.
    pub route: String,
    /// Content of the request.
    pub kind: RequestKind,
}

/// Parses a trace.
///
/// ```
/// let text = r#"{"kind":"call","at_ms":3,"team":"kakheti","route":"status","method":"GET","target":"/orders/status/7"}"#;
/// let records = comfreyhaven_trial::trace::parse(text).unwrap();
/// assert_eq!(records[0].team, "kakheti");
/// ```
///
/// # Errors
/// Returns a [`TraceError`] for the first line that is not a valid record.
pub fn parse(text: &str) -> Result<Vec<Record>, TraceError> {
    let mut prefixes = HashMap::new();
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let invalid = |source| TraceError::Record {
            line: index + 1,
            source,
        };
        match serde_json::from_str(line).map_err(invalid)? {
            TraceLine::Prefix { name, text } => {
                prefixes.insert(name, text);
            }
            TraceLine::Chat {
                at_ms,
                team,
                route,
                prefix,
                text,
                tokens,
            } => {
                let shared = prefixes.get(&prefix).ok_or(TraceError::Prefix(prefix))?;
                let kind = RequestKind::Chat {
                    prompt: format!("{shared}\n{text}"),
                    shared: shared.len(),
                    tokens,
                };
                records.push(Record {
                    at_ms,
                    team,
                    route,
                    kind,
                });
            }
            TraceLine::Call {
                at_ms,
                team,
                route,
                method,
                target,
            } => {
                let method = method.parse().map_err(|_| TraceError::Method(method))?;
                let kind = RequestKind::Call { method, target };
                records.push(Record {
                    at_ms,
                    team,
                    route,
                    kind,
                });
            }
        }
    }
    Ok(records)
}

#[cfg(test)]
mod tests;
