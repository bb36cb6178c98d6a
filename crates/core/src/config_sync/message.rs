//! Events that the synchronization of configuration handles, and the actions that it returns.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::version::{Version, Versions};

/// Revisions of the values that the configuration service holds, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Revision of the whole index. It changes with each value.
    pub revision: u64,
    /// Revision of each value, by the name of the value.
    pub values: BTreeMap<String, u64>,
}

/// Result of a request for a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The document, or a newer version of it, is in force or waits for other documents.
    Known(Version),
    /// The document fails its checks.
    Rejected(Version),
    /// The source has no such text, or the text is not a document.
    Missing,
    /// The call failed.
    Failed,
}

/// Input of the state machine. Each action that requests something is answered by one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Control addresses of all declared processes, including this one.
    Declared(Vec<SocketAddr>),
    /// A peer answered [`Action::Exchange`] with its versions.
    Answered {
        /// Control address of the peer.
        peer: SocketAddr,
        /// Versions that the peer has.
        versions: Versions,
    },
    /// The exchange with a peer failed.
    Unreachable(SocketAddr),
    /// A peer started an exchange and sent its versions.
    Called {
        /// Control address of the peer.
        peer: SocketAddr,
        /// Versions that the peer has.
        versions: Versions,
    },
    /// The result of [`Action::Fetch`].
    Fetched {
        /// Name of the document.
        name: String,
        /// Result of the request.
        outcome: Outcome,
    },
    /// The configuration service answered a watch.
    Indexed(Index),
    /// The configuration service did not answer a watch.
    ServiceDown,
    /// The result of [`Action::Read`].
    Read {
        /// Name of the document.
        name: String,
        /// Result of the request.
        outcome: Outcome,
    },
    /// The process was suspended and may have missed changes.
    Suspended,
    /// The time returned by [`ConfigSync::wake`](super::ConfigSync::wake) has come.
    Tick,
}

/// Output of the state machine, which the process carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Exchange versions with a peer.
    Exchange(SocketAddr),
    /// Fetch a document from a peer.
    Fetch {
        /// Control address of the peer.
        peer: SocketAddr,
        /// Name of the document.
        name: String,
    },
    /// Request the index of the configuration service, once its revision differs from a known one.
    Watch {
        /// Known revision, or zero for an immediate answer.
        known: u64,
    },
    /// Read a document from the configuration service.
    Read {
        /// Name of the document.
        name: String,
    },
    /// The configuration was compared with peers, or the wait for them has timed out.
    Confirmed,
}
