//! Position in the history of the platform's store.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A revision of the store, ordered by era first.
///
/// A store that is restored from a copy starts a new era: its revisions go back to that of the copy
/// and are assigned again. Revisions of different eras therefore do not compare by their numbers.
///
/// ```
/// use comfreyhaven_core::direct::StoreRevision;
///
/// assert!(StoreRevision::new(1, 40) > StoreRevision::new(0, 90));
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{era}.{revision}")]
pub struct StoreRevision {
    /// Number of times that the store was restored.
    pub era: u64,
    /// Number of the change within its era.
    pub revision: u64,
}

impl StoreRevision {
    /// Later than any revision of the store.
    pub(super) const LAST: Self = Self::new(u64::MAX, u64::MAX);

    /// Creates the position of a revision within an era.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns whether nothing of the store is known.
    #[must_use]
    pub fn is_unknown(self) -> bool {
        self == Self::default()
    }
}
