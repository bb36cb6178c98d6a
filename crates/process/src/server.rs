//! HTTP servers with bounded connections, headers and idle time, which drain when told to stop.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, server::conn::http1};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::Answer;
use crate::error::ProcessError;

/// How long a peer may take to send a header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest header, in bytes.
const HEADER_LIMIT_BYTES: usize = 32 * 1024;

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds an address.
///
/// # Errors
/// Returns [`ProcessError::Listen`] if it is taken or not this host's.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ProcessError::Listen { address, source })
}

/// Prints which address a port has, for whoever started the process on port zero.
pub fn announce(port: &str, listener: &TcpListener) {
    if let Ok(address) = listener.local_addr() {
        println!("listening {port} {address}");
    }
}

/// Accepts connections until `stop`, each in a task of its own, at most `limit` at once, and joins
/// them all.
pub async fn accept<F>(
    listener: TcpListener,
    limit: usize,
    stop: CancellationToken,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let tasks = TaskTracker::new();
    let slots = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            log::warn!(peer:% = peer; "connection refused: {limit} are open");
            continue;
        };
        let _ = stream.set_nodelay(true);
        let task = serve(stream, peer);
        tasks.spawn(async move {
            task.await;
            drop(slot);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

/// Serves HTTP/1.1 on one connection. After `stop` it finishes the request under way and closes.
pub async fn http<H, F>(stream: TcpStream, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Answer>,
{
    let service = service_fn(|request| {
        let answer = handler(request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(HEADER_LIMIT_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection ended: {error}");
    }
}
