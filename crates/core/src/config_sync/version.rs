//! Versions of published documents and their order.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::Generation;

/// The version of a document. If two texts state the same generation, as when two operators publish
/// at once, every process takes the one with the higher digest as newer.
///
/// ```
/// use comfreyhaven_core::Generation;
/// use comfreyhaven_core::config_sync::Version;
///
/// let first = Version::new(Generation(1), "one text");
/// let second = Version::new(Generation(2), "another");
/// assert!(first < second);
/// assert_ne!(first, Version::new(Generation(1), "another"));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{generation}-{digest:016x}")]
pub struct Version {
    /// The generation that the document states.
    pub generation: Generation,
    /// First eight bytes of the SHA-256 digest of the text, big-endian.
    pub digest: u64,
}

impl Version {
    /// Returns the version of a text that states the given generation.
    #[must_use]
    pub fn new(generation: Generation, text: &str) -> Self {
        let bytes: [u8; 32] = Sha256::digest(text.as_bytes()).into();
        let [a, b, c, d, e, f, g, h, ..] = bytes;
        Self {
            generation,
            digest: u64::from_be_bytes([a, b, c, d, e, f, g, h]),
        }
    }

    /// Returns whether the versions are of different texts that state the same generation.
    #[must_use]
    pub fn conflicts(self, other: Self) -> bool {
        self.generation == other.generation && self.digest != other.digest
    }
}

/// Versions of documents by document name.
pub type Versions = BTreeMap<String, Version>;
