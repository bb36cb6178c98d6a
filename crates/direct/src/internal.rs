//! HTTP servers for readiness probes, metrics and snapshots. Their requests are answered without
//! waiting.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::accept::accept;
use crate::context::Context;

/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers a request without waiting for anything.
pub(crate) type Handler = fn(&Request<Incoming>, &Context) -> Response<Full<Bytes>>;

/// Answers requests with `handler` until `stop`.
pub(crate) async fn serve(
    listener: TcpListener,
    context: Rc<Context>,
    stop: CancellationToken,
    handler: Handler,
) {
    let serve = |stream| serve_connection(stream, Rc::clone(&context), stop.clone(), handler);
    accept(listener, &context.tasks, &stop, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    context: Rc<Context>,
    stop: CancellationToken,
    handler: Handler,
) {
    let service = service_fn(|request| {
        let response = handler(&request, &context);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        ended = connection => if let Err(error) = ended {
            log::debug!("a connection failed: {error}");
        }
    }
}
