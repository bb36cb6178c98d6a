//! One request between arrival and its end.

use std::collections::BTreeSet;

use super::message::Arrival;
use crate::id::{BootNonce, OfferId, ReservationId};
use crate::name::{EndpointName, HostName, TeamName};
use crate::refusal::ReturnReason;
use crate::request::{Reservation, Tier};
use crate::time::Timestamp;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// Reservations wait at agents.
    Waiting,
    /// The body was sent, or is being sent, under an accepted offer.
    Dispatched {
        endpoint: EndpointName,
        offer: OfferId,
        begun: bool,
    },
    /// The connection broke and the agent is being asked what happened.
    Inquiring {
        endpoint: EndpointName,
        offer: OfferId,
    },
}

/// A request that this entry owns.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) arrival: Arrival,
    pub(super) team: TeamName,
    pub(super) tier: Tier,
    pub(super) deadline: Timestamp,
    pub(super) phase: Phase,
    pub(super) attempt: u32,
    /// Candidates that were not asked in this attempt, worst first.
    pub(super) unasked: Vec<EndpointName>,
    /// Agents that hold a reservation.
    pub(super) waiting: BTreeSet<EndpointName>,
    /// Most telling reason of those returned.
    pub(super) reason: Option<ReturnReason>,
}

impl Pending {
    pub(super) fn id(&self) -> ReservationId {
        ReservationId {
            request: self.arrival.id,
            attempt: self.attempt,
        }
    }

    pub(super) fn reservation(
        &self,
        entry: &HostName,
        boot: BootNonce,
        now: Timestamp,
    ) -> Reservation {
        Reservation {
            id: self.id(),
            entry: entry.clone(),
            boot,
            team: self.team.clone(),
            route: self.arrival.route.clone(),
            tier: self.tier,
            cost: self.arrival.cost,
            remaining: self.deadline.since(now),
            prefixes: self.arrival.prefixes.clone(),
            body: self.arrival.body,
            call: self.arrival.call,
        }
    }

    /// Whether an offer of this reservation may still be accepted.
    pub(super) fn awaits(&self, id: ReservationId) -> bool {
        self.phase == Phase::Waiting && self.id() == id
    }

    /// Notes why an agent has no place. Fullness tells the caller more than any other reason.
    pub(super) fn note(&mut self, reason: ReturnReason) {
        let full = matches!(reason, ReturnReason::Full | ReturnReason::Displaced);
        if full || self.reason.is_none() {
            self.reason = Some(reason);
        }
    }
}
