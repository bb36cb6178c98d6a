//! Status of entry hosts and endpoints according to the platform's host list.
//!
//! The list lags and may be unavailable. Only a status that it states has an effect: a host that is
//! missing from the list, or a list that cannot be read, changes nothing.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

#[cfg(test)]
mod tests;

/// Status of a host as the platform reports it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostStatus {
    /// The host is in operation.
    Live,
    /// The host is going to be removed.
    Leaving,
}

/// An item of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of an entry host or an endpoint.
    pub name: String,
    /// Status that the platform reports.
    pub status: HostStatus,
}

/// The last status reported for each host.
///
/// ```
/// use comfreyhaven_core::host_list::{HostList, HostStatus, ListedHost};
///
/// let mut hosts = HostList::default();
/// let item = ListedHost { name: "engine-1".to_owned(), status: HostStatus::Leaving };
/// assert!(hosts.observe(&[item]));
/// assert!(!hosts.observe(&[])); // A host missing from the list keeps its last status.
/// assert!(hosts.is_leaving("engine-1"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostList {
    leaving: BTreeSet<String>,
}

impl HostList {
    /// Applies a list that was read. Returns whether any status changed.
    pub fn observe(&mut self, items: &[ListedHost]) -> bool {
        let before = self.leaving.clone();
        for host in items {
            match host.status {
                HostStatus::Leaving => self.leaving.insert(host.name.clone()),
                HostStatus::Live => self.leaving.remove(&host.name),
            };
        }
        self.leaving != before
    }

    /// Returns whether the last reported status of a host is [`HostStatus::Leaving`].
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        self.leaving.contains(name)
    }
}
