//! The `tarpc` services, one for each role.

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhaven_core::agent::RunStatus;
use comfreyhaven_core::config_sync::Versions;
use comfreyhaven_core::entry::{Loan, LoanId, Return, Warning};
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{HostName, OfferId, RequestId, Reservation, ReservationId, TeamName};
use serde::{Deserialize, Serialize};

/// How a reservation left an agent's queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// A slot is held for the request.
    Offered {
        /// What the body must name.
        offer: OfferId,
        /// How long the slot is held, from the sending of this message.
        lifetime: Duration,
    },
    /// There is no slot.
    Returned(ReturnReason),
}

/// Calls that entries make to agents.
#[tarpc::service]
pub trait AgentControl {
    /// Waits in the agent's queue until a slot is free. Cancelling the call takes the place back.
    async fn reserve(reservation: Reservation) -> ReserveReply;
    /// Takes a place back, or the offer made to it that may be under way.
    async fn withdraw(id: ReservationId);
    /// Gives an offered slot back.
    async fn release(offer: OfferId);
    /// Answers at once, so that an entry can tell a long wait from a peer that is frozen.
    async fn ping();
    /// Tells what became of a body that was sent. A request that never ran, never will.
    async fn inquire(request: RequestId, offer: OfferId) -> RunStatus;
}

/// What a process tells its peers of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Where the sender's own control service listens.
    pub from: SocketAddr,
    /// Newest versions at the sender, by document.
    pub versions: Versions,
}

/// A published document as one process passes it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentText {
    /// Name of the document.
    pub name: String,
    /// The published text, generation included.
    pub text: String,
}

/// A wish to borrow tokens of a team from a peer's share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// Who asks.
    pub borrower: HostName,
    /// The team, or `None` to learn only which hosts the peer knows.
    pub team: Option<TeamName>,
    /// Tokens that the request in hand lacks.
    pub need: u64,
    /// Tokens that the borrower can use at most.
    pub most: u64,
    /// Earlier loans of the callee whose room it need not keep any longer.
    pub settled: Vec<LoanId>,
    /// Tokens of earlier loans that the callee has again.
    pub returned: Vec<Return>,
}

/// The answer to a wish to borrow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowReply {
    /// Tokens that the lender has already debited, or `None` if the callee lends to nobody.
    pub loan: Option<Loan>,
}

/// Calls that every process answers to its peers.
#[tarpc::service]
pub trait PeerControl {
    /// Tells which versions the caller has and learns which the callee has.
    async fn exchange(digest: Digest) -> Digest;
    /// The newest text of a document at the callee, in force or waiting for others.
    async fn document(name: String) -> Option<DocumentText>;
    /// Warns an entry of a body that endpoints fail on.
    async fn warn(warning: Warning);
    /// Asks an entry for tokens of a team. An agent grants none.
    async fn borrow(request: BorrowRequest) -> BorrowReply;
}
