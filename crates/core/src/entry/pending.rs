//! One request between arrival and its end.

use std::collections::BTreeSet;

use super::ledger::Charge;
use super::message::Arrival;
use crate::id::{BootNonce, OfferId, RequestId, ReservationId};
use crate::name::{EndpointName, HostName, TeamName};
use crate::refusal::ReturnReason;
use crate::request::{Reservation, Tier};
use crate::time::Timestamp;

/// Reservations that one request holds at once.
pub(super) const FANOUT: usize = 3;

/// Where a request stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits until `until` for tokens of its team.
    Unpaid { until: Timestamp },
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

impl Phase {
    /// Whether the body may have left.
    pub(super) fn is_dispatched(&self) -> bool {
        matches!(self, Self::Dispatched { .. } | Self::Inquiring { .. })
    }
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
    /// What its team was charged.
    pub(super) charge: Charge,
    /// When it is looked at next.
    pub(super) timer: Option<Timestamp>,
    /// Candidates that were not asked in this attempt, worst first.
    pub(super) unasked: Vec<EndpointName>,
    /// Agents that hold a reservation.
    pub(super) waiting: BTreeSet<EndpointName>,
    /// Most telling reason of those returned.
    pub(super) reason: Option<ReturnReason>,
    /// Rounds over all candidates in which it was displaced.
    pub(super) rounds: u32,
    /// Whether it was displaced in this round.
    pub(super) displaced: bool,
    /// When its reservations were placed first.
    pub(super) bound: Timestamp,
    /// Reservations that it may hold at once.
    pub(super) fanout: usize,
    /// Whether it is reserved to run alone.
    pub(super) alone: bool,
    /// Order of arrival.
    pub(super) sequence: u64,
}

impl Pending {
    pub(super) fn new(arrival: Arrival, team: TeamName, tier: Tier, deadline: Timestamp) -> Self {
        Self {
            arrival,
            team,
            tier,
            deadline,
            phase: Phase::Unpaid { until: deadline },
            attempt: 0,
            charge: Charge::default(),
            timer: None,
            unasked: Vec::new(),
            waiting: BTreeSet::new(),
            reason: None,
            rounds: 0,
            displaced: false,
            bound: Timestamp::NEVER,
            fanout: 0,
            alone: false,
            sequence: 0,
        }
    }

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
            alone: self.alone,
        }
    }

    /// Lets it be reserved at several agents, unless it must run alone.
    pub(super) fn widen(&mut self) {
        if !self.alone {
            self.fanout = FANOUT;
        }
    }

    /// Its place among the requests of its entry: the greatest is shed first.
    pub(super) fn rank(&self) -> (Tier, u64, RequestId) {
        (self.tier, self.sequence, self.arrival.id)
    }

    /// Whether an offer of this reservation may still be accepted.
    pub(super) fn awaits(&self, id: ReservationId) -> bool {
        self.phase == Phase::Waiting && self.id() == id
    }

    /// Notes why an agent has no place. Fullness tells the caller more than any other reason.
    pub(super) fn note(&mut self, reason: ReturnReason) {
        self.displaced |= reason == ReturnReason::Displaced;
        let full = matches!(reason, ReturnReason::Full | ReturnReason::Displaced);
        if full || self.reason.is_none() {
            self.reason = Some(reason);
        }
    }
}
