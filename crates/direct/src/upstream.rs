//! Connection pool for endpoints: idle connections are reused while they are healthy, with one
//! request at a time on each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointId, EndpointRecord, ReactionLimit};
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::body::BodyError;
use crate::clock;

/// How long a peer may take to accept a connection, if nothing is known of how soon others do.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Idle time before the first keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection counts as broken.
const PROBE_LIMIT: u32 = 2;

/// How long an idle connection is kept if the endpoint does not state its own timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// How much earlier than the endpoint an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Time for which a new connection has to stay open to count as accepted by the endpoint.
const ACCEPTED_TIME: Duration = Duration::from_millis(100);

/// Largest header of an endpoint's answer, in bytes.
const HEADER_LIMIT_BYTES: usize = 64 * 1024;

/// How an endpoint reacts to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts the connection and keeps it open.
    Accepts,
    /// Nothing listens at its address.
    Refuses,
    /// It does not react in time, or closes the connection.
    Unknown,
}

/// Why a request got no answer from an endpoint.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    #[display("cannot connect: {_0}")]
    Connect(std::io::Error),
    /// No connection was opened in time, so nothing was sent.
    #[display("no connection within {_0:?}")]
    #[error(ignore)]
    ConnectTimeout(Duration),
    /// The endpoint has said that it takes no requests, or requests like it crash endpoints, so nothing
    /// was sent.
    #[display("the endpoint takes no such requests now")]
    Unwanted,
    /// The connection closed before any part of the request was written to it.
    #[display("the connection closed before the request was written")]
    Stale,
    /// The answer to a call belongs to a request.
    #[display("the answer belongs to another request")]
    Foreign,
    /// The body of the answer could not be read.
    #[display("the answer cannot be read: {_0}")]
    Body(BodyError),
    /// The connection broke, and the endpoint may have received the request.
    #[display("the connection broke: {_0}")]
    Broken(hyper::Error),
}

impl SendError {
    /// Returns whether nothing listens at the endpoint's address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let Self::Connect(error) = self else {
            return false;
        };
        error.kind() == std::io::ErrorKind::ConnectionRefused
    }

    /// Returns whether the endpoint cannot have received the request.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        !matches!(self, Self::Broken(_) | Self::Body(_))
    }
}

/// Opens a TCP connection that detects an unreachable peer, see [`detect_dead_peer`].
///
/// # Errors
/// Returns a [`SendError`] if the peer does not accept in time.
pub async fn open(address: SocketAddr) -> Result<TcpStream, SendError> {
    open_within(address, CONNECT_TIMEOUT).await
}

async fn open_within(address: SocketAddr, limit: Duration) -> Result<TcpStream, SendError> {
    let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| SendError::ConnectTimeout(limit))?;
    let stream = stream.map_err(SendError::Connect)?;
    detect_dead_peer(&stream).map_err(SendError::Connect)?;
    Ok(stream)
}

/// Sets keep-alive probes and an acknowledgement timeout, so that the system closes a connection
/// whose peer has become unreachable without closing it.
///
/// # Errors
/// Returns the error of the failed socket option.
pub fn detect_dead_peer(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_LIMIT);
    socket.set_tcp_keepalive(&probes)
}

/// An HTTP connection and the task that drives it. Dropping it ends both.
#[derive(Debug)]
pub struct Connection<B> {
    /// Sends requests on this connection.
    pub sender: SendRequest<B>,
    task: AbortHandle,
}

impl<B> Connection<B>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    /// Connects to a server. The connection's task is spawned on `tasks`.
    ///
    /// # Errors
    /// Returns a [`SendError`] if the peer does not accept in time.
    pub async fn open(address: SocketAddr, tasks: &TaskTracker) -> Result<Self, SendError> {
        Self::open_on(open(address).await?, address, tasks).await
    }

    async fn open_on(
        stream: TcpStream,
        address: SocketAddr,
        tasks: &TaskTracker,
    ) -> Result<Self, SendError> {
        let handshake = http1::Builder::new()
            .max_buf_size(HEADER_LIMIT_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(SendError::Broken)?;
        let task = tasks.spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }
}

impl<B> Drop for Connection<B> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection<Full<Bytes>>,
    /// Incarnation of the endpoint to which it was opened.
    started_ms: u64,
    expiry: Timestamp,
}

/// An answer whose head has arrived, with the connection that carries its body.
#[derive(Debug)]
pub struct Reply {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    lease: Lease,
}

/// Exclusive use of a connection while an answer arrives on it.
#[derive(Debug)]
pub struct Lease {
    endpoint: EndpointId,
    started_ms: u64,
    connection: Connection<Full<Bytes>>,
    idle_limit: Duration,
}

impl Reply {
    /// Separates the answer from the lease of its connection.
    #[must_use]
    pub fn split(self) -> (Response<Incoming>, Lease) {
        (self.response, self.lease)
    }
}

/// The idle connections to all endpoints.
#[derive(Debug, Clone, Default)]
pub struct Upstream {
    idle: Rc<RefCell<HashMap<EndpointId, Vec<IdleConnection>>>>,
    /// How soon endpoints accept connections.
    acceptance: Rc<Cell<ReactionLimit>>,
    tasks: TaskTracker,
}

impl Upstream {
    /// Creates an empty pool whose connection tasks are spawned on `tasks`.
    #[must_use]
    pub fn new(tasks: TaskTracker) -> Self {
        Self {
            idle: Rc::default(),
            acceptance: Rc::default(),
            tasks,
        }
    }

    /// Sends a request, on an idle connection if there is a healthy one. `may_send` is asked
    /// immediately before the request is written.
    ///
    /// # Errors
    /// Returns a [`SendError`] if there is no answer; it states whether the request may have run.
    pub async fn send(
        &self,
        record: &EndpointRecord,
        mut request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool,
    ) -> Result<Reply, SendError> {
        let permitted = || may_send().then_some(()).ok_or(SendError::Unwanted);
        permitted()?;
        while let Some(connection) = self.take(record) {
            match attempt(connection, request, record).await {
                Err(AttemptError::Unsent(unsent)) => {
                    request = *unsent;
                    permitted()?;
                }
                Err(AttemptError::Failed(error)) => return Err(SendError::Broken(error)),
                Ok(reply) => return Ok(reply),
            }
        }
        let stream = self.connect(record.address).await?;
        let connection = Connection::open_on(stream, record.address, &self.tasks).await?;
        permitted()?;
        match attempt(connection, request, record).await {
            Err(AttemptError::Unsent(_)) => Err(SendError::Stale),
            Err(AttemptError::Failed(error)) => Err(SendError::Broken(error)),
            Ok(reply) => Ok(reply),
        }
    }

    /// Connects to an endpoint, and learns how soon it accepts.
    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, SendError> {
        let mut acceptance = self.acceptance.get();
        let began = clock::now();
        let connected = open_within(address, acceptance.limit()).await;
        acceptance = self.acceptance.get();
        match &connected {
            Ok(_) => acceptance.record_reaction(clock::now().since(began)),
            Err(SendError::ConnectTimeout(_)) => acceptance.record_silence(),
            Err(_) => {}
        }
        self.acceptance.set(acceptance);
        connected
    }

    /// Opens a connection to an endpoint. One that the endpoint keeps open is kept for the next
    /// request.
    pub async fn check(&self, record: &EndpointRecord) -> Liveness {
        let connection = match Connection::open(record.address, &self.tasks).await {
            Ok(connection) => connection,
            Err(error) if error.is_refused() => return Liveness::Refuses,
            Err(_) => return Liveness::Unknown,
        };
        tokio::time::sleep(ACCEPTED_TIME).await;
        if connection.sender.is_closed() {
            return Liveness::Unknown;
        }
        let idle = IdleConnection {
            connection,
            started_ms: record.started_ms,
            expiry: clock::now() + DEFAULT_IDLE_LIMIT - IDLE_MARGIN - ACCEPTED_TIME,
        };
        let mut pool = self.idle.borrow_mut();
        pool.entry(record.id.clone()).or_default().push(idle);
        Liveness::Accepts
    }

    fn take(&self, record: &EndpointRecord) -> Option<Connection<Full<Bytes>>> {
        let mut pool = self.idle.borrow_mut();
        let list = pool.get_mut(&record.id)?;
        let now = clock::now();
        while let Some(found) = list.pop() {
            if found.started_ms == record.started_ms
                && now < found.expiry
                && found.connection.sender.is_ready()
            {
                return Some(found.connection);
            }
        }
        None
    }

    /// Returns the connection of a complete answer to the pool, once it is ready for another
    /// request.
    pub async fn put_back(&self, mut lease: Lease) {
        if lease.idle_limit.is_zero() || lease.connection.sender.ready().await.is_err() {
            return;
        }
        let idle = IdleConnection {
            expiry: clock::now() + lease.idle_limit,
            started_ms: lease.started_ms,
            connection: lease.connection,
        };
        let mut pool = self.idle.borrow_mut();
        pool.entry(lease.endpoint).or_default().push(idle);
    }

    /// Closes connections that have been idle for too long, and those to endpoints that are no
    /// longer listed.
    pub fn trim(&self, is_listed: impl Fn(&str) -> bool) {
        let now = clock::now();
        let mut pool = self.idle.borrow_mut();
        pool.retain(|id, list| {
            list.retain(|idle| now < idle.expiry && !idle.connection.sender.is_closed());
            !list.is_empty() && is_listed(id)
        });
    }

    /// Closes the idle connections to one endpoint.
    pub fn close(&self, id: &EndpointId) {
        self.idle.borrow_mut().remove(id);
    }
}

enum AttemptError {
    Unsent(Box<Request<Full<Bytes>>>),
    Failed(hyper::Error),
}

async fn attempt(
    mut connection: Connection<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    record: &EndpointRecord,
) -> Result<Reply, AttemptError> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Reply {
            lease: Lease {
                endpoint: record.id.clone(),
                started_ms: record.started_ms,
                idle_limit: idle_limit(response.headers()),
                connection,
            },
            response,
        }),
        Err(mut error) => Err(match error.take_message() {
            Some(unsent) => AttemptError::Unsent(Box::new(unsent)),
            None => AttemptError::Failed(error.into_error()),
        }),
    }
}

/// Returns how long a connection may stay idle after an answer with these headers.
fn idle_limit(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let stated = text("keep-alive").and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let limit = stated.map_or(DEFAULT_IDLE_LIMIT, Duration::from_secs);
    limit
        .min(DEFAULT_IDLE_LIMIT * 4)
        .saturating_sub(IDLE_MARGIN)
}
