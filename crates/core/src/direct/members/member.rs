//! One other entry, as this entry knows it.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::{MISSED_REPORTS, SILENCE_LIMIT};
use crate::direct::digest::digest;
use crate::direct::report::Identity;
use crate::time::Timestamp;

/// Position of an entry in the order in which entries are chosen as aggregators and readers: those
/// with the larger processor share first, then in an order that mixes data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::direct) struct Precedence {
    /// Processor share, in thousandths of a core.
    pub(in crate::direct) capacity: Reverse<u16>,
    digest: u64,
    pub(in crate::direct) address: SocketAddr,
}

impl Precedence {
    pub(in crate::direct) fn new(address: SocketAddr, capacity: u16) -> Self {
        Self {
            capacity: Reverse(capacity),
            digest: digest(&address.to_string()),
            address,
        }
    }
}

/// Another entry.
#[derive(Debug)]
pub(in crate::direct) struct Member {
    pub(super) identity: Identity,
    /// Time of the newest known report on the member's own clock, in microseconds.
    pub(super) sent: u64,
    /// Time of the newest report that this entry received from the member itself, on the member's
    /// own clock, in microseconds.
    pub(super) received: u64,
    /// When this entry first learned of the member's process.
    pub(super) known: Timestamp,
    /// When this entry last learned of a newer report.
    pub(super) seen: Timestamp,
    /// When the last report arrived from the member itself.
    pub(super) heard: Option<Timestamp>,
    /// When the member last expected a report from this entry.
    pub(super) requested: Option<Timestamp>,
    /// Since when this entry has expected reports from the member.
    pub(super) asked: Option<Timestamp>,
    /// When this entry last told the member which entries the aggregators are.
    pub(super) introduced: Option<Timestamp>,
    /// The member's report interval.
    pub(super) interval: Duration,
    pub(super) precedence: Precedence,
    /// Whether this entry cannot read the member's reports.
    pub(super) unreadable: bool,
}

impl Member {
    pub(super) fn new(address: SocketAddr, identity: Identity, sent: u64, now: Timestamp) -> Self {
        Self {
            identity,
            sent,
            received: 0,
            known: now,
            seen: now,
            heard: None,
            requested: None,
            asked: None,
            introduced: None,
            interval: Duration::ZERO,
            precedence: Precedence::new(address, identity.capacity),
            unreadable: false,
        }
    }

    /// Creates a member of which only the address is known.
    pub(super) fn unreadable(address: SocketAddr, now: Timestamp) -> Self {
        let identity = Identity {
            boot: 0,
            started: 0,
            centre: 0,
            capacity: 0,
            leaving: false,
        };
        Self {
            unreadable: true,
            ..Self::new(address, identity, 0, now)
        }
    }

    /// Returns whether there was news of the member within `limit` that this entry can read.
    pub(super) fn is_responsive(&self, limit: Duration, now: Timestamp) -> bool {
        !self.unreadable && now < self.seen + limit
    }

    /// Returns the member's address.
    pub(in crate::direct) const fn address(&self) -> SocketAddr {
        self.precedence.address
    }

    /// Returns the digest of the member's data centre.
    pub(in crate::direct) const fn centre(&self) -> u64 {
        self.identity.centre
    }

    /// Returns whether this entry first learned of the member within `limit`.
    pub(in crate::direct) fn is_new(&self, limit: Duration, now: Timestamp) -> bool {
        now < self.known + limit
    }

    /// Returns the time from which the member counts as silent unless it answers this entry's
    /// reports.
    pub(super) fn silent_from(&self) -> Timestamp {
        let limit = SILENCE_LIMIT.max(self.interval * MISSED_REPORTS);
        self.asked.map_or(Timestamp::NEVER, |asked| {
            asked.max(self.heard.unwrap_or(asked)) + limit
        })
    }

    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        self.silent_from() <= now
    }
}
