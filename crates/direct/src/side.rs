//! Small HTTP servers beside the callers' one: readiness, metrics and snapshots, each answered at once.

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
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::context::Context;

/// How long a connection may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Gives an answer without waiting for anything.
pub(crate) type Handler = fn(&Request<Incoming>, &Context) -> Response<Full<Bytes>>;

/// Answers with `handler` until `stop`.
pub(crate) async fn serve(
    listener: TcpListener,
    context: Rc<Context>,
    stop: CancellationToken,
    handler: Handler,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (shared, stop) = (Rc::clone(&context), stop.clone());
        context.tasks.spawn_local(async move {
            let service = service_fn(|request| {
                let response = handler(&request, &shared);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = stop.cancelled() => {}
                ended = connection => if let Err(error) = ended {
                    log::debug!("a connection ended: {error}");
                }
            }
        });
    }
}
