//! Read access to the platform's configuration service and host list.

mod http;

use std::future::Future;

use derive_more::{Display, Error, From};

pub use comfreyhaven_core::config_sync::Index;
pub use comfreyhaven_core::host_list::{HostStatus, ListedHost};
pub use http::{HttpConfiguration, HttpHostList};

use crate::dial::DialError;

/// A failed call to the platform.
#[derive(Debug, Display, Error, From)]
pub enum PlatformError {
    /// The connection could not be opened.
    Dial(DialError),
    /// The connection failed during the call.
    #[display("the connection failed during the call: {_0}")]
    Http(hyper::Error),
    /// The platform answered with an unexpected status.
    #[display("the platform answered with status {_0}")]
    #[from(ignore)]
    Status(#[error(not(source))] u16),
    /// The answer is not the expected JSON.
    #[display("the answer cannot be decoded: {_0}")]
    Decode(serde_json::Error),
    /// The answer is not UTF-8 text, is incomplete or exceeds the size limit of a document.
    #[display("the answer is not UTF-8 text, is incomplete or exceeds the document size limit")]
    #[from(ignore)]
    Text,
    /// The platform did not answer within the time limit of the call.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

/// Access to the published values of the configuration service.
pub trait ConfigurationSource: Send + Sync + 'static {
    /// Waits until the revision differs from `known`, or until the service's own time limit.
    fn watch(&self, known: u64) -> impl Future<Output = Result<Index, PlatformError>> + Send;
    /// Reads the text of a value, or `None` if it does not exist.
    fn read(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<String>, PlatformError>> + Send;
}

/// Access to the platform's host list, which may be out of date.
pub trait HostListSource: Send + Sync + 'static {
    /// Reads the current list.
    fn list(&self) -> impl Future<Output = Result<Vec<ListedHost>, PlatformError>> + Send;
}
