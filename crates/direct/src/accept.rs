//! Accepts connections and serves each in its own task.

use std::future::Future;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `stop`, and serves each in a task spawned on `tasks`.
pub(crate) async fn accept<F>(
    listener: TcpListener,
    tasks: &TaskTracker,
    stop: &CancellationToken,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => drop(tasks.spawn_local(serve(stream))),
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_ERROR_DELAY).await;
            }
        }
    }
}
