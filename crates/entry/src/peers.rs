//! Borrowing from other entries, and lending to them.

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
use crate::pool::{Cell, LinkError, Pool, within};

/// Pause before a peer that could not be warned is tried again.
const WARNING_PAUSE: Duration = Duration::from_secs(1);

/// Connections to the other entries.
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

    async fn ask(&self, ask: LoanRequest) -> Event {
        let loan = self.borrow(&ask).await.unwrap_or_else(|error| {
            log::debug!(peer:% = ask.peer; "cannot borrow: {error}");
            None
        });
        let ask = Box::new(ask);
        Event::LoanAnswered { request: ask, loan }
    }

    /// Warns a peer, with a second try after a failure.
    async fn warn(&self, peer: &HostName, warning: Warning) {
        for pause in [Duration::ZERO, WARNING_PAUSE] {
            tokio::time::sleep(pause).await;
            match self.warn_once(peer, warning).await {
                Ok(()) => return,
                Err(error) => log::warn!(peer:% = peer; "not warned: {error}"),
            }
        }
    }

    async fn warn_once(&self, peer: &HostName, warning: Warning) -> Result<(), LinkError> {
        let (cell, client) = self.client(peer).await?;
        let answer = client.warn(within(LOAN_LIFETIME), warning).await;
        self.pool.check(&cell, answer)
    }

    async fn client(
        &self,
        peer: &HostName,
    ) -> Result<(Cell<PeerControlClient>, PeerControlClient), LinkError> {
        let target = self.fleet.borrow().hosts.get(peer).map(|h| h.control);
        let target = target.ok_or(LinkError::Undeclared)?;
        let make = |transport| PeerControlClient::new(Config::default(), transport);
        self.pool.get(target, make).await
    }

    /// Asks once more if the connection was lost, as it is after a time without calls. If the first
    /// ask was granted, its tokens are lost.
    async fn borrow(&self, ask: &LoanRequest) -> Result<Option<Loan>, LinkError> {
        match self.call(ask).await {
            Err(LinkError::Call(error)) if !matches!(error, RpcError::DeadlineExceeded) => {
                self.call(ask).await
            }
            answer => answer,
        }
    }

    async fn call(&self, ask: &LoanRequest) -> Result<Option<Loan>, LinkError> {
        let (cell, client) = self.client(&ask.peer).await?;
        let request = BorrowRequest {
            borrower: self.name.clone(),
            team: ask.team.clone(),
            need: ask.need,
            limit: ask.limit,
            settled: ask.settled.clone(),
            returned: ask.returned.clone(),
        };
        let reply = client.borrow(within(LOAN_LIFETIME), request).await;
        Ok(self.pool.check(&cell, reply)?.loan)
    }
}

/// Something to tell a peer.
#[derive(Debug)]
pub(crate) enum Word {
    /// A wish to borrow.
    Ask(LoanRequest),
    /// A warning of a body.
    Warning(HostName, Warning),
}

/// Lends what the control thread grants.
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
        let ask = LoanRequest {
            id: 0,
            peer: request.borrower,
            team: request.team,
            need: request.need,
            limit: request.limit,
            settled: request.settled,
            returned: request.returned,
        };
        let loan = control::call(self.mailbox.clone(), |reply| Command::Borrow(ask, reply)).await;
        BorrowReply { loan }
    }

    fn warn(&self, warning: Warning) {
        let _ = self.mailbox.send(Command::Event(Event::Warned(warning)));
    }
}

/// Sends the words of the control thread and brings the answers back, until `stop`.
pub(crate) async fn run(
    mut words: mpsc::UnboundedReceiver<Word>,
    peers: Peers,
    mailbox: Mailbox<Command>,
    stop: CancellationToken,
) {
    let calls = TaskTracker::new();
    loop {
        let word = tokio::select! {
            () = stop.cancelled() => break,
            word = words.recv() => word,
        };
        let Some(word) = word else { break };
        let (peers, mailbox) = (peers.clone(), mailbox.clone());
        calls.spawn(async move {
            match word {
                Word::Ask(ask) => {
                    let event = peers.ask(ask).await;
                    let _ = mailbox.send(Command::Event(event));
                }
                Word::Warning(peer, warning) => peers.warn(&peer, warning).await,
            }
        });
    }
    calls.close();
    calls.wait().await;
}
