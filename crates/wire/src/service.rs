//! The `tarpc` services of agents and peers, and their messages.

use std::net::SocketAddr;
use std::time::Duration;

use comfreyhaven_core::agent::RunStatus;
use comfreyhaven_core::config_sync::Versions;
use comfreyhaven_core::entry::{Loan, LoanId, Return, Warning};
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{HostName, OfferId, RequestId, Reservation, ReservationId, TeamName};
use serde::{Deserialize, Serialize};

/// Result of a reservation at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReserveReply {
    /// The agent holds a slot for the request.
    Offered {
        /// Id of the offer, which must be sent with the body.
        offer: OfferId,
        /// Time that the slot is held, from when this message is sent.
        lifetime: Duration,
    },
    /// The agent gave no slot and returned the reservation.
    Returned(ReturnReason),
}

/// Calls that entries make to agents.
#[tarpc::service]
pub trait AgentControl {
    /// Waits in the agent's queue until a slot is free. Cancelling the call withdraws the
    /// reservation.
    async fn reserve(reservation: Reservation) -> ReserveReply;
    /// Withdraws a reservation, or the offer made to it if that is already on its way.
    async fn withdraw(id: ReservationId);
    /// Releases an offered slot that will not be used.
    async fn release(offer: OfferId);
    /// Returns at once, so that an entry can distinguish a long wait from a suspended agent.
    async fn ping();
    /// Returns the status of a request whose body was sent. After [`RunStatus::NeverRuns`] the
    /// agent will not run the request.
    async fn inquire(request: RequestId, offer: OfferId) -> RunStatus;
}

/// Configuration versions of a process, as sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Address of the sender's control service.
    pub from: SocketAddr,
    /// Newest versions that the sender knows, by document.
    pub versions: Versions,
}

/// A published document that a process sends to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentText {
    /// Name of the document.
    pub name: String,
    /// Published text, including the generation.
    pub text: String,
}

/// A loan request: requests tokens of a team from the share of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// Host of the entry that requests the loan.
    pub borrower: HostName,
    /// Team whose tokens are requested. `None` requests no tokens: the call then carries `settled`
    /// and `returned`, or only queries which hosts the peer knows.
    pub team: Option<TeamName>,
    /// Tokens that the caller's request lacks.
    pub need: u64,
    /// Maximum number of tokens that the borrower can use.
    #[serde(rename = "most")]
    pub limit: u64,
    /// Earlier loans of the callee for which it need no longer reserve capacity.
    pub settled: Vec<LoanId>,
    /// Tokens of earlier loans that are returned to the callee.
    pub returned: Vec<Return>,
}

/// Answer to a loan request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BorrowReply {
    /// Loan whose tokens the lender has already debited, or `None` if the callee does not lend.
    pub loan: Option<Loan>,
}

/// Calls that every process answers for its peers.
#[tarpc::service]
pub trait PeerControl {
    /// Sends the versions of the caller and returns those of the callee.
    async fn exchange(digest: Digest) -> Digest;
    /// Returns the callee's newest text of a document, in force or waiting for other documents.
    async fn document(name: String) -> Option<DocumentText>;
    /// Warns an entry of a body that endpoints failed on.
    async fn warn(warning: Warning);
    /// Requests a loan of a team's tokens from an entry. An agent never lends.
    async fn borrow(request: BorrowRequest) -> BorrowReply;
}
