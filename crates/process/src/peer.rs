//! Calls that processes of every role make and answer: exchange of configuration, loans of tokens
//! and warnings of failing bodies.

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

/// Longest time of an exchange, including the opening of its connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time of the transfer of a document, including the opening of its connection.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a completed call after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of open control connections.
const CONNECTION_LIMIT: usize = 1_024;

/// Maximum number of concurrent calls on one connection.
const CALL_LIMIT: usize = 8;

/// A call to a peer that failed.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The connection could not be opened.
    Dial(DialError),
    /// The peer or the transport reported an error.
    #[display("the call failed: {_0}")]
    Call(RpcError),
    /// The peer closed the connection, as it does if no declared process has the caller's address.
    #[display("the peer closed the connection")]
    #[from(ignore)]
    Closed,
    /// The peer did not answer within the time limit of the call.
    #[display("no answer in time")]
    #[from(ignore)]
    Timeout,
}

/// Returns the control addresses of all processes that a fleet declares.
///
/// ```
/// use comfreyhaven_core::fleet::Fleet;
///
/// assert!(comfreyhaven_process::peer::control_addresses(&Fleet::default()).is_empty());
/// ```
#[must_use]
pub fn control_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    let hosts = fleet.hosts.values().map(|host| host.control);
    let agents = fleet.endpoints.values().map(|endpoint| endpoint.control);
    hosts.chain(agents).collect()
}

/// Returns whether an IP belongs to a declared process or to a peer from the settings. Logs a
/// warning if it does not.
#[must_use]
pub fn is_peer(configuration: &Configuration, ip: IpAddr) -> bool {
    let fleet = configuration.fleet();
    let declared = control_addresses(&fleet.borrow());
    let seeds = configuration.seeds();
    let known = declared.iter().chain(seeds).any(|peer| peer.ip() == ip);
    if !known {
        log::warn!(peer:% = ip; "connection rejected: no declared process has this address");
    }
    known
}

/// Sends the document versions of this process to a peer. Returns those of the peer.
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

/// Fetches a document from a peer, or `None` if the peer does not have it.
///
/// # Errors
/// Returns a [`PeerError`] if the peer does not answer.
pub async fn fetch_document(
    source: IpAddr,
    peer: SocketAddr,
    name: String,
) -> Result<Option<DocumentText>, PeerError> {
    call(source, peer, DOCUMENT_TIMEOUT, async |client, context| {
        client.document(context, name).await
    })
    .await
}

/// Opens a connection for one call, so that an idle process keeps no connections.
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

/// Role-specific part of the service: an entry lends tokens of a team to a peer and accepts
/// warnings.
pub trait Lender: Clone + Send + Sync + 'static {
    /// Answers a loan request. The tokens lent are debited before the reply.
    fn lend(&self, request: BorrowRequest) -> impl Future<Output = BorrowReply> + Send;
    /// Accepts a warning of a body that endpoints failed on.
    fn warn(&self, warning: Warning);
}

/// A lender for agents, which lend no tokens and ignore warnings.
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
            log::warn!(peer:% = self.peer; "exchange rejected: digest names sender {from}");
            return Digest {
                from,
                versions: Default::default(),
            };
        }
        let answer = self.configuration.answer_exchange(digest).await;
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
            log::warn!(peer:% = self.peer; "loan rejected: sender is not {}", request.borrower);
            return BorrowReply { loan: None };
        }
        self.lender.lend(request).await
    }
}

/// Serves declared processes and seeds on the control port of an entry until `stop`.
pub async fn listen(
    listener: TcpListener,
    configuration: Configuration,
    lender: impl Lender,
    stop: CancellationToken,
) {
    let closing = stop.clone();
    server::accept(listener, CONNECTION_LIMIT, stop, move |stream, address| {
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
        Ok(other) => log::warn!(peer:% = ip; "connection rejected: no service {other} here"),
        Err(error) => log::warn!(peer:% = ip; "connection rejected: {error}"),
    }
}

/// Answers one peer, whose preface has been read, until it closes the connection or no call has
/// completed within the idle timeout.
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
    let mut calls = std::pin::pin!(calls.buffer_unordered(CALL_LIMIT));
    while let Ok(Some(())) = tokio::time::timeout(IDLE_TIMEOUT, calls.next()).await {}
}
