//! Errors of commands, and their exit codes.

use std::net::SocketAddr;

use comfreyhaven_config::Problems;
use comfreyhaven_direct::store::StoreError;
use comfreyhaven_process::dial::DialError;
use derive_more::{Display, Error, From};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// A file could not be read.
    #[display("cannot read {path:?}: {source}")]
    #[from(ignore)]
    Read {
        /// Path of the file.
        path: String,
        /// Cause from the operating system.
        source: std::io::Error,
    },
    /// A file could not be created or written.
    #[display("cannot write {path:?}: {source}")]
    #[from(ignore)]
    Create {
        /// Path of the file.
        path: String,
        /// Cause from the operating system.
        source: std::io::Error,
    },
    /// An I/O operation other than on a named file failed.
    #[display("I/O error: {_0}")]
    Write(std::io::Error),
    /// A directory contains no `.ini` file.
    #[display("{_0:?} contains no .ini file")]
    #[from(ignore)]
    Empty(#[error(not(source))] String),
    /// A configuration has problems.
    #[display("{} found:\n{_0}", problem_count(_0))]
    Problems(Problems),
    /// A request to a process failed.
    #[display("{address}: {source}")]
    #[from(ignore)]
    Ask {
        /// Admin address of the process.
        address: SocketAddr,
        /// Cause of the failure.
        source: AdminError,
    },
    /// No process or log has a record of a request.
    #[display("request {_0} is unknown: check the id, and pass every entry or its log")]
    #[from(ignore)]
    UnknownRequest(#[error(not(source))] String),
    /// A request id is malformed.
    #[display("{_0:?} is not a request id: expected the value of x-comfreyhaven-request")]
    #[from(ignore)]
    NoRequest(#[error(not(source))] String),
    /// A configuration of direct entries cannot be decoded.
    #[display("{path:?} is no configuration of direct entries: {source}")]
    #[from(ignore)]
    Undecodable {
        /// Path of the file.
        path: String,
        /// Where decoding failed, and why.
        source: serde_json::Error,
    },
    /// The platform's store cannot be read.
    #[display("store {address}: {source}")]
    #[from(ignore)]
    Store {
        /// Address of the store.
        address: SocketAddr,
        /// Cause of the failure.
        source: StoreError,
    },
    /// The platform's store holds no configuration that can be decoded.
    #[display("store {_0} holds no configuration that can be decoded")]
    #[from(ignore)]
    NoPlan(#[error(not(source))] SocketAddr),
    /// A value could not be printed as JSON.
    #[display("cannot print JSON: {_0}")]
    Json(serde_json::Error),
}

/// Why a request to the admin address of a process failed.
#[derive(Debug, Display, Error, From)]
pub enum AdminError {
    /// No connection could be opened.
    #[display("{_0}")]
    Dial(DialError),
    /// The connection failed while it was in use.
    #[display("{_0}")]
    Http(hyper::Error),
    /// The response is truncated or exceeds the size limit.
    #[display("the response is truncated or too long")]
    #[from(ignore)]
    Body,
    /// The response is not JSON.
    #[display("the response is not JSON: {_0}")]
    Json(serde_json::Error),
    /// The process answered with an error status.
    #[display("status {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] u16),
    /// The process did not respond within the timeout.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

impl CliError {
    /// Returns the exit code: 1 if a check found problems or a request is unknown, 2 if the command
    /// itself failed.
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
            | Self::Undecodable { .. }
            | Self::Store { .. }
            | Self::NoPlan(_)
            | Self::Json(_) => 2,
        }
    }
}

fn problem_count(problems: &Problems) -> String {
    match problems.0.len() {
        1 => "1 problem".to_owned(),
        count => format!("{count} problems"),
    }
}
