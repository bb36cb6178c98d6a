//! Borrowing from other entries, and lending to them.

use std::net::IpAddr;
use std::sync::Arc;

use comfreyhaven_core::HostName;
use comfreyhaven_core::entry::{Ask, Event, LOAN_LIFETIME, Loan};
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
use crate::pool::{LinkError, Pool, within};

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

    /// Asks once more if the connection was lost, as it is after a time without calls. If the first
    /// ask was granted, its tokens are lost.
    async fn borrow(&self, ask: &Ask) -> Result<Option<Loan>, LinkError> {
        match self.call(ask).await {
            Err(LinkError::Call(error)) if !matches!(error, RpcError::DeadlineExceeded) => {
                self.call(ask).await
            }
            answer => answer,
        }
    }

    async fn call(&self, ask: &Ask) -> Result<Option<Loan>, LinkError> {
        let target = self.fleet.borrow().hosts.get(&ask.peer).map(|h| h.control);
        let target = target.ok_or(LinkError::Undeclared)?;
        let make = |transport| PeerControlClient::new(Config::default(), transport);
        let (cell, client) = self.pool.get(target, make).await?;
        let request = BorrowRequest {
            borrower: self.name.clone(),
            team: ask.team.clone(),
            need: ask.need,
            most: ask.most,
            settled: ask.settled.clone(),
            returned: ask.returned.clone(),
        };
        let reply = client.borrow(within(LOAN_LIFETIME), request).await;
        Ok(self.pool.check(&cell, reply)?.loan)
    }
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
        let ask = Ask {
            id: 0,
            peer: request.borrower,
            team: request.team,
            need: request.need,
            most: request.most,
            settled: request.settled,
            returned: request.returned,
        };
        let loan = control::ask(self.mailbox.clone(), |reply| Command::Borrow(ask, reply)).await;
        BorrowReply { loan }
    }
}

/// Sends the asks of the control thread and brings the answers back, until `stop`.
pub(crate) async fn run(
    mut asks: mpsc::UnboundedReceiver<Ask>,
    peers: Peers,
    mailbox: Mailbox<Command>,
    stop: CancellationToken,
) {
    let calls = TaskTracker::new();
    loop {
        let ask = tokio::select! {
            () = stop.cancelled() => break,
            ask = asks.recv() => ask,
        };
        let Some(ask) = ask else { break };
        let (peers, mailbox) = (peers.clone(), mailbox.clone());
        calls.spawn(async move {
            let loan = peers.borrow(&ask).await.unwrap_or_else(|error| {
                log::debug!(peer:% = ask.peer; "cannot borrow: {error}");
                None
            });
            let ask = Box::new(ask);
            let _ = mailbox.send(Command::Event(Event::Lent { ask, loan }));
        });
    }
    calls.close();
    calls.wait().await;
}
