//! Why a trial cannot be carried out.

use comfreyhaven_harness::HarnessError;
use derive_more::{Display, Error, From};

use crate::trace::TraceError;

/// A trial that could not be carried out or that failed.
#[derive(Debug, Display, Error, From)]
pub enum TrialError {
    /// A deployment failed.
    Harness(HarnessError),
    /// A trace cannot be read.
    Trace(TraceError),
    /// A file or signal failed.
    Io(std::io::Error),
    /// A plot cannot be drawn.
    #[display("cannot plot: {_0}")]
    #[from(ignore)]
    Plot(#[error(not(source))] String),
    /// Some request did not get the whole answer to itself.
    #[display("not every request got the whole answer to itself")]
    #[from(ignore)]
    NotWhole,
    /// A signal ended the trial.
    #[display("interrupted")]
    #[from(ignore)]
    Interrupted,
}
