//! Properties of a request that are known while it waits for an endpoint.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{BootNonce, ReservationId};
use crate::idempotency::CallKey;
use crate::name::{HostName, RouteName, TeamName};

/// Priority level. Zero is the most urgent and is shed last.
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
pub struct Tier(pub u8);

impl Tier {
    /// Returns whether a request of this tier is shed only after every request of `other`.
    #[must_use]
    pub const fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}

/// Work requested, in tokens. A call to a plain service costs one token of output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of tokens allowed in the answer.
    pub output: u32,
}

impl Cost {
    /// Returns the sum of prompt and output tokens.
    ///
    /// ```
    /// use comfreyhaven_core::Cost;
    /// assert_eq!(Cost { prompt: 30, output: 12 }.total(), 42);
    /// ```
    #[must_use]
    pub const fn total(self) -> u64 {
        self.prompt as u64 + self.output as u64
    }
}

/// Digest of one block of a prompt and all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PrefixDigest(pub u64);

/// Digest of a team and a request body, used to recognise a body that crashes engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BodyDigest(pub u64);

/// Digest of the id of one part of a prompt. Requests share parts, such as instructions or documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartDigest(pub u64);

/// A request's position in the queue of one agent. It carries no body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The request and its attempt.
    pub id: ReservationId,
    /// The entry that owns the request.
    pub entry: HostName,
    /// The process of that entry. Reservations of its earlier processes are void.
    pub boot: BootNonce,
    /// The team whose key came with the request. All requests of open routes share one team.
    pub team: TeamName,
    /// The route that the request matched.
    pub route: RouteName,
    /// Priority of the request.
    pub tier: Tier,
    /// Tokens requested.
    pub cost: Cost,
    /// Time until the answer becomes useless, counted from the arrival of this message.
    pub remaining: Duration,
    /// Digests of prompt blocks in order, so that the longest prefix is last.
    pub prefixes: Vec<PrefixDigest>,
    /// Digest of the team and the body, by which a body that crashes engines is recognised.
    pub body: BodyDigest,
    /// Digest of the caller's idempotency key, if the call may run only at the key's owner.
    pub call: Option<CallKey>,
    /// Whether the request must run with no other request at its endpoint.
    pub alone: bool,
}
