//! Offers whose bodies have not arrived yet.

use std::collections::BTreeMap;
use std::time::Duration;

use super::queue::{SizeClass, Waiting};
use crate::id::{BootNonce, OfferId, RequestId, ReservationId};
use crate::request::Reservation;
use crate::time::Timestamp;

/// Time for which an offer reserves its slot for the entry. It covers a round trip between regions.
pub const OFFER_LIFETIME: Duration = Duration::from_millis(1_000);

/// A pending offer and the reservation it was made to.
#[derive(Debug)]
pub(super) struct PendingOffer {
    pub(super) reservation: Reservation,
    pub(super) deadline: Timestamp,
    pub(super) class: SizeClass,
    expiry: Timestamp,
}

/// Pending offers of one process. Sequence numbers rise, so the order of expiry is the order of
/// sequence numbers.
#[derive(Debug)]
pub(super) struct Offers {
    boot: BootNonce,
    next_sequence: u64,
    pending: BTreeMap<u64, PendingOffer>,
}

impl Offers {
    pub(super) fn new(boot: BootNonce) -> Self {
        Self {
            boot,
            next_sequence: 0,
            pending: BTreeMap::new(),
        }
    }

    pub(super) fn boot(&self) -> BootNonce {
        self.boot
    }

    pub(super) fn create(&mut self, waiting: Waiting, now: Timestamp) -> OfferId {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let pending = PendingOffer {
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

    /// Removes an offer if it belongs to this process and the given request, and is unused and
    /// unexpired.
    pub(super) fn claim(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
    ) -> Option<PendingOffer> {
        let pending = self.pending.get(&offer.sequence)?;
        let own = offer.boot == self.boot && pending.reservation.id.request == request;
        if !own || now >= pending.expiry {
            return None;
        }
        self.pending.remove(&offer.sequence)
    }

    pub(super) fn void(&mut self, offer: OfferId) {
        if offer.boot == self.boot {
            self.pending.remove(&offer.sequence);
        }
    }

    /// Voids every offer made to a request.
    pub(super) fn void_request(&mut self, request: RequestId) {
        self.pending
            .retain(|_, pending| pending.reservation.id.request != request);
    }

    /// Returns whether this process made the offer, regardless of the offer's state.
    pub(super) fn was_created(&self, offer: OfferId) -> bool {
        offer.boot == self.boot && offer.sequence < self.next_sequence
    }

    /// Returns the latest attempt of a request that has a pending offer, which may still be on its
    /// way to the entry.
    pub(super) fn attempt(&self, request: RequestId) -> Option<u32> {
        let ids = self.pending.values().map(|pending| pending.reservation.id);
        ids.filter(|id| id.request == request)
            .map(|id| id.attempt)
            .max()
    }

    /// Voids the offer made to a reservation, which may still be on its way to the entry.
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

    /// Returns whether any pending offer is for a request that must run alone.
    pub(super) fn any_alone(&self) -> bool {
        let mut pending = self.pending.values();
        pending.any(|pending| pending.reservation.alone)
    }

    /// Returns the number of pending offers for long requests.
    pub(super) fn long_count(&self) -> usize {
        let long = |pending: &&PendingOffer| pending.class == SizeClass::Long;
        self.pending.values().filter(long).count()
    }

    pub(super) fn tokens(&self) -> u64 {
        self.pending
            .values()
            .map(|pending| pending.reservation.cost.total())
            .sum()
    }
}
