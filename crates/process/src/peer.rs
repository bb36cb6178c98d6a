//! Calls between processes that every role answers: configuration, and borrowed tokens.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use comfreyhaven_core::entry::Warning;
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_wire::preface::{self, ServiceKind};
use comfreyhaven_wire::service::{
    BorrowReply, BorrowRequest, Digest, DocumentText, PeerControl, PeerControlClient,
};
use comfreyhaven_wire::transport;
use derive_more::{Display, Error, From};
use futures::StreamExt;
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::configuration::Configuration;
use crate::dial::{self, DialError};
use crate::server;

/// How long an exchange may take, the opening of its connection included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// How long the transfer of a document may take.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may keep a connection without a call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Control connections at once.
const CONNECTIONS_LIMIT: usize = 1_024;

/// Calls at once on one connection.
const CALLS_LIMIT: usize = 8;

/// A peer that did not answer.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// It cannot be connected to.
    Dial(DialError),
    /// The call failed.
    #[display("the call failed: {_0}")]
    Call(RpcError),
    /// The peer closed the connection, as it does to a process that it does not know.
    #[display("the peer closed the connection")]
    #[from(ignore)]
    Closed,
    /// No answer in time.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

/// The control address of every process that a fleet declares.
///
/// ```
/// use comfreyhaven_core::fleet::Fleet;
///
/// assert!(comfreyhaven_process::peer::declared(&Fleet::default()).is_empty());
/// ```
#[must_use]
pub fn declared(fleet: &Fleet) -> Vec<SocketAddr> {
    let hosts = fleet.hosts.values().map(|host| host.control);
    let agents = fleet.endpoints.values().map(|endpoint| endpoint.control);
    hosts.chain(agents).collect()
}

/// Whether an IP belongs to a declared process, or to a peer that the settings name.
#[must_use]
pub fn is_peer(configuration: &Configuration, ip: IpAddr) -> bool {
    let fleet = configuration.fleet();
    let declared = declared(&fleet.borrow());
    let seeds = configuration.seeds();
    let known = declared.iter().chain(seeds).any(|peer| peer.ip() == ip);
    if !known {
        log::warn!(peer:% = ip; "connection refused: no declared process has this address");
    }
    known
}

/// Tells a peer which versions this process has, and learns the peer's.
///
/// # Errors
/// Returns a [`PeerError`] if the peer does not answer.
pub async fn exchange(
    source: IpAddr,
    peer: SocketAddr,
    digest: Digest,
) -> Result<Digest, PeerError> {
    call(source, peer, EXCHANGE_TIMEOUT, async |client, context| {
        client.exchange(context, digest).await
    })
    .await
}

/// Gets a document from a peer.
///
/// # Errors
/// Returns a [`PeerError`] if the peer does not answer.
pub async fn document(
    source: IpAddr,
    peer: SocketAddr,
    name: String,
) -> Result<Option<DocumentText>, PeerError> {
    call(source, peer, DOCUMENT_TIMEOUT, async |client, context| {
        client.document(context, name).await
    })
    .await
}

/// Opens a connection for one call, so that an idle process keeps none.
async fn call<T>(
    source: IpAddr,
    peer: SocketAddr,
    limit: Duration,
    call: impl AsyncFnOnce(PeerControlClient, Context) -> Result<T, RpcError>,
) -> Result<T, PeerError> {
    let calling = async {
        let transport = dial::control(source, peer, ServiceKind::Peer).await?;
        let client = PeerControlClient::new(Config::default(), transport);
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        tokio::select! {
            answer = call(client.client, context) => Ok(answer?),
            _ = client.dispatch => Err(PeerError::Closed),
        }
    };
    let answer = tokio::time::timeout(limit, calling).await;
    answer.map_err(|_| PeerError::Timeout)?
}

/// An entry's part: lends tokens of a team to a peer, and takes warnings.
pub trait Lender: Clone + Send + Sync + 'static {
    /// Debits what it grants before it answers.
    fn lend(&self, request: BorrowRequest) -> impl Future<Output = BorrowReply> + Send;
    /// Takes a warning of a body.
    fn warn(&self, warning: Warning);
}

/// Grants nothing, as an agent does.
#[derive(Debug, Clone, Copy)]
pub struct NoLender;

impl Lender for NoLender {
    async fn lend(&self, _: BorrowRequest) -> BorrowReply {
        BorrowReply { loan: None }
    }

    fn warn(&self, _: Warning) {}
}

#[derive(Clone)]
struct Service<L> {
    configuration: Configuration,
    lender: L,
    peer: IpAddr,
}

impl<L: Lender> PeerControl for Service<L> {
    async fn exchange(self, _: Context, digest: Digest) -> Digest {
        let from = digest.from;
        if from.ip() != self.peer {
            log::warn!(peer:% = self.peer; "exchange refused: it names {from} as its sender");
            return Digest {
                from,
                versions: Default::default(),
            };
        }
        let answer = self.configuration.called(digest).await;
        answer.unwrap_or(Digest {
            from,
            versions: Default::default(),
        })
    }

    async fn document(self, _: Context, name: String) -> Option<DocumentText> {
        self.configuration.document(name).await
    }

    async fn warn(self, _: Context, warning: Warning) {
        let fleet = self.configuration.fleet();
        let known = fleet
            .borrow()
            .hosts
            .values()
            .any(|host| host.control.ip() == self.peer);
        if known {
            self.lender.warn(warning);
        }
    }

    async fn borrow(self, _: Context, request: BorrowRequest) -> BorrowReply {
        let fleet = self.configuration.fleet();
        let address = fleet
            .borrow()
            .hosts
            .get(&request.borrower)
            .map(|host| host.control.ip());
        if address != Some(self.peer) {
            log::warn!(peer:% = self.peer; "no loan: this is not {}", request.borrower);
            return BorrowReply { loan: None };
        }
        self.lender.lend(request).await
    }
}

/// Serves declared processes on an entry's control port until `stop`.
pub async fn listen(
    listener: TcpListener,
    configuration: Configuration,
    lender: impl Lender,
    stop: CancellationToken,
) {
    let closing = stop.clone();
    server::accept(listener, CONNECTIONS_LIMIT, stop, move |stream, address| {
        let (configuration, lender) = (configuration.clone(), lender.clone());
        let closing = closing.clone();
        async move {
            if !is_peer(&configuration, address.ip()) {
                return;
            }
            tokio::select! {
                () = closing.cancelled() => {}
                () = connection(stream, address.ip(), configuration, lender) => {}
            }
        }
    })
    .await;
}

async fn connection(
    mut stream: TcpStream,
    ip: IpAddr,
    configuration: Configuration,
    lender: impl Lender,
) {
    match preface::read(&mut stream).await {
        Ok(ServiceKind::Peer) => serve(stream, ip, configuration, lender).await,
        Ok(other) => log::warn!(peer:% = ip; "connection refused: there is no service {other}"),
        Err(error) => log::warn!(peer:% = ip; "connection refused: {error}"),
    }
}

/// Answers one peer, whose preface has passed, until it closes the connection or falls silent.
pub async fn serve(
    stream: TcpStream,
    peer: IpAddr,
    configuration: Configuration,
    lender: impl Lender,
) {
    let service = Service {
        configuration,
        lender,
        peer,
    };
    let channel = BaseChannel::with_defaults(transport::wrap(stream));
    let calls = channel.execute(service.serve());
    let mut calls = std::pin::pin!(calls.buffer_unordered(CALLS_LIMIT));
    while let Ok(Some(())) = tokio::time::timeout(IDLE_TIMEOUT, calls.next()).await {}
}
