//! Errors of the measurements.

use comfreyhaven_config::Problems;
use comfreyhaven_core::name::NameError;
use comfreyhaven_harness::HarnessError;
use comfreyhaven_process::dial::DialError;
use derive_more::{Display, Error, From};

use crate::findings::Cost;

/// Reason why a measurement failed.
#[derive(Debug, Display, Error, From)]
pub enum CapacityError {
    /// A file under `/proc` cannot be read, or an operation on a socket failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A control connection cannot be opened.
    #[display("{_0}")]
    Dial(DialError),
    /// A call on a control connection failed.
    #[display("{_0}")]
    Call(tarpc::client::RpcError),
    /// A process of the deployment did not start, or a call to it failed.
    #[display("{_0}")]
    Harness(HarnessError),
    /// A message cannot be encoded.
    #[display("{_0}")]
    Encode(rmp_serde::encode::Error),
    /// The output cannot be encoded as JSON.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A generated name is invalid.
    #[display("{_0}")]
    Name(NameError),
    /// A generated configuration fails its checks.
    #[display("{_0}")]
    Problems(Problems),
    /// A role depends on a cost that was not measured.
    #[display("{_0} was not measured")]
    #[from(ignore)]
    Missing(#[error(not(source))] Cost),
    /// A state machine did not take the decision that the measurement expects.
    #[display("the state machine did not {_0}")]
    #[from(ignore)]
    Decision(#[error(not(source))] &'static str),
}
