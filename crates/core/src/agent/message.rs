//! Events that an agent handles, and the actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::history::RunStatus;
use crate::fleet::Fleet;
use crate::id::{OfferId, RequestId, ReservationId};
use crate::refusal::{NotRunReason, ReturnReason};
use crate::request::Reservation;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The endpoint sent a complete answer.
    Whole {
        /// Number of tokens generated.
        output: u32,
        /// Number of prompt tokens that were computed rather than taken from the endpoint's cache.
        prefill: u32,
    },
    /// The endpoint rejected the request before running any part of it.
    NotRun(NotRunReason),
    /// The entry or its caller disconnected and the run was cancelled.
    Cancelled,
    /// The connection to the endpoint broke, or the answer was incomplete.
    Broken,
}

/// Input of the agent's state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A new configuration is in force.
    Configured(Arc<Fleet>),
    /// An entry requests a position in the queue.
    Reserve(Reservation),
    /// An entry withdraws a reservation, or its connection closed. An offer made to the reservation
    /// becomes void.
    Withdraw(ReservationId),
    /// An entry declines an offer.
    Release(OfferId),
    /// A body arrived under an offer.
    Claim {
        /// Offer named in the body's header.
        offer: OfferId,
        /// Request named in the body's header.
        request: RequestId,
    },
    /// An entry inquires about the outcome of a request, because its connection broke.
    Inquire {
        /// Offer under which the body was sent.
        offer: OfferId,
        /// Request that the inquiry is about.
        request: RequestId,
    },
    /// The endpoint sent the first token of an answer.
    FirstToken(RequestId),
    /// Reports the progress of an answer. It is sent from time to time while the answer streams.
    Progress {
        /// Running request.
        request: RequestId,
        /// Number of tokens received after the first one.
        tokens: u32,
    },
    /// A run ended.
    Finished {
        /// Request that was running.
        request: RequestId,
        /// Result of the run.
        end: RunEnd,
    },
    /// The endpoint answered a probe. `boot` changes when the endpoint restarts.
    EndpointUp {
        /// Boot identifier that the endpoint reports.
        boot: u64,
        /// Number of running requests that the endpoint reports.
        running: u32,
    },
    /// The endpoint does not answer.
    EndpointDown,
    /// The process received a stop signal.
    Leave,
    /// Whether the platform reports the host as leaving. New work is accepted again once it no
    /// longer does.
    HostLeaving(bool),
    /// The time returned by [`Agent::wake`](super::Agent::wake) has come.
    Tick,
}

/// Output of the agent's state machine, which the process carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Offer a free slot to a reservation.
    Offer {
        /// Reservation that leaves the queue.
        id: ReservationId,
        /// Identifier of the new offer.
        offer: OfferId,
        /// Time for which the offer is valid.
        lifetime: Duration,
    },
    /// Return a reservation without an offer.
    Return {
        /// Reservation that leaves the queue.
        id: ReservationId,
        /// Reason given to the entry.
        reason: ReturnReason,
    },
    /// Send the body to the endpoint.
    Run(OfferId),
    /// Reject the body without running it.
    Reject {
        /// Offer under which the body was sent.
        offer: OfferId,
        /// Reason given to the entry.
        reason: NotRunReason,
    },
    /// Close the body's connection without an answer, because the request runs or ran under another
    /// copy of the body. Any status sent for this copy would be wrong for the request.
    Close(OfferId),
    /// Answer an inquiry.
    Report {
        /// Request that the inquiry is about.
        request: RequestId,
        /// Status of the request.
        status: RunStatus,
    },
}
