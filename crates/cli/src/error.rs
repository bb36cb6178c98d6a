//! Why a command fails, and with which exit code.

use comfreyhaven_config::Problems;
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
    /// Output cannot be written.
    #[display("cannot write: {_0}")]
    Write(std::io::Error),
    /// A configuration has faults.
    #[display("{} found:\n{_0}", count(_0))]
    Problems(Problems),
}

impl CliError {
    /// Exit code: 1 for faults that were found, 2 for a command that could not be carried out.
    #[must_use]
    pub fn code(&self) -> u8 {
        match self {
            Self::Problems(_) => 1,
            Self::Read { .. } | Self::Write(_) => 2,
        }
    }
}

fn count(problems: &Problems) -> String {
    match problems.0.len() {
        1 => "1 problem".to_owned(),
        count => format!("{count} problems"),
    }
}
