//! Keys of teams.

use comfreyhaven_core::KeyDigest;
use rand::RngCore;
use serde::Serialize;

/// Random bytes of a key.
const KEY_BYTES: usize = 32;

/// First letters of every key, by which scanners for leaked secrets know it.
const PREFIX: &str = "cfh_";

/// A key that was just made.
#[derive(Clone, Serialize)]
pub struct NewKey {
    /// What the team's callers send. It is kept nowhere.
    pub key: String,
    /// What is published, in hexadecimal digits.
    pub digest: String,
}

/// Makes a key from the system's randomness.
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
