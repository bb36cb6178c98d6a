//! Control service of the agent: serves reservations, withdrawals, releases and inquiries of
//! entries.

use std::net::IpAddr;

use comfreyhaven_core::agent::{Event, RunStatus};
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{OfferId, RequestId, Reservation, ReservationId};
use comfreyhaven_process::configuration::Configuration;
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_process::peer::{self, NoLender};
use comfreyhaven_process::server;
use comfreyhaven_wire::preface::{self, ServiceKind};
use comfreyhaven_wire::service::{AgentControl, ReserveReply};
use comfreyhaven_wire::transport;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::command::Command;
use crate::peers;

/// Maximum number of open control connections.
const CONNECTION_LIMIT: usize = 1_024;

#[derive(Clone)]
struct Service {
    mailbox: Mailbox<Command>,
}

/// Withdraws a reservation on drop, when its call is cancelled or its connection closes.
struct WithdrawGuard {
    mailbox: Mailbox<Command>,
    id: ReservationId,
    armed: bool,
}

impl Drop for WithdrawGuard {
    fn drop(&mut self) {
        if self.armed {
            let _ = self.mailbox.send(Command::Event(Event::Withdraw(self.id)));
        }
    }
}

impl AgentControl for Service {
    async fn reserve(self, _: Context, reservation: Reservation) -> ReserveReply {
        let id = reservation.id;
        let mut guard = WithdrawGuard {
            mailbox: self.mailbox.clone(),
            id,
            armed: true,
        };
        let (reply, answer) = oneshot::channel();
        let _ = self.mailbox.send(Command::Reserve { reservation, reply });
        let answer = answer.await;
        guard.armed = false;
        answer.unwrap_or(ReserveReply::Returned(ReturnReason::Leaving))
    }

    async fn withdraw(self, _: Context, id: ReservationId) {
        let _ = self.mailbox.send(Command::Event(Event::Withdraw(id)));
    }

    async fn release(self, _: Context, offer: OfferId) {
        let _ = self.mailbox.send(Command::Event(Event::Release(offer)));
    }

    async fn ping(self, _: Context) {}

    async fn inquire(self, _: Context, request: RequestId, offer: OfferId) -> RunStatus {
        let (reply, answer) = oneshot::channel();
        let _ = self.mailbox.send(Command::Inquire {
            offer,
            request,
            reply,
        });
        answer.await.unwrap_or(RunStatus::Unknown)
    }
}

/// Serves declared processes until `stop`. Only entries may place reservations; every process may
/// exchange the configuration.
pub(crate) async fn serve(
    listener: TcpListener,
    mailbox: Mailbox<Command>,
    configuration: Configuration,
    stop: CancellationToken,
) {
    let stopping = stop.clone();
    server::accept(listener, CONNECTION_LIMIT, stop, move |stream, address| {
        let (mailbox, stopping) = (mailbox.clone(), stopping.clone());
        let configuration = configuration.clone();
        async move {
            if !peer::is_peer(&configuration, address.ip()) {
                return;
            }
            tokio::select! {
                () = stopping.cancelled() => {}
                () = serve_connection(stream, address.ip(), mailbox, configuration) => {}
            }
        }
    })
    .await;
}

async fn serve_connection(
    mut stream: TcpStream,
    ip: IpAddr,
    mailbox: Mailbox<Command>,
    configuration: Configuration,
) {
    match preface::read(&mut stream).await {
        Ok(ServiceKind::Agent) if peers::is_entry(&configuration.fleet(), ip) => {
            let channel = BaseChannel::with_defaults(transport::wrap(stream));
            let calls = channel.execute(Service { mailbox }.serve());
            calls.for_each_concurrent(None, |call| call).await;
        }
        Ok(ServiceKind::Agent) => {}
        Ok(ServiceKind::Peer) => peer::serve(stream, ip, configuration, NoLender).await,
        Err(error) => log::warn!(peer:% = ip; "connection rejected: {error}"),
    }
}
