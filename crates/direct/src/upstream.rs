//! Connections to endpoints: kept while they are sound, one request at a time on each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointId, EndpointRecord};
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

use crate::clock;

/// How long an endpoint may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_000);

/// Idle time and interval of the probes that find connections which went silent.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBES_LIMIT: u32 = 2;

/// How long a connection is kept when the endpoint does not say how long it does.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// How much earlier than the endpoint a kept connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Largest header of an endpoint's answer, in bytes.
const HEADER_LIMIT_BYTES: usize = 64 * 1024;

/// Why an endpoint gave no answer.
#[derive(Debug, Display, Error)]
pub enum SendError {
    /// No connection opened, so nothing was sent.
    #[display("cannot connect: {_0}")]
    Connect(std::io::Error),
    /// No connection opened in time, so nothing was sent.
    #[display("no connection within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    /// A kept connection had closed before anything was written to it.
    #[display("the kept connection had closed")]
    Stale,
    /// The connection broke after the request may have left.
    #[display("the connection broke: {_0}")]
    Broken(hyper::Error),
}

impl SendError {
    /// Whether the endpoint cannot have got the request.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        !matches!(self, Self::Broken(_))
    }
}

/// Opens a TCP connection on which silence is noticed.
///
/// # Errors
/// Returns a [`SendError`] if the peer does not accept in time.
pub async fn open(address: SocketAddr) -> Result<TcpStream, SendError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| SendError::ConnectTimeout)?;
    let stream = stream.map_err(SendError::Connect)?;
    watch_silence(&stream).map_err(SendError::Connect)?;
    Ok(stream)
}

/// Lets the system give a connection up whose peer has gone without a word.
///
/// # Errors
/// Returns the error of the socket.
pub fn watch_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_LIMIT);
    socket.set_tcp_keepalive(&probes)
}

/// An HTTP connection and the task that moves its bytes. Dropping it ends both.
#[derive(Debug)]
pub struct Connection<B> {
    /// Where requests go.
    pub sender: SendRequest<B>,
    task: AbortHandle,
}

impl<B> Connection<B>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    /// Connects to a server. `tasks` joins the connection's task.
    ///
    /// # Errors
    /// Returns a [`SendError`] if the peer does not accept in time.
    pub async fn open(address: SocketAddr, tasks: &TaskTracker) -> Result<Self, SendError> {
        let stream = open(address).await?;
        let handshake = http1::Builder::new()
            .max_buf_size(HEADER_LIMIT_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(SendError::Broken)?;
        let task = tasks.spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
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
struct Kept {
    connection: Connection<Full<Bytes>>,
    until: Timestamp,
}

/// An answer that has begun, and the connection on which it comes.
#[derive(Debug)]
pub struct Reply {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    lease: Lease,
}

/// Holds a connection while an answer comes on it.
#[derive(Debug)]
pub struct Lease {
    endpoint: EndpointId,
    connection: Connection<Full<Bytes>>,
    idle: Duration,
}

impl Reply {
    /// Parts the answer from its connection.
    #[must_use]
    pub fn split(self) -> (Response<Incoming>, Lease) {
        (self.response, self.lease)
    }
}

/// Every connection that is kept.
#[derive(Debug, Clone, Default)]
pub struct Upstream {
    kept: Rc<RefCell<HashMap<EndpointId, Vec<Kept>>>>,
    tasks: TaskTracker,
}

impl Upstream {
    /// Connections whose tasks are joined through `tasks`.
    #[must_use]
    pub fn new(tasks: TaskTracker) -> Self {
        Self {
            kept: Rc::default(),
            tasks,
        }
    }

    /// Sends a request, on a kept connection if there is a sound one.
    ///
    /// # Errors
    /// Returns a [`SendError`] if there is no answer; it tells whether the request may have run.
    pub async fn send(
        &self,
        listing: &EndpointRecord,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Reply, SendError> {
        while let Some(connection) = self.take(&listing.id) {
            match attempt(connection, request, listing).await {
                Err(Attempt::Unsent(unsent)) => request = *unsent,
                Err(Attempt::Failed(error)) => return Err(SendError::Broken(error)),
                Ok(reply) => return Ok(reply),
            }
        }
        let connection = Connection::open(listing.address, &self.tasks).await?;
        match attempt(connection, request, listing).await {
            Err(Attempt::Unsent(_)) => Err(SendError::Stale),
            Err(Attempt::Failed(error)) => Err(SendError::Broken(error)),
            Ok(reply) => Ok(reply),
        }
    }

    fn take(&self, id: &EndpointId) -> Option<Connection<Full<Bytes>>> {
        let mut kept = self.kept.borrow_mut();
        let list = kept.get_mut(id)?;
        let now = clock::now();
        while let Some(found) = list.pop() {
            if now < found.until && found.connection.sender.is_ready() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Keeps the connection of an answer that came whole, once it is free.
    pub async fn keep(&self, mut lease: Lease) {
        if lease.idle.is_zero() || lease.connection.sender.ready().await.is_err() {
            return;
        }
        let kept = Kept {
            until: clock::now() + lease.idle,
            connection: lease.connection,
        };
        let mut lists = self.kept.borrow_mut();
        lists.entry(lease.endpoint).or_default().push(kept);
    }

    /// Closes the connections that have been idle for too long, and those to endpoints that are no
    /// longer listed.
    pub fn trim(&self, is_listed: impl Fn(&str) -> bool) {
        let now = clock::now();
        let mut kept = self.kept.borrow_mut();
        kept.retain(|id, list| {
            list.retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
            !list.is_empty() && is_listed(id)
        });
    }

    /// Closes the kept connections to one endpoint.
    pub fn close(&self, id: &EndpointId) {
        self.kept.borrow_mut().remove(id);
    }
}

enum Attempt {
    Unsent(Box<Request<Full<Bytes>>>),
    Failed(hyper::Error),
}

async fn attempt(
    mut connection: Connection<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    listing: &EndpointRecord,
) -> Result<Reply, Attempt> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Reply {
            lease: Lease {
                endpoint: listing.id.clone(),
                idle: idle(response.headers()),
                connection,
            },
            response,
        }),
        Err(mut error) => Err(match error.take_message() {
            Some(unsent) => Attempt::Unsent(Box::new(unsent)),
            None => Attempt::Failed(error.into_error()),
        }),
    }
}

/// How long a connection may be kept after an answer with these headers.
fn idle(headers: &HeaderMap) -> Duration {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let stated = text("keep-alive").and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let limit = stated.map_or(IDLE_LIMIT, Duration::from_secs);
    limit.min(IDLE_LIMIT * 4).saturating_sub(IDLE_MARGIN)
}
