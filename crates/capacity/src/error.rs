//! Why a measurement fails.

use comfreyhaven_config::Problems;
use comfreyhaven_core::name::NameError;
use comfreyhaven_harness::HarnessError;
use comfreyhaven_process::dial::DialError;
use derive_more::{Display, Error, From};

use crate::series::Cost;

/// A measurement that cannot be made.
#[derive(Debug, Display, Error, From)]
pub enum CapacityError {
    /// A file of the system cannot be read, or a socket fails.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A connection cannot be opened.
    #[display("{_0}")]
    Dial(DialError),
    /// A call fails.
    #[display("{_0}")]
    Call(tarpc::client::RpcError),
    /// A deployment cannot be started.
    #[display("{_0}")]
    Harness(HarnessError),
    /// A message cannot be encoded.
    #[display("{_0}")]
    Encode(rmp_serde::encode::Error),
    /// Output cannot be encoded.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// A generated name is refused.
    #[display("{_0}")]
    Name(NameError),
    /// A generated configuration is refused.
    #[display("{_0}")]
    Problems(Problems),
    /// The roles need a cost that was not measured.
    #[display("{_0} was not measured")]
    #[from(ignore)]
    Missing(#[error(not(source))] Cost),
    /// A machine did not decide what the measurement expects.
    #[display("the state machine did not {_0}")]
    #[from(ignore)]
    Decision(#[error(not(source))] &'static str),
}
