//! Loans of tokens and warnings between entries: sends loan requests and warnings to peers, and
//! receives theirs.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::HostName;
use comfreyhaven_core::entry::{Event, LOAN_LIFETIME, Loan, LoanRequest, Warning};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_process::control::{self, Mailbox};
use comfreyhaven_process::peer::Lender;
use comfreyhaven_wire::preface::ServiceKind;
use comfreyhaven_wire::service::{BorrowReply, BorrowRequest, PeerControlClient};
use tarpc::client::{Config, RpcError};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::command::Command;
use crate::pool::{Cell, LinkError, Pool, context_within};

/// Delay before a failed warning is retried.
const WARNING_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Clients of the other entries.
#[derive(Clone)]
pub(crate) struct Peers {
    name: HostName,
    fleet: watch::Receiver<Arc<Fleet>>,
    pool: Pool<PeerControlClient>,
}

impl Peers {
    pub(crate) fn new(
        name: HostName,
        source: IpAddr,
        fleet: watch::Receiver<Arc<Fleet>>,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            name,
            fleet,
            pool: Pool::new(source, ServiceKind::Peer, tasks),
        }
    }

    async fn request_loan(&self, request: LoanRequest) -> Event {
        let loan = self.borrow(&request).await.unwrap_or_else(|error| {
            log::debug!(peer:% = request.peer; "loan request failed: {error}");
            None
        });
        let request = Box::new(request);
        Event::LoanAnswered { request, loan }
    }

    /// Sends a warning to a peer, with one retry after a failure.
    async fn warn(&self, peer: &HostName, warning: Warning) {
        for delay in [Duration::ZERO, WARNING_RETRY_DELAY] {
            tokio::time::sleep(delay).await;
            match self.warn_once(peer, warning).await {
                Ok(()) => return,
                Err(error) => log::warn!(peer:% = peer; "warning not delivered: {error}"),
            }
        }
    }

    async fn warn_once(&self, peer: &HostName, warning: Warning) -> Result<(), LinkError> {
        let (cell, client) = self.client(peer).await?;
        let answer = client.warn(context_within(LOAN_LIFETIME), warning).await;
        self.pool.check_answer(&cell, answer)
    }

    async fn client(
        &self,
        peer: &HostName,
    ) -> Result<(Cell<PeerControlClient>, PeerControlClient), LinkError> {
        let target = self.fleet.borrow().hosts.get(peer).map(|h| h.control);
        let target = target.ok_or(LinkError::Undeclared)?;
        let build = |transport| PeerControlClient::new(Config::default(), transport);
        self.pool.get(target, build).await
    }

    /// Sends a loan request. Retries once if the connection was lost, as happens to connections
    /// that have been idle for some time. If the first request was granted, the granted tokens are
    /// lost.
    async fn borrow(&self, request: &LoanRequest) -> Result<Option<Loan>, LinkError> {
        match self.borrow_once(request).await {
            Err(LinkError::Call(error)) if !matches!(error, RpcError::DeadlineExceeded) => {
                self.borrow_once(request).await
            }
            answer => answer,
        }
    }

    async fn borrow_once(&self, loan_request: &LoanRequest) -> Result<Option<Loan>, LinkError> {
        let (cell, client) = self.client(&loan_request.peer).await?;
        let request = BorrowRequest {
            borrower: self.name.clone(),
            team: loan_request.team.clone(),
            need: loan_request.need,
            limit: loan_request.limit,
            settled: loan_request.settled.clone(),
            returned: loan_request.returned.clone(),
        };
        let reply = client.borrow(context_within(LOAN_LIFETIME), request).await;
        Ok(self.pool.check_answer(&cell, reply)?.loan)
    }
}

/// A message that the control thread sends to a peer.
#[derive(Debug)]
pub(crate) enum PeerMessage {
    /// A loan request to the peer that it names.
    Borrow(LoanRequest),
    /// A verdict on a body, and the peer to notify.
    Warning(HostName, Warning),
}

/// Answers peers' loan requests with the loans that the control thread grants.
#[derive(Clone)]
pub(crate) struct MailboxLender {
    mailbox: Mailbox<Command>,
}

impl MailboxLender {
    pub(crate) fn new(mailbox: Mailbox<Command>) -> Self {
        Self { mailbox }
    }
}

impl Lender for MailboxLender {
    async fn lend(&self, request: BorrowRequest) -> BorrowReply {
        let loan_request = LoanRequest {
            id: 0,
            peer: request.borrower,
            team: request.team,
            need: request.need,
            limit: request.limit,
            settled: request.settled,
            returned: request.returned,
        };
        let loan = control::call(self.mailbox.clone(), |reply| {
            Command::Borrow(loan_request, reply)
        })
        .await;
        BorrowReply { loan }
    }

    fn warn(&self, warning: Warning) {
        let _ = self.mailbox.send(Command::Event(Event::Warned(warning)));
    }
}

/// Sends the control thread's messages to peers and returns the answers to it, until `stop`.
pub(crate) async fn run(
    mut messages: mpsc::UnboundedReceiver<PeerMessage>,
    peers: Peers,
    mailbox: Mailbox<Command>,
    stop: CancellationToken,
) {
    let calls = TaskTracker::new();
    loop {
        let message = tokio::select! {
            () = stop.cancelled() => break,
            message = messages.recv() => message,
        };
        let Some(message) = message else { break };
        let (peers, mailbox) = (peers.clone(), mailbox.clone());
        calls.spawn(async move {
            match message {
                PeerMessage::Borrow(request) => {
                    let event = peers.request_loan(request).await;
                    let _ = mailbox.send(Command::Event(event));
                }
                PeerMessage::Warning(peer, warning) => peers.warn(&peer, warning).await,
            }
        });
    }
    calls.close();
    calls.wait().await;
}
