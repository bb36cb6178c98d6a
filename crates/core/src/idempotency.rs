//! Idempotency keys of callers. A call that must not be executed twice runs once, even if its
//! caller resends it through another entry.
//!
//! Each key has one owner: the endpoint that a rendezvous hash picks among those that the
//! configuration declares eligible. Only the owner's agent runs a call with that key, and it
//! remembers the keys it has seen. It rejects an unknown key for twice the route's resend window
//! after its start, and after any change that made its endpoint the key's owner, since an earlier
//! process or owner may have run the call.

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

/// Digest of a team, a route and the idempotency key sent by the team's caller.
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
    /// Computes the digest of a key as the caller sent it.
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
                .fold(0, |digest, byte| digest << 8 | u128::from(*byte)),
        )
    }
}

/// Returns the only endpoint that may run a call with the key, or `None` if no endpoint is
/// eligible.
#[must_use]
pub fn owner<'a>(fleet: &'a Fleet, route: &RouteName, key: CallKey) -> Option<&'a EndpointName> {
    pick_owner(fleet.eligible(route).map(|endpoint| &endpoint.name), key)
}

fn pick_owner<'a>(
    names: impl Iterator<Item = &'a EndpointName>,
    key: CallKey,
) -> Option<&'a EndpointName> {
    names.max_by_key(|name| (weight(name, key), *name))
}

/// Returns whether calls of a route may run only at the owners of their keys. A service that
/// declares its calls idempotent handles repeated calls itself.
#[must_use]
pub fn is_owner_bound(fleet: &Fleet, route: &RouteName) -> bool {
    let service = fleet.routes.get(route).map(|route| &route.service);
    matches!(
        service,
        Some(Service::Plain {
            idempotent: false,
            ..
        })
    )
}

/// Rendezvous hash weight. All processes of one version compute the same weight, since the hasher
/// has fixed keys.
fn weight(endpoint: &EndpointName, key: CallKey) -> u64 {
    let mut hasher = DefaultHasher::new();
    (endpoint, key).hash(&mut hasher);
    hasher.finish()
}
