//! Failures of the harness itself.

use derive_more::{Display, Error, From};

use crate::call::CallError;

/// A deployment that cannot be started or asked.
#[derive(Debug, Display, Error, From)]
pub enum HarnessError {
    /// A file or a process failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A relay cannot be started.
    Relay(comfreyhaven_process::error::ProcessError),
    /// A call to a process failed.
    #[display("{_0}")]
    Call(CallError),
    /// A program ended before it listened.
    #[display(
        "{program} ended before it listened; its log ends:
{log}"
    )]
    #[from(ignore)]
    Ended {
        /// The program.
        program: String,
        /// The end of its log.
        log: String,
    },
    /// A program did not announce a port.
    #[display("{program} did not announce its {port} port")]
    #[from(ignore)]
    Port {
        /// The program.
        program: String,
        /// The port's name.
        port: String,
    },
    /// A process did not become ready.
    #[display("{_0} did not become ready")]
    #[from(ignore)]
    NotReady(#[error(not(source))] String),
}
