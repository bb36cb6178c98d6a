//! Borrowing from other entries.

use std::net::IpAddr;
use std::sync::Arc;

use comfreyhaven_core::HostName;
use comfreyhaven_core::entry::{Ask, Event, LOAN_LIFETIME, Loan};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_wire::preface::ServiceKind;
use comfreyhaven_wire::service::{BorrowRequest, PeerControlClient};
use tarpc::client::Config;
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

    async fn borrow(&self, ask: &Ask) -> Result<Option<Loan>, LinkError> {
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
