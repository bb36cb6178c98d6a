//! What an agent is told, and what it decides.

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
    /// The endpoint gave its whole answer.
    Whole {
        /// Tokens generated.
        output: u32,
        /// Prompt tokens that were computed, not taken from the endpoint's cache.
        prefill: u32,
    },
    /// The endpoint refused before it ran anything.
    NotRun(NotRunReason),
    /// The entry or its caller went away and the run was cancelled.
    Cancelled,
    /// The endpoint's connection broke or its answer was not whole.
    Broken,
}

/// Something that an agent must decide on.
#[derive(Debug, Clone)]
pub enum Event {
    /// A new configuration is in force.
    Configured(Arc<Fleet>),
    /// An entry asks for a place in the queue.
    Reserve(Reservation),
    /// An entry no longer wants a place, or its connection closed. An offer under way is void.
    Withdraw(ReservationId),
    /// An entry declines an offer.
    Release(OfferId),
    /// A body arrived under an offer.
    Claim {
        /// The offer that its header names.
        offer: OfferId,
        /// The request that its header names.
        request: RequestId,
    },
    /// An entry asks what became of a request, since its connection broke.
    Inquire {
        /// The offer that the body was sent under.
        offer: OfferId,
        /// The request.
        request: RequestId,
    },
    /// The endpoint sent the first token of an answer.
    FirstToken(RequestId),
    /// Tokens of an answer have come. It is told now and then while an answer streams.
    Progress {
        /// The request that runs.
        request: RequestId,
        /// Tokens that have come after the first.
        tokens: u32,
    },
    /// A run ended.
    Finished {
        /// The request that ran.
        request: RequestId,
        /// How it ended.
        end: RunEnd,
    },
    /// The endpoint answered a probe. `boot` changes when the endpoint restarts.
    EndpointUp {
        /// The endpoint's own boot identifier.
        boot: u64,
        /// Requests that the endpoint says it is running.
        running: u32,
    },
    /// The endpoint does not answer.
    EndpointDown,
    /// The process was told to stop.
    Leave,
    /// Whether the platform lists the host as leaving. New work is taken again once it does not.
    Listed(bool),
    /// The time asked for by [`Agent::wake`](super::Agent::wake) has come.
    Tick,
}

/// Something that an agent's process must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Offer a free slot to a reservation.
    Offer {
        /// The reservation, which leaves the queue.
        id: ReservationId,
        /// The offer.
        offer: OfferId,
        /// How long the offer stands.
        lifetime: Duration,
    },
    /// Give a reservation back.
    Return {
        /// The reservation, which leaves the queue.
        id: ReservationId,
        /// Why.
        reason: ReturnReason,
    },
    /// Send the body to the endpoint.
    Run(OfferId),
    /// Answer that the body does not run.
    Reject {
        /// The offer that the body came under.
        offer: OfferId,
        /// Why.
        reason: NotRunReason,
    },
    /// Close the body's connection without an answer: its request runs or ran under another copy,
    /// so that no word of this one would be true of the request.
    Close(OfferId),
    /// Answer an inquiry.
    Report {
        /// The request asked about.
        request: RequestId,
        /// What became of it.
        status: RunStatus,
    },
}
