//! A direct entry from start to exit.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreyhaven_core::direct::Scheduler;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock;
use crate::context::Context;
use crate::dialect::Dialect;
use crate::follow::Follower;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::store::{Section, Store};
use crate::{front, gossip, peer, side};

/// How often connections are trimmed and waiting requests are looked at.
const TICK: Duration = Duration::from_millis(20);

/// Ticks between two trims of kept connections.
const TRIM_TICKS: u64 = 25;

/// How long a leaving process goes on taking new connections: callers are sent on until the
/// platform has asked twice whether it is ready.
const LINGER: Duration = Duration::from_millis(2_500);

/// Part of the grace period in which a leaving process finishes its work.
const GRACE_PART: f64 = 0.95;

/// Where a process listens and whom it finds first.
#[derive(Debug, Clone)]
pub struct Places {
    /// Callers.
    pub front: SocketAddr,
    /// Readiness questions.
    pub ready: SocketAddr,
    /// Peers: datagrams, and snapshots over HTTP.
    pub peer: SocketAddr,
    /// Metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Peers that are tried first.
    pub seeds: Vec<SocketAddr>,
    /// The data centre of this host.
    pub centre: Arc<str>,
}

/// Why a process ends.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[display("cannot listen on {address}: {source}; check the address in the settings")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[display("cannot wait for signals: {_0}")]
    Signal(std::io::Error),
    /// The metrics cannot be registered.
    #[display("cannot register metrics: {_0}")]
    Metrics(prometheus::Error),
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen { address, source })
}

/// Runs a direct entry until it is told to leave and has finished.
///
/// # Errors
/// Returns a [`StartError`] if an address is taken or the process cannot be set up.
pub async fn run<S: Store + 'static>(
    settings: Settings,
    path: &Path,
    dialect: Dialect,
    store: S,
) -> Result<(), StartError> {
    let Settings {
        places,
        bounds,
        times,
        ..
    } = settings;
    let front = bind(places.front).await?;
    let ready = bind(places.ready).await?;
    let peers = bind(places.peer).await?;
    let datagrams = UdpSocket::bind(places.peer).await;
    let datagrams = Rc::new(datagrams.map_err(|source| StartError::Listen {
        address: places.peer,
        source,
    })?);
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::Signal)?;
    let metrics = Metrics::new(Registry::new()).map_err(StartError::Metrics)?;
    let boot = rand::random();
    let scheduler = Scheduler::new(places.peer, places.centre, places.seeds, bounds, boot);
    let tasks = TaskTracker::new();
    let context = Context::new(scheduler, dialect, times, metrics, tasks.clone());
    let (stop, finish) = (CancellationToken::new(), CancellationToken::new());
    let store = Rc::new(store);
    for section in Section::ALL {
        let follower = Follower::new(Rc::clone(&context), Rc::clone(&store), section);
        tasks.spawn_local(follower.run(finish.clone()));
    }
    let (socket, shared) = (Rc::clone(&datagrams), Rc::clone(&context));
    tasks.spawn_local(gossip::tell(socket, shared, finish.clone()));
    tasks.spawn_local(gossip::listen(
        datagrams,
        Rc::clone(&context),
        finish.clone(),
    ));
    let serve = |listener, handler| {
        tasks.spawn_local(side::serve(
            listener,
            Rc::clone(&context),
            finish.clone(),
            handler,
        ));
    };
    serve(peers, peer::answer);
    serve(ready, probe);
    if let Some(address) = places.metrics {
        serve(bind(address).await?, probe);
    }
    tasks.spawn_local(tick(Rc::clone(&context), finish.clone()));
    tasks.spawn_local(front::serve(front, Rc::clone(&context), stop.clone()));
    log::info!(front:% = places.front, boot = boot; "started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reread(path, &context),
        }
    }
    log::info!("leaving on SIGTERM");
    leave(&context, &tasks, stop, finish).await;
    Ok(())
}

/// Takes the seeds of a settings file that may have changed; whatever else stands there needs a restart.
fn reread(path: &Path, context: &Context) {
    match Settings::load(path) {
        Ok(settings) => {
            log::info!(seeds:? = settings.places.seeds; "settings read again");
            context
                .scheduler
                .borrow_mut()
                .set_seeds(settings.places.seeds);
        }
        Err(error) => log::error!("the settings stay as they were: {error}"),
    }
}

/// Takes nothing new after a while, finishes what is under way, and joins every task.
async fn leave(
    context: &Context,
    tasks: &TaskTracker,
    stop: CancellationToken,
    finish: CancellationToken,
) {
    let begun = clock::now();
    let grace = context.times.grace.mul_f64(GRACE_PART);
    context.leave();
    tokio::time::sleep(LINGER.min(grace / 2)).await;
    stop.cancel();
    while clock::now().since(begun) < grace && !context.is_idle() {
        tokio::time::sleep(TICK).await;
    }
    finish.cancel();
    tasks.close();
    let rest = grace.saturating_sub(clock::now().since(begun));
    if tokio::time::timeout(rest.max(TICK * 5), tasks.wait())
        .await
        .is_err()
    {
        log::warn!("leaving with work under way: the grace period is over");
    }
    log::info!("left");
}

async fn tick(context: Rc<Context>, stop: CancellationToken) {
    let mut count: u64 = 0;
    loop {
        let asleep = Instant::now();
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(TICK) => {}
        }
        context.note_lag(asleep.elapsed().saturating_sub(TICK));
        count += 1;
        if context.is_waiting() {
            context.settle();
        }
        if count.is_multiple_of(TRIM_TICKS) {
            let scheduler = context.scheduler.borrow();
            let listed = |id: &str| scheduler.endpoints().get(id).is_some();
            context.upstream.trim(listed);
            drop(scheduler);
            context.drop_lapsed();
            context.measure();
            if count.is_multiple_of(TRIM_TICKS * 4) {
                context.describe();
            }
        }
    }
}

/// Answers whether this process takes callers, and gives its metrics.
fn probe(request: &Request<Incoming>, context: &Context) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if request.uri().path() == context.dialect.ready {
        if context.is_leaving() || !context.is_current(clock::now()) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        return response;
    }
    let mut text = Vec::new();
    let families = context.metrics.registry().gather();
    match TextEncoder::new().encode(&families, &mut text) {
        Ok(()) => *response.body_mut() = Full::new(text.into()),
        Err(error) => {
            log::warn!("metrics cannot be written: {error}");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}
