//! A TCP relay that can cut, hold and delay what passes through it.
//!
//! It connects onward from the IP that the connection came from, so that a process behind it still
//! sees who calls.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use comfreyhaven_process::dial;
use comfreyhaven_process::error::ProcessError;
use comfreyhaven_process::server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

const CONNECTIONS_LIMIT: usize = 1_024;
const CHUNK_BYTES: usize = 16 * 1024;

/// What happens to bytes that arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Flow {
    /// They pass.
    #[default]
    Pass,
    /// They pass after this time.
    Delay(Duration),
    /// They wait, in both directions.
    Hold,
    /// Bytes towards the target wait; answers pass.
    HoldForward,
    /// Answers wait; bytes towards the target pass.
    HoldBack,
    /// Open connections are closed and new ones are closed at once.
    Cut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

/// A relay to one target. It ends when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    flow: watch::Sender<Flow>,
    forwarded: Arc<AtomicU64>,
    _stop: DropGuard,
}

impl Relay {
    /// Listens on any port of `ip` and relays to `target`.
    ///
    /// # Errors
    /// Returns a [`ProcessError`] if no port can be listened on.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> Result<Self, ProcessError> {
        let listener = server::bind((ip, 0).into()).await?;
        let address = listener.local_addr()?;
        let (flow, flows) = watch::channel(Flow::Pass);
        let forwarded = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let (closing, counter) = (stop.clone(), Arc::clone(&forwarded));
        let relaying = server::accept(
            listener,
            CONNECTIONS_LIMIT,
            stop.clone(),
            move |stream, peer| {
                let (flows, closing, counter) =
                    (flows.clone(), closing.clone(), Arc::clone(&counter));
                async move {
                    tokio::select! {
                        () = closing.cancelled() => {}
                        () = connection(stream, peer.ip(), target, flows, counter) => {}
                    }
                }
            },
        );
        tokio::spawn(relaying);
        Ok(Self {
            address,
            flow,
            forwarded,
            _stop: stop.drop_guard(),
        })
    }

    /// Where the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to bytes, on open connections too.
    pub fn set(&self, flow: Flow) {
        self.flow.send_replace(flow);
    }

    /// Bytes that have arrived for the target so far, whether they were passed on or not.
    #[must_use]
    pub fn arrived(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }
}

async fn connection(
    stream: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    mut flows: watch::Receiver<Flow>,
    counter: Arc<AtomicU64>,
) {
    if *flows.borrow() == Flow::Cut {
        return;
    }
    let Ok(onward) = dial::tcp(source, target).await else {
        return;
    };
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = onward.into_split();
    let back_counter = Arc::default();
    let forward = pass(
        near_read,
        far_write,
        Direction::Forward,
        flows.clone(),
        counter,
    );
    let back = pass(
        far_read,
        near_write,
        Direction::Back,
        flows.clone(),
        back_counter,
    );
    tokio::select! {
        _ = flows.wait_for(|flow| *flow == Flow::Cut) => {}
        _ = async { tokio::join!(forward, back) } => {}
    }
}

/// Copies one direction until its end, and passes the end on.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut flows: watch::Receiver<Flow>,
    counter: Arc<AtomicU64>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        counter.fetch_add(length as u64, Ordering::Relaxed);
        let flow = flows
            .wait_for(|flow| !holds(*flow, direction))
            .await
            .map(|flow| *flow);
        if let Ok(Flow::Delay(delay)) = flow {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

fn holds(flow: Flow, direction: Direction) -> bool {
    match flow {
        // What was held when a connection is cut is lost.
        Flow::Hold | Flow::Cut => true,
        Flow::HoldForward => direction == Direction::Forward,
        Flow::HoldBack => direction == Direction::Back,
        Flow::Pass | Flow::Delay(_) => false,
    }
}
