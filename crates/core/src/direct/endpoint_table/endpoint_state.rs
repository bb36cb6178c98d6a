//! State of one endpoint.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::super::event_interval::EventInterval;
use super::super::freed_slots::FreedSlots;
use super::super::latency_model::LatencyModel;
use super::super::members::Members;
use super::super::plan::{EndpointId, EndpointRecord};
use super::super::report::Incarnation;
use super::super::send_window::SendWindow;
use super::super::store_revision::StoreRevision;
use super::availability::Availability;
use crate::time::Timestamp;

/// Time constant with which the failure rate decays while nothing is sent.
const FAILURE_DECAY_TIME: Duration = Duration::from_secs(3);

/// Load of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Prompt tokens that were sent and are not processed yet.
    pub pending: u64,
    /// Tokens that the running requests may hold in the endpoint's memory, if they are counted.
    pub held: u64,
}

/// State of one endpoint.
#[derive(Debug)]
pub struct EndpointState {
    pub(super) record: EndpointRecord,
    /// Distinguishes the incarnations under one id.
    pub(super) incarnation: u64,
    pub(super) digest: u64,
    /// Load from this entry.
    pub(super) own: Load,
    /// Load that peers reported.
    pub(super) peers: Load,
    pub(super) sends: SendWindow,
    /// Requests that count as this entry's part of the endpoint's limit: those that it sent, without
    /// borrowed ones, and those that it lent.
    pub(super) charged: SendWindow,
    /// This entry's rank for the endpoint, and the generation of the members for which it was
    /// computed.
    pub(super) rank: Cell<Option<(u64, usize)>>,
    /// The entries that have a part of the endpoint's limit, and the generation of the members for
    /// which they were computed.
    pub(super) lenders: RefCell<Option<(u64, Arc<[SocketAddr]>)>>,
    /// Time at which this entry last sent a request to the endpoint.
    pub(super) last_sent: Timestamp,
    pub(super) cold_until: Timestamp,
    /// Time until which an unlisted endpoint is used; never, if the endpoint is listed.
    pub(super) expires: Timestamp,
    /// Model of the time to first byte.
    pub(super) latency: LatencyModel,
    /// Time between two events of one answer.
    pub(super) event_interval: EventInterval,
    pub(super) failure_rate: f64,
    pub(super) backoffs: u32,
    pub(super) avoided_until: Timestamp,
    pub(super) full_until: Timestamp,
    /// Slots that this entry knows to be free.
    pub(super) freed: FreedSlots,
    /// What the endpoint has said of itself.
    pub(super) availability: Availability,
    /// Revision of the store at which the record changed last, or a later one.
    pub(super) revision: StoreRevision,
}

impl EndpointState {
    /// Adds the endpoint to `changed`; the revision of the change is not known yet.
    pub(super) fn mark_changed(&mut self, changed: &mut Vec<EndpointId>) {
        self.revision = StoreRevision::LAST;
        changed.push(Arc::clone(&self.record.id));
    }

    /// Returns the revision of the store at which the record changed last, or a later one.
    pub(in crate::direct) const fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the endpoint's record.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns the load from all entries.
    #[must_use]
    pub const fn load(&self) -> Load {
        Load {
            running: self.own.running + self.peers.running,
            pending: self.own.pending + self.peers.pending,
            held: self.own.held + self.peers.held,
        }
    }

    /// Returns the load from this entry.
    #[must_use]
    pub const fn own(&self) -> Load {
        self.own
    }

    /// Returns the model of the time to first byte.
    #[must_use]
    pub const fn latency(&self) -> &LatencyModel {
        &self.latency
    }

    /// Returns the average failure rate of recent requests. It decays while nothing is sent, so
    /// that the endpoint is tried again.
    #[must_use]
    pub fn failure_rate(&self, now: Timestamp) -> f64 {
        let idle = now.since(self.last_sent).as_secs_f64();
        self.failure_rate * (-idle / FAILURE_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns whether the endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Returns whether the endpoint is no longer listed.
    #[must_use]
    pub fn is_unlisted(&self) -> bool {
        self.expires < Timestamp::NEVER
    }

    /// Returns what the endpoint has said of itself.
    #[must_use]
    pub const fn availability(&self) -> &Availability {
        &self.availability
    }

    /// Returns whether the store lists the endpoint for use: it is not leaving there, and if unlisted
    /// has not expired.
    #[must_use]
    pub fn is_listed_for_use(&self, now: Timestamp) -> bool {
        !self.record.leaving && now < self.expires
    }

    /// Returns whether the endpoint may be used, according to the store and by its own word.
    #[must_use]
    pub fn is_usable(&self, now: Timestamp) -> bool {
        self.is_listed_for_use(now) && self.availability.takes_requests(now)
    }

    /// Returns whether new requests avoid the endpoint during its backoff.
    #[must_use]
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoided_until
    }

    /// Returns whether the endpoint had no slot to reserve a moment ago.
    #[must_use]
    pub fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }

    /// Returns the slots that this entry knows to be free.
    #[must_use]
    pub const fn freed(&self) -> &FreedSlots {
        &self.freed
    }

    /// Returns the expected time to first byte for a prompt of `tokens` behind the pending ones, in
    /// milliseconds.
    #[must_use]
    pub fn first_byte_ms(&self, tokens: u64) -> f64 {
        self.latency.estimate((self.load().pending + tokens) as f64)
    }

    /// Returns the expected time for an answer of `events` events, in milliseconds.
    #[must_use]
    pub fn stream_ms(&self, events: f64) -> f64 {
        self.event_interval.millis() * events
    }

    /// Returns the expected time to first byte for a prompt of `tokens` if the endpoint were idle,
    /// in milliseconds.
    #[must_use]
    pub fn idle_first_byte_ms(&self, tokens: u64) -> f64 {
        self.latency.estimate(tokens as f64)
    }

    /// Returns the time for which the prefill of the pending tokens and `tokens` more would delay
    /// running answers, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        self.latency.slope() * (self.load().pending + tokens) as f64
    }

    /// Returns the digest of the endpoint's id.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns this entry's rank for the endpoint among `members`. It is computed once for each set
    /// of members.
    pub(in crate::direct) fn rank(&self, members: &Members) -> usize {
        let generation = members.generation();
        if let Some((computed, rank)) = self.rank.get()
            && computed == generation
        {
            return rank;
        }
        let rank = members.rank_for(self.digest);
        self.rank.set(Some((generation, rank)));
        rank
    }

    /// Returns the first `count` entries for the endpoint, which may include this one. They are
    /// determined once for each set of members.
    pub(in crate::direct) fn lenders(&self, members: &Members, count: usize) -> Arc<[SocketAddr]> {
        let generation = members.generation();
        let mut known = self.lenders.borrow_mut();
        match &*known {
            Some((computed, lenders)) if *computed == generation => Arc::clone(lenders),
            _ => {
                let lenders: Arc<[SocketAddr]> = members.first_entries(self.digest, count).into();
                *known = Some((generation, Arc::clone(&lenders)));
                lenders
            }
        }
    }

    /// Returns what identifies the endpoint's incarnation in messages between entries.
    pub(in crate::direct) const fn incarnation(&self) -> Incarnation {
        (self.digest, self.record.started_ms)
    }

    /// Returns the requests that count as this entry's part of the endpoint's limit.
    pub(in crate::direct) const fn charged(&self) -> &SendWindow {
        &self.charged
    }

    /// Counts a request as part of this entry's part of the endpoint's limit.
    pub(in crate::direct) fn charge(&mut self, now: Timestamp) {
        self.charged.record(now);
    }

    /// Returns the requests that this entry has sent to the endpoint.
    pub(in crate::direct) const fn sends(&self) -> &SendWindow {
        &self.sends
    }
}
