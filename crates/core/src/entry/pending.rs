//! State of one request from its arrival until it ends.

use std::collections::BTreeSet;

use super::ledger::Charge;
use super::message::Arrival;
use crate::id::{BootNonce, OfferId, RequestId, ReservationId};
use crate::name::{EndpointName, HostName, TeamName};
use crate::refusal::ReturnReason;
use crate::request::{Reservation, Tier};
use crate::time::Timestamp;

/// Maximum number of reservations that one request holds at once.
pub(super) const FANOUT: usize = 3;

/// Processing phase of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits until `until` for tokens of its team.
    AwaitingTokens { until: Timestamp },
    /// Waits for an offer for its reservations.
    AwaitingOffer,
    /// The body was sent, or is being sent, under an accepted offer.
    Dispatched {
        endpoint: EndpointName,
        offer: OfferId,
        answering: bool,
    },
    /// The connection broke before the answer started; the agent was asked whether the request ran.
    Inquiring {
        endpoint: EndpointName,
        offer: OfferId,
    },
}

impl Phase {
    /// Returns whether the body may have been sent.
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
    /// Tokens charged to the request's team.
    pub(super) charge: Charge,
    /// Time at which this request is checked next.
    pub(super) timer: Option<Timestamp>,
    /// Candidates at which this attempt has not reserved yet, worst first.
    pub(super) candidates: Vec<EndpointName>,
    /// Agents that hold a reservation.
    pub(super) reserved: BTreeSet<EndpointName>,
    /// Most informative reason of the reservations returned.
    pub(super) reason: Option<ReturnReason>,
    /// Number of rounds over all candidates in which the request was displaced.
    pub(super) rounds: u32,
    /// Whether the request was displaced in this round.
    pub(super) displaced: bool,
    /// Time at which the first reservation was placed.
    pub(super) first_bound: Timestamp,
    /// Number of reservations that the request may hold at once.
    pub(super) fanout: usize,
    /// Whether the reservations require that the request runs alone.
    pub(super) isolated: bool,
    /// Position in the order of arrival.
    pub(super) sequence: u64,
}

impl Pending {
    pub(super) fn new(arrival: Arrival, team: TeamName, tier: Tier, deadline: Timestamp) -> Self {
        Self {
            arrival,
            team,
            tier,
            deadline,
            phase: Phase::AwaitingTokens { until: deadline },
            attempt: 0,
            charge: Charge::default(),
            timer: None,
            candidates: Vec::new(),
            reserved: BTreeSet::new(),
            reason: None,
            rounds: 0,
            displaced: false,
            first_bound: Timestamp::NEVER,
            fanout: 0,
            isolated: false,
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
            alone: self.isolated,
        }
    }

    /// Allows reservations at several agents, unless the request must run alone.
    pub(super) fn widen(&mut self) {
        if !self.isolated {
            self.fanout = FANOUT;
        }
    }

    /// Returns the sort key of the requests that wait at the entry; the greatest is shed first.
    pub(super) fn shed_key(&self) -> (Tier, u64, RequestId) {
        (self.tier, self.sequence, self.arrival.id)
    }

    /// Returns whether this reservation belongs to the current attempt and the request still awaits
    /// an offer.
    pub(super) fn is_current(&self, id: ReservationId) -> bool {
        self.phase == Phase::AwaitingOffer && self.id() == id
    }

    /// Records why an agent returned a reservation. A full agent takes precedence over the other
    /// reasons because it is more informative for the caller.
    pub(super) fn record_return(&mut self, reason: ReturnReason) {
        self.displaced |= reason == ReturnReason::Displaced;
        let full = matches!(reason, ReturnReason::Full | ReturnReason::Displaced);
        if full || self.reason.is_none() {
            self.reason = Some(reason);
        }
    }
}
