//! Errors of the `trial` subcommands.

use comfreyhaven_harness::HarnessError;
use derive_more::{Display, Error, From};

use crate::trace::TraceError;

/// Reason why a subcommand failed.
#[derive(Debug, Display, Error, From)]
pub enum TrialError {
    /// A process of the deployment did not start, or a call to it failed.
    Harness(HarnessError),
    /// A recorded trace is malformed.
    Trace(TraceError),
    /// A file cannot be written, or the runtime or a signal handler cannot be set up.
    Io(std::io::Error),
    /// The plot cannot be drawn.
    #[display("cannot draw the plot: {_0}")]
    #[from(ignore)]
    Plot(#[error(not(source))] String),
    /// At least one request did not get its own complete answer.
    #[display("at least one request did not get its own complete answer")]
    #[from(ignore)]
    NotWhole,
    /// A signal stopped the subcommand.
    #[display("interrupted")]
    #[from(ignore)]
    Interrupted,
}
