//! What an entry is told, and what it decides.

use std::sync::Arc;

use super::containment::Warning;
use super::ledger::{Ask, Loan};
use crate::agent::RunStatus;
use crate::fleet::Fleet;
use crate::id::{KeyDigest, OfferId, RequestId, ReservationId};
use crate::idempotency::CallKey;
use crate::name::{EndpointName, HostName, RouteName};
use crate::refusal::{NotRunReason, Refusal, ReturnReason};
use crate::request::{BodyDigest, Cost, PrefixDigest, Reservation};

/// A caller's request, read and matched to a route.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Drawn at random by the process.
    pub id: RequestId,
    /// Digest of the key that came with it, if any.
    pub key: Option<KeyDigest>,
    /// The route that it matched.
    pub route: RouteName,
    /// Tokens asked for.
    pub cost: Cost,
    /// Digests of the prompt's blocks, longest prefix last.
    pub prefixes: Vec<PrefixDigest>,
    /// Recognises the body.
    pub body: BodyDigest,
    /// Digest of the caller's idempotency key, if the call is bound to the key's home.
    pub call: Option<CallKey>,
}

/// How a dispatched request ended at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was passed on.
    Whole {
        /// Tokens generated.
        output: u32,
    },
    /// The agent said that nothing ran.
    NotRun(NotRunReason),
    /// The agent could not be connected to, so that nothing was sent.
    NotSent,
    /// The endpoint failed after the run began.
    Failed,
    /// The connection to the agent broke after the body may have left.
    Lost,
}

/// Something that an entry must decide on.
#[derive(Debug, Clone)]
pub enum Event {
    /// A new configuration is in force.
    Configured(Arc<Fleet>),
    /// A caller's request was read.
    Arrived(Box<Arrival>),
    /// An agent offers a slot.
    Offered {
        /// The reservation that the offer was made to.
        id: ReservationId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The offer.
        offer: OfferId,
    },
    /// An agent gave a reservation back.
    Returned {
        /// The reservation.
        id: ReservationId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// Why.
        reason: ReturnReason,
    },
    /// The connection to an agent failed while a reservation waited there.
    Unreachable {
        /// The reservation.
        id: ReservationId,
        /// The agent's endpoint.
        endpoint: EndpointName,
    },
    /// The first bytes of the answer were passed to the caller.
    Begun(RequestId),
    /// A dispatched request ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        ending: Ending,
    },
    /// The answer to an inquiry, or that the agent could not be asked.
    Inquired {
        /// The request.
        request: RequestId,
        /// What the agent knows, if it answered.
        status: Option<RunStatus>,
    },
    /// The caller went away.
    CallerGone(RequestId),
    /// A peer wants to borrow tokens. Answered by [`Action::Lend`] at once.
    BorrowAsked(Box<Ask>),
    /// A peer answered an ask, or could not be asked.
    Lent {
        /// The ask.
        ask: Box<Ask>,
        /// The answer, if there was one.
        loan: Option<Loan>,
    },
    /// A peer warns of a body.
    Warned(Warning),
    /// The process was told to stop: new arrivals are refused.
    Leave,
    /// The time asked for by [`Entry::wake`](super::Entry::wake) has come.
    Tick,
}

/// Something that an entry's process must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Place a reservation at an agent.
    Reserve {
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The reservation.
        reservation: Box<Reservation>,
    },
    /// Take a reservation back.
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
        /// The request it was made to.
        request: RequestId,
        /// The offer.
        offer: OfferId,
    },
    /// Send the body under an offer. Given once for each offer accepted.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The offer accepted.
        offer: OfferId,
    },
    /// Ask the agent whether the request ran.
    Inquire {
        /// The request.
        request: RequestId,
        /// The agent's endpoint.
        endpoint: EndpointName,
        /// The offer that the body was sent under.
        offer: OfferId,
    },
    /// Give the caller a refusal. The request is over.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// The request is over; the caller has its answer or is gone.
    Close(RequestId),
    /// Ask a peer for tokens of a team.
    Borrow(Box<Ask>),
    /// Warn a peer of a body.
    Warn {
        /// The peer.
        peer: HostName,
        /// What to tell it.
        warning: Warning,
    },
    /// Answer the peer whose ask is being handled. The tokens are debited.
    Lend(Loan),
}

impl Action {
    /// The request that the action is about, if it is about one.
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
