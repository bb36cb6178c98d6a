//! The control service of an entry: what it answers to other entries.

use std::net::IpAddr;
use std::sync::Arc;

use comfreyhaven_core::HostName;
use comfreyhaven_core::entry::Ask;
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_process::control::{self, Mailbox};
use comfreyhaven_process::server;
use comfreyhaven_wire::preface::{self, ServiceKind};
use comfreyhaven_wire::service::{BorrowReply, BorrowRequest, Digest, DocumentText, PeerControl};
use comfreyhaven_wire::transport;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::command::Command;

/// Control connections at once.
const CONNECTIONS_LIMIT: usize = 1_024;

#[derive(Clone)]
struct Service {
    mailbox: Mailbox<Command>,
    fleet: watch::Receiver<Arc<Fleet>>,
    peer: IpAddr,
}

impl Service {
    /// Whether the connection comes from the host that the message names.
    fn is_from(&self, name: &HostName) -> bool {
        let fleet = self.fleet.borrow();
        let host = fleet.hosts.get(name);
        host.is_some_and(|host| host.control.ip() == self.peer)
    }
}

impl PeerControl for Service {
    async fn exchange(self, _: Context, _: Digest) -> Digest {
        let generations = self.fleet.borrow().generations.clone();
        Digest { generations }
    }

    async fn document(self, _: Context, _: String) -> Option<DocumentText> {
        None
    }

    async fn borrow(self, _: Context, request: BorrowRequest) -> BorrowReply {
        if !self.is_from(&request.borrower) {
            log::warn!(peer:% = self.peer; "no loan: this is not {}", request.borrower);
            return BorrowReply { loan: None };
        }
        let ask = Ask {
            id: 0,
            peer: request.borrower,
            team: request.team,
            need: request.need,
            most: request.most,
            settled: request.settled,
            returned: request.returned,
        };
        let loan = control::ask(self.mailbox, |reply| Command::Borrow(ask, reply)).await;
        BorrowReply { loan }
    }
}

/// Serves declared hosts until `stop`.
pub(crate) async fn serve(
    listener: TcpListener,
    mailbox: Mailbox<Command>,
    fleet: watch::Receiver<Arc<Fleet>>,
    stop: CancellationToken,
) {
    let closing = stop.clone();
    server::accept(listener, CONNECTIONS_LIMIT, stop, move |stream, address| {
        let service = Service {
            mailbox: mailbox.clone(),
            fleet: fleet.clone(),
            peer: address.ip(),
        };
        let closing = closing.clone();
        async move {
            tokio::select! {
                () = closing.cancelled() => {}
                () = connection(stream, service) => {}
            }
        }
    })
    .await;
}

async fn connection(mut stream: TcpStream, service: Service) {
    let hosts = service.fleet.borrow().hosts.clone();
    if !hosts.values().any(|host| host.control.ip() == service.peer) {
        return log::warn!(peer:% = service.peer; "connection refused: no declared host");
    }
    match preface::read(&mut stream).await {
        Ok(ServiceKind::Peer) => {}
        Ok(other) => return log::warn!("connection refused: an entry has no service {other}"),
        Err(error) => return log::warn!("connection refused: {error}"),
    }
    let channel = BaseChannel::with_defaults(transport::wrap(stream));
    let calls = channel.execute(service.serve());
    calls.for_each_concurrent(None, |call| call).await;
}
