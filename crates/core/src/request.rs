//! What is known of a request while it waits for an endpoint.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::id::{BootNonce, ReservationId};
use crate::idempotency::CallKey;
use crate::name::{HostName, RouteName, TeamName};

/// Rank of urgency. Zero is the most urgent and is shed last.
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
    /// Whether a request of this tier is shed only after every request of `other`.
    #[must_use]
    pub const fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}

/// Work that a request asks for, in tokens. A plain service's call costs one token of output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Largest number of tokens that the answer may have.
    pub output: u32,
}

impl Cost {
    /// Prompt and output together.
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

/// Digest of one block of a prompt together with every block before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PrefixDigest(pub u64);

/// Digest of a team and a request body, by which a body that crashes engines is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BodyDigest(pub u64);

/// A request's place in the queue of one agent. It carries no body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The request and its attempt.
    pub id: ReservationId,
    /// The entry that owns the request.
    pub entry: HostName,
    /// The process of that entry. Reservations of its predecessor are void.
    pub boot: BootNonce,
    /// The team whose key came with the request. Routes open to all share one team.
    pub team: TeamName,
    /// The route that the request matched.
    pub route: RouteName,
    /// Urgency.
    pub tier: Tier,
    /// Tokens asked for.
    pub cost: Cost,
    /// Time left until the answer is worthless, counted from arrival of this message.
    pub remaining: Duration,
    /// Prompt blocks, longest prefix last.
    pub prefixes: Vec<PrefixDigest>,
    /// Recognises the body.
    pub body: BodyDigest,
    /// Digest of the caller's idempotency key, if the call is bound to the key's home.
    pub call: Option<CallKey>,
    /// Whether it must run with nothing else at its endpoint.
    pub alone: bool,
}
