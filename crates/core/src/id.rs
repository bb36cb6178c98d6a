//! Identifiers of requests, processes, offers, configurations and keys.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Error for a text that is not the hexadecimal form of an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{text:?} is not {expected} hexadecimal digits")]
pub struct IdError {
    text: String,
    expected: usize,
}

/// Identifies one request of a caller throughout its life. The entry draws it at random.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct RequestId(u128);

impl RequestId {
    /// Creates an identifier from a random number.
    #[must_use]
    pub const fn new(random: u128) -> Self {
        Self(random)
    }
}

impl FromStr for RequestId {
    type Err = IdError;
    fn from_str(text: &str) -> Result<Self, IdError> {
        match u128::from_str_radix(text, 16) {
            Ok(id) if text.len() == 32 => Ok(Self(id)),
            _ => Err(IdError {
                text: text.to_owned(),
                expected: 32,
            }),
        }
    }
}

/// One attempt to bind a request to an endpoint: the request and a counter that its entry
/// increments whenever it places new reservations.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{request}/{attempt}")]
pub struct ReservationId {
    /// The request to be bound.
    pub request: RequestId,
    /// Number of the attempt, from zero.
    pub attempt: u32,
}

/// Random number drawn at the start of a process, which distinguishes it from earlier processes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct BootNonce(u64);

impl BootNonce {
    /// Creates a nonce from a random number.
    #[must_use]
    pub const fn new(random: u64) -> Self {
        Self(random)
    }
}

/// Identifies one offer of a free slot. Only the agent process that made it can honour it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{boot}-{sequence}")]
pub struct OfferId {
    /// The agent process that made the offer.
    pub boot: BootNonce,
    /// Number of the offer among those of that process.
    pub sequence: u64,
}

/// Number that orders the versions of one published document. A process accepts only higher ones.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Generation(pub u64);

/// SHA-256 digest of a caller's key. The key itself is never stored or forwarded.
///
/// ```
/// use comfreyhaven_core::KeyDigest;
///
/// let digest = KeyDigest::of_key("secret");
/// let parsed: KeyDigest = digest.to_string().parse().unwrap();
/// assert_eq!(parsed, digest);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as the caller sends it.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl std::fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = IdError;
    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut bytes = [0; 32];
        match hex::decode_to_slice(text, &mut bytes) {
            Ok(()) => Ok(Self(bytes)),
            Err(_) => Err(IdError {
                text: text.to_owned(),
                expected: 64,
            }),
        }
    }
}
