//! Offers that are waiting for their bodies.

use std::collections::BTreeMap;
use std::time::Duration;

use super::queue::{Class, Waiting};
use crate::id::{BootNonce, OfferId, RequestId, ReservationId};
use crate::request::Reservation;
use crate::time::Timestamp;

/// How long an offer holds its slot for the entry. It covers a round trip between regions.
pub const OFFER_LIFETIME: Duration = Duration::from_millis(1_000);

/// An offer and the reservation it was made to.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) reservation: Reservation,
    pub(super) deadline: Timestamp,
    pub(super) class: Class,
    expiry: Timestamp,
}

/// The offers of one process. Sequence numbers rise, so expiry order is sequence order.
#[derive(Debug)]
pub(super) struct Offers {
    boot: BootNonce,
    next: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Offers {
    pub(super) fn new(boot: BootNonce) -> Self {
        Self {
            boot,
            next: 0,
            pending: BTreeMap::new(),
        }
    }

    pub(super) fn boot(&self) -> BootNonce {
        self.boot
    }

    pub(super) fn make(&mut self, waiting: Waiting, now: Timestamp) -> OfferId {
        let sequence = self.next;
        self.next += 1;
        let pending = Pending {
            reservation: waiting.reservation,
            deadline: waiting.deadline,
            class: waiting.class,
            expiry: now + OFFER_LIFETIME,
        };
        self.pending.insert(sequence, pending);
        OfferId {
            boot: self.boot,
            sequence,
        }
    }

    /// Takes an offer out, if it is of this process, made to the request, unused and unexpired.
    pub(super) fn take(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
    ) -> Option<Pending> {
        let pending = self.pending.get(&offer.sequence)?;
        let own = offer.boot == self.boot && pending.reservation.id.request == request;
        if !own || now >= pending.expiry {
            return None;
        }
        self.pending.remove(&offer.sequence)
    }

    /// Voids an offer.
    pub(super) fn void(&mut self, offer: OfferId) {
        if offer.boot == self.boot {
            self.pending.remove(&offer.sequence);
        }
    }

    /// Voids every offer that was made to a request.
    pub(super) fn void_request(&mut self, request: RequestId) {
        self.pending
            .retain(|_, pending| pending.reservation.id.request != request);
    }

    /// Whether this process has made the offer at some time.
    pub(super) fn has_made(&self, offer: OfferId) -> bool {
        offer.boot == self.boot && offer.sequence < self.next
    }

    /// The latest attempt of a request that an offer was made to and may still be under way.
    pub(super) fn attempt(&self, request: RequestId) -> Option<u32> {
        let ids = self.pending.values().map(|pending| pending.reservation.id);
        ids.filter(|id| id.request == request)
            .map(|id| id.attempt)
            .max()
    }

    /// Voids the offer that was made to a reservation and may still be under way.
    pub(super) fn withdraw(&mut self, id: ReservationId) {
        self.pending
            .retain(|_, pending| pending.reservation.id != id);
    }

    pub(super) fn drop_expired(&mut self, now: Timestamp) {
        self.pending.retain(|_, pending| now < pending.expiry);
    }

    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.pending
            .first_key_value()
            .map(|(_, pending)| pending.expiry)
    }

    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether an offer was made to a request that must run alone.
    pub(super) fn any_alone(&self) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| pending.reservation.alone)
    }

    /// Offers to long requests.
    pub(super) fn long(&self) -> usize {
        let long = |pending: &&Pending| pending.class == Class::Long;
        self.pending.values().filter(long).count()
    }

    pub(super) fn tokens(&self) -> u64 {
        self.pending
            .values()
            .map(|pending| pending.reservation.cost.total())
            .sum()
    }
}
