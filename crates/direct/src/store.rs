//! The port to the platform's store, which holds what operators publish and which endpoints there are.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

pub use comfreyhaven_core::direct::Section;
use comfreyhaven_core::direct::{EndpointId, EndpointRecord, Plan};
use derive_more::{Display, Error};

/// One thing that the store holds, or no longer holds.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The newest configuration.
    Plan(Box<Plan>),
    /// An endpoint.
    Listed(EndpointRecord),
    /// An endpoint is no longer listed.
    Gone(EndpointId),
    /// A data centre is taken out, or back.
    Closed(Arc<str>, bool),
    /// An entry that cannot be read names nothing to use.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
}

/// What one call to the store gave.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// What it holds, or what has changed.
    pub changes: Vec<Change>,
    /// From which revision to watch on.
    pub revision: u64,
    /// The revision of the newest change among these, or 0.
    pub changed: u64,
}

/// Why a call to the store gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The history since the given revision is gone; everything has to be read again.
    #[display("the history is gone")]
    HistoryGone,
    /// The store answered with another status.
    #[display("the store answered {_0}")]
    Status(#[error(not(source))] u16),
    /// The store did not answer in time.
    #[display("no answer in time")]
    Timeout,
    /// The connection failed.
    #[display("the connection failed: {_0}")]
    Connection(#[error(not(source))] String),
    /// The answer cannot be read.
    #[display("the answer cannot be read: {_0}")]
    Unreadable(#[error(not(source))] String),
}

/// Reads the store and waits for changes of it.
pub trait Store {
    /// Reads everything in a section. The revision is that of the first page: the pages are no
    /// snapshot, and what changed meanwhile is seen again by watching from there.
    fn read(&self, section: Section) -> impl Future<Output = Result<Page, StoreError>>;

    /// Waits until something in a section has changed after a revision, for `wait` at most.
    fn watch(
        &self,
        section: Section,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>>;
}
