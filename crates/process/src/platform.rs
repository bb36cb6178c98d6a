//! The platform as a process sees it: a configuration service and a host list, both read only.

mod http;

use std::future::Future;

use derive_more::{Display, Error, From};

pub use comfreyhaven_core::config_sync::Index;
pub use comfreyhaven_core::host_list::{HostStatus, ListedHost};
pub use http::{HttpConfiguration, HttpHostList};

use crate::dial::DialError;

/// A call to the platform that failed.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The platform cannot be reached.
    Dial(DialError),
    /// The call broke off.
    #[display("the call broke off: {_0}")]
    Http(hyper::Error),
    /// The platform answered with an error.
    #[display("the platform answered with status {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] u16),
    /// The answer cannot be read.
    #[display("the answer cannot be read: {_0}")]
    Decode(serde_json::Error),
    /// The answer is no text or over its limit.
    #[display("the answer is no text, or longer than a document may be")]
    #[from(ignore)]
    Text,
    /// No answer in time.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

/// Reads and watches published values.
pub trait ConfigurationSource: Send + Sync + 'static {
    /// Answers once the revision is another than `known`, or after the service's own time limit.
    fn watch(&self, known: u64) -> impl Future<Output = Result<Index, PlatformError>> + Send;
    /// The text of a value, or `None` if there is none.
    fn read(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<String>, PlatformError>> + Send;
}

/// Reads the list of hosts, which lags.
pub trait HostListSource: Send + Sync + 'static {
    /// The list as it stands.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}
