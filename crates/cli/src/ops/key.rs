//! Generates the keys by which teams authenticate.

use comfreyhaven_core::KeyDigest;
use rand::RngCore;
use serde::Serialize;

/// Length of the random part of a key, in bytes.
const KEY_BYTES: usize = 32;

/// Prefix of every key, which lets scanners for leaked secrets recognise it.
const PREFIX: &str = "cfh_";

/// A newly generated key.
#[derive(Clone, Serialize)]
pub struct NewKey {
    /// The key that the team's callers send. It is not stored anywhere.
    pub key: String,
    /// The digest to publish, in hexadecimal digits.
    pub digest: String,
}

/// Generates a key with a cryptographically secure random generator that the system seeds.
///
/// ```
/// use comfreyhaven_core::KeyDigest;
///
/// let key = comfreyhaven_cli::ops::key::new();
/// assert_eq!(KeyDigest::of_key(&key.key).to_string(), key.digest);
/// ```
#[must_use]
pub fn new() -> NewKey {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let key = format!("{PREFIX}{}", hex::encode(bytes));
    let digest = KeyDigest::of_key(&key).to_string();
    NewKey { key, digest }
}
