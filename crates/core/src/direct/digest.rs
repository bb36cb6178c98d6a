//! Digests of names and addresses in messages between entries.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns a digest that identifies a name or an address in reports between entries of one version.
#[must_use]
pub fn digest<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
