//! Whose load and statements a report holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Which entries a report speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The reporter alone.
    Entry,
    /// All entries in the reporter's data centre, including the reporter.
    Centre,
    /// All entries except the recipient.
    Fleet,
}

/// The entries whose load one report holds. A newer report replaces an older one of its source.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// One entry.
    Entry(SocketAddr),
    /// All entries of the data centre whose name has this digest.
    Centre(u64),
    /// All other entries.
    Fleet,
}

impl Source {
    /// Returns whether a report of the given scope speaks for this source too, besides the reporter.
    #[must_use]
    pub const fn is_within(&self, scope: Scope) -> bool {
        match self {
            Self::Entry(_) => !matches!(scope, Scope::Entry),
            Self::Centre(_) => matches!(scope, Scope::Fleet),
            Self::Fleet => false,
        }
    }
}
