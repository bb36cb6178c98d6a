//! What is known of one endpoint.

use std::sync::Arc;
use std::time::Duration;

use super::super::curve::Curve;
use super::super::pace::Pace;
use super::super::plan::{EndpointId, Listing};
use super::super::tempo::Tempo;
use crate::time::Timestamp;

/// Time in which a share of failures fades to a third while nothing is sent.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);

/// Requests at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Prompt tokens that were sent and not read yet.
    pub pending: u64,
}

/// One endpoint.
#[derive(Debug)]
pub struct Candidate {
    pub(super) listing: Listing,
    /// Tells the starts under one name apart.
    pub(super) start: u64,
    pub(super) digest: u64,
    /// What this entry runs there.
    pub(super) own: Load,
    /// What its peers say they run there.
    pub(super) foreign: Load,
    pub(super) sends: Pace,
    /// When this entry last sent a request there.
    pub(super) sent: Timestamp,
    pub(super) cold: Timestamp,
    /// Until when it is used although it is no longer listed, or never if it is listed.
    pub(super) lapsed: Timestamp,
    /// Time to a first byte.
    pub(super) curve: Curve,
    /// Time between two events of one answer.
    pub(super) tempo: Tempo,
    pub(super) failures: f64,
    pub(super) strikes: u32,
    pub(super) suspect: Timestamp,
    /// The store's revision up to which the listing changed last, at its latest.
    pub(super) revision: u64,
}

impl Candidate {
    /// Notes in `changed` that the listing changed, at a revision that is not known yet.
    pub(super) fn mark(&mut self, changed: &mut Vec<EndpointId>) {
        self.revision = u64::MAX;
        changed.push(Arc::clone(&self.listing.id));
    }

    /// The listing.
    #[must_use]
    pub const fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Requests of all entries there.
    #[must_use]
    pub const fn load(&self) -> Load {
        Load {
            running: self.own.running + self.foreign.running,
            pending: self.own.pending + self.foreign.pending,
        }
    }

    /// What this entry runs there.
    #[must_use]
    pub const fn own(&self) -> Load {
        self.own
    }

    /// The learnt time to a first byte.
    #[must_use]
    pub const fn curve(&self) -> &Curve {
        &self.curve
    }

    /// The share of requests that failed there of late. It fades while nothing is sent there, so
    /// that the endpoint is tried again.
    #[must_use]
    pub fn failures(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.sent).as_secs_f64();
        self.failures * (-idle / FAILURE_MEMORY.as_secs_f64()).exp()
    }

    /// Whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold
    }

    /// Whether it is no longer listed.
    #[must_use]
    pub fn is_lapsed(&self) -> bool {
        self.lapsed < Timestamp::NEVER
    }

    /// Whether it may still be used.
    #[must_use]
    pub fn is_usable(&self, now: Timestamp) -> bool {
        !self.listing.leaving && now < self.lapsed
    }

    /// Whether new requests keep away from it for a while.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect
    }

    /// Time in which a prompt of `tokens` would have its first byte there, in milliseconds.
    #[must_use]
    pub fn first_byte(&self, tokens: u64) -> f64 {
        self.curve.at((self.load().pending + tokens) as f64)
    }

    /// Time in which an answer of `events` events comes, in milliseconds.
    #[must_use]
    pub fn streaming(&self, events: f64) -> f64 {
        self.tempo.millis() * events
    }

    /// Time in which a prompt of `tokens` would have its first byte there if nothing else ran.
    #[must_use]
    pub fn idle_byte(&self, tokens: u64) -> f64 {
        self.curve.at(tokens as f64)
    }

    /// Time for which reading what is pending and `tokens` more holds other answers up, in
    /// milliseconds.
    #[must_use]
    pub fn reading(&self, tokens: u64) -> f64 {
        self.curve.slope() * (self.load().pending + tokens) as f64
    }

    /// Requests that this entry sent there in the last second.
    pub fn recent(&mut self, now: Timestamp) -> usize {
        self.sends.recent(now)
    }
}
