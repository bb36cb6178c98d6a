//! The port to the platform's store, which holds the operators' configuration and the endpoint
//! records.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{EndpointId, EndpointRecord, Plan};
pub use comfreyhaven_core::direct::{Section, StoreRevision};
use derive_more::{Display, Error};

/// One item that the store holds, or no longer holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The newest configuration.
    Plan(Box<Plan>),
    /// The record of an endpoint.
    Endpoint(EndpointRecord),
    /// The record of an endpoint was removed.
    EndpointRemoved(EndpointId),
    /// A data centre is closed (`true`) or in service again (`false`).
    Closed(Arc<str>, bool),
    /// An item that cannot be decoded. It is skipped.
    Unreadable {
        /// Key of the item.
        key: String,
        /// Why the item cannot be decoded.
        fault: String,
    },
}

/// The result of one call to the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The items of the section, or those that have changed.
    pub changes: Vec<Change>,
    /// Revision from which the next watch starts.
    pub revision: StoreRevision,
    /// Revision of the newest of these changes; zero if there are none.
    pub newest: StoreRevision,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The store no longer has the history since the given revision, because it has dropped it or was
    /// restored from a copy; the section must be read again.
    #[display("the store no longer has the history")]
    HistoryGone,
    /// The store answered with an unexpected status.
    #[display("the store answered {_0}")]
    Status(#[error(not(source))] u16),
    /// The store did not answer in time.
    #[display("no answer in time")]
    Timeout,
    /// The connection failed.
    #[display("the connection failed: {_0}")]
    Connection(#[error(not(source))] String),
    /// The answer cannot be decoded.
    #[display("the answer cannot be read: {_0}")]
    Unreadable(#[error(not(source))] String),
}

/// Reads the store and watches it for changes.
pub trait Store {
    /// Reads all items of a section, in one era of the store. The returned revision is that of the first page: the pages are
    /// not a consistent snapshot, and a watch from that revision returns what changed between them.
    fn read(&self, section: Section) -> impl Future<Output = Result<Page, StoreError>>;

    /// Waits for a change in a section after the revision `after`, for at most `wait`. In another era
    /// than that of `after`, the history is gone.
    fn watch(
        &self,
        section: Section,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>>;
}
