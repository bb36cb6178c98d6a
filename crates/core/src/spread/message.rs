//! What the spread of configuration is told, and what it decides.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::version::{Version, Versions};

/// The revision of each value that the configuration service holds, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// Revision of the whole; it changes with each value.
    pub revision: u64,
    /// Revision of each value.
    pub values: BTreeMap<String, u64>,
}

/// What became of a text that was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force or waits for other documents, or a newer one does.
    Known(Version),
    /// It fails its checks and is kept out.
    Faulty(Version),
    /// There is no such text, or it is no document.
    Missing,
    /// The call failed.
    Failed,
}

/// Something to decide on. Each action that asks for something is answered by one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The control addresses of every declared process, this one included.
    Declared(Vec<SocketAddr>),
    /// A peer answered [`Action::Exchange`] with what it has.
    Answered {
        /// The peer.
        peer: SocketAddr,
        /// What it has.
        versions: Versions,
    },
    /// A peer could not be asked.
    Unreachable(SocketAddr),
    /// A peer called by itself and told what it has.
    Called {
        /// The peer.
        peer: SocketAddr,
        /// What it has.
        versions: Versions,
    },
    /// The result of [`Action::Fetch`].
    Fetched {
        /// The document.
        name: String,
        /// What became of it.
        outcome: Outcome,
    },
    /// The configuration service answered a watch.
    Indexed(Index),
    /// The configuration service did not answer a watch.
    ServiceDown,
    /// The result of [`Action::Read`].
    Read {
        /// The document.
        name: String,
        /// What became of it.
        outcome: Outcome,
    },
    /// The process was paused and may have missed anything.
    Paused,
    /// The time asked for by [`Spread::wake`](super::Spread::wake) has come.
    Tick,
}

/// Something that the process must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Tell a peer what this process has and learn what the peer has.
    Exchange(SocketAddr),
    /// Get a document from a peer.
    Fetch {
        /// The peer.
        peer: SocketAddr,
        /// The document.
        name: String,
    },
    /// Ask the configuration service for its index, once it differs from a revision.
    Watch {
        /// The revision, or zero for an answer at once.
        known: u64,
    },
    /// Read a document from the configuration service.
    Read {
        /// The document.
        name: String,
    },
    /// The configuration was compared with peers, or need not wait for them longer.
    Confirmed,
}
