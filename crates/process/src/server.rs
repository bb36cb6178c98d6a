//! TCP and HTTP servers that limit connections, header size and header time, and that finish the
//! requests in progress when they are stopped.

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

/// Longest time that a client may take to send a header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest header, in bytes.
const HEADER_LIMIT_BYTES: usize = 32 * 1024;

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a listener to an address.
///
/// # Errors
/// Returns [`ProcessError::Listen`] if the address is in use or does not belong to this host.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| ProcessError::Listen { address, source })
}

/// Prints the address of a listener to standard output, so that a parent process that set port zero
/// can read the port.
pub fn announce(port: &str, listener: &TcpListener) {
    if let Ok(address) = listener.local_addr() {
        println!("listening {port} {address}");
    }
}

/// Accepts connections until `stop` and serves each in its own task, at most `limit` at a time.
/// Returns when all tasks have ended. Connections over the limit are closed at once.
pub async fn accept<F>(
    listener: TcpListener,
    limit: usize,
    stop: CancellationToken,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let tasks = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!(peer:% = peer; "connection rejected: {limit} connections are open");
            continue;
        };
        let _ = stream.set_nodelay(true);
        let task = serve(stream, peer);
        tasks.spawn(async move {
            task.await;
            drop(permit);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

/// Serves HTTP/1.1 on one connection. After `stop` it finishes the request in progress and closes
/// the connection.
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
