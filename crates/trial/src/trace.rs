//! Recorded traces: what callers asked for, when, and for which team.
//!
//! A trace is a file of JSON lines. Lines of kind `prefix` name text that many prompts begin with;
//! lines of kind `chat` and `call` are requests in order of arrival.

use std::collections::HashMap;

use derive_more::{Display, Error, From};
use hyper::Method;
use serde::Deserialize;

/// A trace that cannot be read.
#[derive(Debug, Display, Error, From)]
pub enum TraceError {
    /// A line is not a record.
    #[display("line {line}: {source}")]
    #[from(ignore)]
    Record {
        /// Number of the line, from one.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A chat names a prefix that no earlier line defines.
    #[display("no prefix {_0:?}")]
    #[from(ignore)]
    Prefix(#[error(not(source))] String),
    /// A call has a method that HTTP does not know.
    #[display("no method {_0:?}")]
    #[from(ignore)]
    Method(#[error(not(source))] String),
}

#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Line {
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

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// Text of at most `tokens` tokens from a model.
    Chat {
        /// The whole prompt.
        prompt: String,
        /// Bytes at its start that other prompts share.
        shared: usize,
        /// Largest answer, in tokens.
        tokens: u32,
    },
    /// One call of a plain service.
    Call {
        /// HTTP method.
        method: Method,
        /// Path and query.
        target: String,
    },
}

/// One recorded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Time since the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// The team whose key it carries.
    pub team: String,
    /// Its route.
    pub route: String,
    /// What it asks for.
    pub ask: Ask,
}

/// Reads a trace.
///
/// ```
/// let text = r#"{"kind":"call","at_ms":3,"team":"kakheti","route":"status","method":"GET","target":"/orders/status/7"}"#;
/// let records = comfreyhaven_trial::trace::parse(text).unwrap();
/// assert_eq!(records[0].team, "kakheti");
/// ```
///
/// # Errors
/// Returns a [`TraceError`] that names the first line that is no record.
pub fn parse(text: &str) -> Result<Vec<Record>, TraceError> {
    let mut prefixes = HashMap::new();
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let record = |source| TraceError::Record {
            line: index + 1,
            source,
        };
        match serde_json::from_str(line).map_err(record)? {
            Line::Prefix { name, text } => {
                prefixes.insert(name, text);
            }
            Line::Chat {
                at_ms,
                team,
                route,
                prefix,
                text,
                tokens,
            } => {
                let shared = prefixes.get(&prefix).ok_or(TraceError::Prefix(prefix))?;
                let ask = Ask::Chat {
                    prompt: format!("{shared}\n{text}"),
                    shared: shared.len(),
                    tokens,
                };
                records.push(Record {
                    at_ms,
                    team,
                    route,
                    ask,
                });
            }
            Line::Call {
                at_ms,
                team,
                route,
                method,
                target,
            } => {
                let method = method.parse().map_err(|_| TraceError::Method(method))?;
                let ask = Ask::Call { method, target };
                records.push(Record {
                    at_ms,
                    team,
                    route,
                    ask,
                });
            }
        }
    }
    Ok(records)
}

#[cfg(test)]
mod tests;
