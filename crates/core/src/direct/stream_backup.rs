//! Decides which streams get a copy of their memory at another endpoint, and at which.
//!
//! Answers the load of long, urgent streams that may run only once, while endpoints crash.

use std::sync::Arc;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::plan::{EndpointId, EndpointRecord};

/// The rank whose streams get copies.
const RANK: u8 = 0;

/// How endpoints of a service keep copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackupPlan {
    /// Tokens that fit into an endpoint's memory.
    pub memory_tokens: u64,
}

/// A stream that is about to be sent to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct BackupRequest<'a> {
    /// Urgency of its route; zero is the most urgent.
    pub rank: u8,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Expected number of tokens of the answer.
    pub length: u64,
    /// The endpoint that runs it.
    pub record: &'a EndpointRecord,
}

impl BackupRequest<'_> {
    /// Returns whether the stream is worth the bytes of a copy: it is urgent, and is expected to have
    /// at least `tokens` tokens.
    #[must_use]
    pub const fn is_worth_copy(&self, tokens: u64) -> bool {
        self.rank == RANK && self.length >= tokens
    }

    /// Returns whether an endpoint may keep the copy, if it is available: it is another one of the same
    /// build, and its memory holds its slots full of such runs and as many copies.
    #[must_use]
    pub fn may_keep(&self, plan: BackupPlan, place: &EndpointRecord) -> bool {
        let tokens = self.prompt + self.length;
        let filled = 2 * u64::from(place.slots) * tokens;
        place.id != self.record.id
            && place.service == self.record.service
            && place.build == self.record.build
            && filled <= plan.memory_tokens
    }

    /// Draws the endpoint that keeps the copy from `places`, in another data centre if there is one.
    pub fn choose(&self, places: &[&EndpointRecord], random: &mut impl Rng) -> Option<EndpointId> {
        let is_remote = |place: &&&EndpointRecord| place.centre != self.record.centre;
        let remote: Vec<_> = places.iter().filter(is_remote).collect();
        let all: Vec<_> = places.iter().collect();
        let drawn = if remote.is_empty() { all } else { remote };
        if drawn.is_empty() {
            return None;
        }
        let index = random.random_range(0..drawn.len());
        Some(Arc::clone(&drawn[index].id))
    }
}
