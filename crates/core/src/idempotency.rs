//! Idempotency keys of callers: a call that may not be repeated runs once, also when its caller
//! sends it again through another entry.
//!
//! Each key has one home: the endpoint that a rendezvous hash picks among those that the
//! configuration holds eligible. Only the home runs a call with that key, and it remembers keys. It
//! refuses a key that it does not know for twice the route's resend window after its start, and after
//! any change that made it the key's home, since an earlier process or home may have run it.

use std::hash::{DefaultHasher, Hash, Hasher};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

mod memory;
#[cfg(test)]
mod tests;

pub use memory::{KeyMemory, KeyUse};

use crate::fleet::{Fleet, Service};
use crate::name::{EndpointName, RouteName};

/// Digest of a team, a route and the idempotency key that the team's caller sent.
///
/// ```
/// use comfreyhaven_core::idempotency::CallKey;
/// use comfreyhaven_core::RouteName;
///
/// let route = RouteName::new("orders").unwrap();
/// let key = CallKey::new("kakheti", &route, b"booking-17");
/// assert_eq!(key, CallKey::new("kakheti", &route, b"booking-17"));
/// assert_ne!(key, CallKey::new("imereti", &route, b"booking-17"));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0:032x}")]
pub struct CallKey(u128);

impl CallKey {
    /// The digest of a key as the caller sent it.
    #[must_use]
    pub fn new(team: &str, route: &RouteName, key: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [team.as_bytes(), route.as_str().as_bytes(), key] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let (half, _) = digest.split_at(16);
        Self(
            half.iter()
                .fold(0, |all, byte| all << 8 | u128::from(*byte)),
        )
    }
}

/// The endpoint that alone may run a call with a key.
#[must_use]
pub fn home<'a>(fleet: &'a Fleet, route: &RouteName, key: CallKey) -> Option<&'a EndpointName> {
    pick(fleet.eligible(route).map(|endpoint| &endpoint.name), key)
}

fn pick<'a>(
    names: impl Iterator<Item = &'a EndpointName>,
    key: CallKey,
) -> Option<&'a EndpointName> {
    names.max_by_key(|name| (weight(name, key), *name))
}

/// Whether calls of a route are bound to the homes of their keys. A service that declares its calls
/// idempotent sees to repeated ones itself.
#[must_use]
pub fn is_homed(fleet: &Fleet, route: &RouteName) -> bool {
    let service = fleet.routes.get(route).map(|route| &route.service);
    matches!(
        service,
        Some(Service::Plain {
            idempotent: false,
            ..
        })
    )
}

/// Every process of one version computes the same weight, since the hasher has fixed keys.
fn weight(endpoint: &EndpointName, key: CallKey) -> u64 {
    let mut hasher = DefaultHasher::new();
    (endpoint, key).hash(&mut hasher);
    hasher.finish()
}
