//! Errors of starting and controlling a deployment.

use derive_more::{Display, Error, From};

use crate::call::CallError;

/// An error of starting a deployment or of calling one of its processes.
#[derive(Debug, Display, Error, From)]
pub enum HarnessError {
    /// A file operation or the start of a process failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A relay could not be started.
    Relay(comfreyhaven_process::error::ProcessError),
    /// A call to a process failed.
    #[display("{_0}")]
    Call(CallError),
    /// A program exited before it announced all its ports.
    #[display(
        "{program} exited before it announced its ports; end of its log:
{log}"
    )]
    #[from(ignore)]
    Ended {
        /// Name of the binary.
        program: String,
        /// Last lines of its log.
        log: String,
    },
    /// A program did not announce the requested port.
    #[display("{program} did not announce its {port} port")]
    #[from(ignore)]
    Port {
        /// Name of the binary.
        program: String,
        /// Name under which the port is announced, such as `admin`.
        port: String,
    },
    /// The process with this admin address did not become ready in time.
    #[display("{_0} did not become ready")]
    #[from(ignore)]
    NotReady(#[error(not(source))] String),
}
