//! Why a command fails, and with which exit code.

use std::net::SocketAddr;

use comfreyhaven_config::Problems;
use comfreyhaven_process::dial::DialError;
use derive_more::{Display, Error, From};

/// A command that failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// A file cannot be read.
    #[display("cannot read {path:?}: {source}")]
    #[from(ignore)]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[display("cannot write {path:?}: {source}")]
    #[from(ignore)]
    Create {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// Output cannot be written.
    #[display("cannot write: {_0}")]
    Write(std::io::Error),
    /// A directory holds no document.
    #[display("{_0:?} holds no file whose name ends in .ini")]
    #[from(ignore)]
    Empty(#[error(not(source))] String),
    /// A configuration has faults.
    #[display("{} found:\n{_0}", count(_0))]
    Problems(Problems),
    /// A process cannot be asked.
    #[display("{address}: {source}")]
    #[from(ignore)]
    Ask {
        /// Its operators' port.
        address: SocketAddr,
        /// Why.
        source: AskError,
    },
    /// No process knows a request.
    #[display("nothing is known of request {_0}: check the id, and name every entry or its log")]
    #[from(ignore)]
    UnknownRequest(#[error(not(source))] String),
    /// A request's id is malformed.
    #[display("{_0:?} is no identifier of a request: expected the value of x-comfreyhaven-request")]
    #[from(ignore)]
    NoRequest(#[error(not(source))] String),
    /// A value cannot be printed as JSON.
    #[display("cannot print JSON: {_0}")]
    Json(serde_json::Error),
}

/// Why a process cannot be asked.
#[derive(Debug, Display, Error, From)]
pub enum AskError {
    /// It cannot be connected to.
    #[display("{_0}")]
    Dial(DialError),
    /// The connection failed.
    #[display("{_0}")]
    Http(hyper::Error),
    /// The answer is over its limit or broke off.
    #[display("the answer is not whole or too long")]
    #[from(ignore)]
    Body,
    /// The answer is no JSON.
    #[display("the answer is no JSON: {_0}")]
    Json(serde_json::Error),
    /// The process refused.
    #[display("status {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] u16),
    /// No answer in time.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

impl CliError {
    /// Exit code: 1 for something that was found wrong, 2 for a command that could not be carried
    /// out.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Problems(_) | Self::UnknownRequest(_) => 1,
            Self::Read { .. }
            | Self::Create { .. }
            | Self::Write(_)
            | Self::Empty(_)
            | Self::NoRequest(_)
            | Self::Ask { .. }
            | Self::Json(_) => 2,
        }
    }
}

fn count(problems: &Problems) -> String {
    match problems.0.len() {
        1 => "1 problem".to_owned(),
        count => format!("{count} problems"),
    }
}
