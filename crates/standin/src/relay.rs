//! A TCP relay that can cut, hold and delay the data that it forwards.
//!
//! It connects to the target from the IP of its client, so that the target sees the address of the
//! original peer.

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

const CONNECTION_LIMIT: usize = 1_024;
const CHUNK_BYTES: usize = 16 * 1024;

/// How the relay handles received bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Flow {
    /// Forwards them.
    #[default]
    Pass,
    /// Forwards them after this time.
    Delay(Duration),
    /// Holds them, in both directions.
    Hold,
    /// Holds bytes to the target and forwards bytes from it.
    HoldForward,
    /// Forwards bytes to the target and holds bytes from it.
    HoldBack,
    /// Closes open connections, and closes new ones immediately.
    Cut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forward,
    Back,
}

/// A relay to one target. Dropping it stops the relay and closes its connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    flow: watch::Sender<Flow>,
    received: Arc<AtomicU64>,
    _stop: DropGuard,
}

impl Relay {
    /// Listens on a free port of `ip` and relays to `target`.
    ///
    /// # Errors
    /// Returns a [`ProcessError`] if the listener cannot be opened.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> Result<Self, ProcessError> {
        let listener = server::bind((ip, 0).into()).await?;
        let address = listener.local_addr()?;
        let (flow, flows) = watch::channel(Flow::Pass);
        let received = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let (closing, counter) = (stop.clone(), Arc::clone(&received));
        let accepting = server::accept(
            listener,
            CONNECTION_LIMIT,
            stop.clone(),
            move |stream, peer| {
                let (flows, closing, counter) =
                    (flows.clone(), closing.clone(), Arc::clone(&counter));
                async move {
                    tokio::select! {
                        () = closing.cancelled() => {}
                        () = relay_connection(stream, peer.ip(), target, flows, counter) => {}
                    }
                }
            },
        );
        tokio::spawn(accepting);
        Ok(Self {
            address,
            flow,
            received,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address on which the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the relay handles bytes, including those of open connections.
    pub fn set_flow(&self, flow: Flow) {
        self.flow.send_replace(flow);
    }

    /// Returns the number of bytes received for the target so far, including bytes that were held
    /// or dropped.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

async fn relay_connection(
    stream: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    mut flows: watch::Receiver<Flow>,
    counter: Arc<AtomicU64>,
) {
    if *flows.borrow() == Flow::Cut {
        return;
    }
    let Ok(target_stream) = dial::tcp(source, target).await else {
        return;
    };
    let (client_read, client_write) = stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let back_counter = Arc::default();
    let forward = copy(
        client_read,
        target_write,
        Direction::Forward,
        flows.clone(),
        counter,
    );
    let back = copy(
        target_read,
        client_write,
        Direction::Back,
        flows.clone(),
        back_counter,
    );
    tokio::select! {
        _ = flows.wait_for(|flow| *flow == Flow::Cut) => {}
        _ = async { tokio::join!(forward, back) } => {}
    }
}

/// Copies one direction until the sender closes it, and then closes it towards the receiver.
async fn copy(
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
            .wait_for(|flow| !is_held(*flow, direction))
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

fn is_held(flow: Flow, direction: Direction) -> bool {
    match flow {
        // Bytes that are held when the connection is cut must not reach the receiver.
        Flow::Hold | Flow::Cut => true,
        Flow::HoldForward => direction == Direction::Forward,
        Flow::HoldBack => direction == Direction::Back,
        Flow::Pass | Flow::Delay(_) => false,
    }
}
