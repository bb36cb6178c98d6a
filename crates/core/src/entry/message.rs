//! Events that an entry processes and actions that it decides on.

use std::sync::Arc;

use super::containment::Warning;
use super::ledger::{Loan, LoanRequest};
use crate::agent::RunStatus;
use crate::fleet::Fleet;
use crate::id::{KeyDigest, OfferId, RequestId, ReservationId};
use crate::idempotency::CallKey;
use crate::name::{EndpointName, HostName, RouteName};
use crate::refusal::{NotRunReason, Refusal, ReturnReason};
use crate::request::{BodyDigest, Cost, PrefixDigest, Reservation};

/// A caller's request after it was parsed and matched to a route.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifies the request; drawn at random by the process.
    pub id: RequestId,
    /// Digest of the API key that the caller sent, if any.
    pub key: Option<KeyDigest>,
    /// The route that the request matched.
    pub route: RouteName,
    /// Tokens that the request may use.
    pub cost: Cost,
    /// Digests of the prompt's prefixes, longest last.
    pub prefixes: Vec<PrefixDigest>,
    /// Digest by which the same body is recognised when it is sent again.
    pub body: BodyDigest,
    /// Digest of the caller's idempotency key, if the call may run only at the key's owner.
    pub call: Option<CallKey>,
}

/// How a dispatched request ended at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer was passed to the caller.
    Whole {
        /// Number of tokens generated.
        output: u32,
    },
    /// The agent reported that the request did not run.
    NotRun(NotRunReason),
    /// No connection to the agent could be made, so that nothing was sent.
    NotSent,
    /// The endpoint failed after the run had started.
    Failed,
    /// The connection to the agent broke after the body may have been sent.
    Lost,
}

/// An input to the entry's state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A new configuration is in force.
    Configured(Arc<Fleet>),
    /// A caller's request was received in full.
    Arrived(Box<Arrival>),
    /// An agent offers a slot.
    Offered {
        /// The reservation for which the offer was made.
        id: ReservationId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The offer's identifier.
        offer: OfferId,
    },
    /// An agent returned a reservation without an offer.
    Returned {
        /// The reservation.
        id: ReservationId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The agent's reason.
        reason: ReturnReason,
    },
    /// The connection to an agent failed while it held a reservation.
    Unreachable {
        /// The reservation.
        id: ReservationId,
        /// The agent's endpoint.
        endpoint: EndpointName,
    },
    /// The first bytes of the answer were passed to the caller.
    AnswerStarted(RequestId),
    /// The run of a dispatched request ended.
    Ended {
        /// The request.
        request: RequestId,
        /// Result of the run.
        ending: Ending,
    },
    /// The agent answered an inquiry, or could not be reached.
    Inquired {
        /// The request.
        request: RequestId,
        /// Status that the agent reported, or `None` without an answer.
        status: Option<RunStatus>,
    },
    /// The caller disconnected.
    CallerDisconnected(RequestId),
    /// A peer requests a loan. The actions returned for this event include [`Action::Lend`] if the
    /// peer is a declared host.
    LoanRequested(Box<LoanRequest>),
    /// A peer answered a loan request, or could not be reached.
    LoanAnswered {
        /// The loan request.
        request: Box<LoanRequest>,
        /// The answer, or `None` if there was none.
        loan: Option<Loan>,
    },
    /// A peer reports its verdict on a body.
    Warned(Warning),
    /// The process is shutting down; new arrivals are refused.
    Leave,
    /// The time returned by [`Entry::wake`](super::Entry::wake) has come.
    Tick,
}

/// A decision that the entry's process carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Place a reservation at an agent.
    Reserve {
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The reservation.
        reservation: Box<Reservation>,
    },
    /// Withdraw a reservation.
    Withdraw {
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The reservation.
        id: ReservationId,
    },
    /// Decline an offer.
    Release {
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The request for which it was made.
        request: RequestId,
        /// The offer's identifier.
        offer: OfferId,
    },
    /// Send the body under an offer. Issued once for each accepted offer.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The accepted offer.
        offer: OfferId,
    },
    /// Ask the agent whether the request ran.
    Inquire {
        /// The request.
        request: RequestId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The offer under which the body was sent.
        offer: OfferId,
    },
    /// Send the caller a refusal. The entry no longer owns the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Release a request that the entry no longer owns: the caller has its answer or has
    /// disconnected.
    Close(RequestId),
    /// Send a loan request to a peer.
    Borrow(Box<LoanRequest>),
    /// Report a verdict on a body to a peer.
    Warn {
        /// The peer.
        peer: HostName,
        /// The verdict and its remaining time.
        warning: Warning,
    },
    /// Answer the peer whose loan request is being processed. The tokens have already been debited.
    Lend(Loan),
}

impl Action {
    /// Returns the request that the action concerns, if any.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::Reserve { reservation, .. } => Some(reservation.id.request),
            Self::Withdraw { id, .. } => Some(id.request),
            Self::Release { request, .. }
            | Self::Dispatch { request, .. }
            | Self::Inquire { request, .. }
            | Self::Refuse { request, .. }
            | Self::Close(request) => Some(*request),
            Self::Borrow(_) | Self::Lend(_) | Self::Warn { .. } => None,
        }
    }
}
