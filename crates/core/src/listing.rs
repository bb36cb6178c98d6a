//! What the platform's host list says of entry hosts and endpoints.
//!
//! The list lags and may be down. Only its explicit words count: a host that it no longer names, or
//! a list that cannot be read, changes nothing.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

#[cfg(test)]
mod tests;

/// What the platform says of a host.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostStatus {
    /// The host runs.
    Live,
    /// The host will be taken away.
    Leaving,
}

/// One line of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of an entry host or an endpoint.
    pub name: String,
    /// What the platform says of it.
    pub status: HostStatus,
}

/// The last word on each host.
///
/// ```
/// use comfreyhaven_core::listing::{HostStatus, ListedHost, Listing};
///
/// let mut listing = Listing::default();
/// let line = ListedHost { name: "engine-1".to_owned(), status: HostStatus::Leaving };
/// assert!(listing.observe(&[line]));
/// assert!(!listing.observe(&[])); // Not listed: the last word stands.
/// assert!(listing.is_leaving("engine-1"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    leaving: BTreeSet<String>,
}

impl Listing {
    /// Takes a list that was read. Tells whether it changed anything.
    pub fn observe(&mut self, list: &[ListedHost]) -> bool {
        let before = self.leaving.clone();
        for host in list {
            match host.status {
                HostStatus::Leaving => self.leaving.insert(host.name.clone()),
                HostStatus::Live => self.leaving.remove(&host.name),
            };
        }
        self.leaving != before
    }

    /// Whether the last word on a host was that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.leaving.contains(name)
    }
}
