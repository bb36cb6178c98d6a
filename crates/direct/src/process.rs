//! Starts a direct entry, runs its tasks and shuts it down.

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
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::buffers::Buffers;
use crate::clock;
use crate::context::Context;
use crate::dialect::Dialect;
use crate::follow::Follower;
use crate::metrics::Metrics;
use crate::peers::PeerSocket;
use crate::settings::Settings;
use crate::store::{Section, Store};
use crate::{front, gossip, internal, origins, run_survey, snapshot};

/// Interval at which waiting requests are processed and timer lag is measured.
const TICK: Duration = Duration::from_millis(20);

/// Ticks between two trims of idle connections.
const TRIM_TICKS: u64 = 25;

/// How long a leaving process accepts new connections. The platform sends callers here until two
/// readiness probes have failed.
const LEAVING_ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// Part of the grace period in which a leaving process finishes its requests.
const GRACE_PART: f64 = 0.95;

/// How long a process that has answered its callers waits until others keep the origins of their
/// streams.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// How long tasks may take to end after the grace period.
const JOIN_TIME: Duration = Duration::from_millis(100);

/// Addresses of a process and of its first peers, and its data centre.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// Listens for callers.
    pub front: SocketAddr,
    /// Listens for readiness probes.
    pub ready: SocketAddr,
    /// Listens for peers: reports as datagrams, and snapshots over HTTP.
    pub peer: SocketAddr,
    /// Serves metrics, if set.
    pub metrics: Option<SocketAddr>,
    /// Peers that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The data centre of this host.
    pub centre: Arc<str>,
}

/// Why a process cannot start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[display("cannot listen on {address}: {source}; check the address in the settings")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the bind call.
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

/// Runs a direct entry until SIGTERM, then until its requests have finished.
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
        addresses,
        bounds,
        policies,
        time_limits,
        capacity,
        memory,
        ..
    } = settings;
    let front = bind(addresses.front).await?;
    let ready = bind(addresses.ready).await?;
    let peers = bind(addresses.peer).await?;
    let datagrams = PeerSocket::bind(addresses.peer).await;
    let datagrams = datagrams.map_err(|source| StartError::Listen {
        address: addresses.peer,
        source,
    })?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::Signal)?;
    let metrics = Metrics::new(Registry::new()).map_err(StartError::Metrics)?;
    let buffers = match memory {
        Some(memory) => {
            Buffers::with_memory(memory, metrics.held.clone(), metrics.slow_callers.clone())
        }
        None => Buffers::default(),
    };
    let boot = rand::random();
    let scheduler = Scheduler::new(
        addresses.peer,
        addresses.centre,
        addresses.seeds,
        bounds,
        boot,
    )
    .with_capacity(capacity)
    .with_policies(policies)
    .with_start(clock::now());
    let (tasks, callers) = (TaskTracker::new(), TaskTracker::new());
    let context = Context::new(
        scheduler,
        datagrams,
        dialect,
        time_limits,
        metrics,
        tasks.clone(),
    );
    let context = Rc::new(context.with_buffers(buffers));
    let (stop, finish) = (CancellationToken::new(), CancellationToken::new());
    let store = Rc::new(store);
    for section in Section::ALL {
        let follower = Follower::new(Rc::clone(&context), Rc::clone(&store), section);
        tasks.spawn_local(follower.run(finish.clone()));
    }
    tasks.spawn_local(gossip::send_reports(Rc::clone(&context), finish.clone()));
    tasks.spawn_local(gossip::receive_messages(
        Rc::clone(&context),
        finish.clone(),
    ));
    let serve = |listener, handler| {
        tasks.spawn_local(internal::serve(
            listener,
            Rc::clone(&context),
            finish.clone(),
            handler,
        ));
    };
    serve(peers, snapshot::answer);
    serve(ready, answer_probe);
    if let Some(address) = addresses.metrics {
        serve(bind(address).await?, answer_probe);
    }
    tasks.spawn_local(run_survey::run(Rc::clone(&context), finish.clone()));
    tasks.spawn_local(run_ticks(Rc::clone(&context), finish.clone()));
    tasks.spawn_local(front::serve(
        front,
        callers.clone(),
        Rc::clone(&context),
        stop.clone(),
    ));
    log::info!(front:% = addresses.front, boot = boot; "started");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reload_settings(path, &context),
        }
    }
    log::info!("leaving on SIGTERM");
    let tasks = Tasks {
        callers,
        others: tasks,
    };
    tasks.shut_down(&context, &stop, &finish).await;
    Ok(())
}

/// Reloads the seeds and the limit on hedges from the settings file. A change of any other setting
/// needs a restart.
fn reload_settings(path: &Path, context: &Context) {
    match Settings::load(path) {
        Ok(settings) => {
            let part = settings.policies.hedge_part;
            log::info!(seeds:? = settings.addresses.seeds, hedge_part = part; "settings reloaded");
            let mut scheduler = context.scheduler.borrow_mut();
            scheduler.set_seeds(settings.addresses.seeds);
            scheduler.set_hedge_part(part);
        }
        Err(error) => log::error!("cannot reload the settings, keeping the old ones: {error}"),
    }
}

/// The tasks of a process.
struct Tasks {
    /// One for each caller's connection.
    callers: TaskTracker,
    others: TaskTracker,
}

impl Tasks {
    /// Stops accepting connections after a delay, waits until all callers have their answers, and
    /// joins all tasks. Until then all decisions go on, and the store and the peers are followed.
    async fn shut_down(
        &self,
        context: &Context,
        stop: &CancellationToken,
        finish: &CancellationToken,
    ) {
        let end = clock::now() + context.limits.grace.mul_f64(GRACE_PART);
        context.start_leaving();
        let grace = end.since(clock::now());
        tokio::time::sleep(LEAVING_ACCEPT_TIME.min(grace / 2)).await;
        stop.cancel();
        self.callers.close();
        self.others.close();
        let left = end.since(clock::now());
        let answered = tokio::time::timeout(left, self.callers.wait()).await;
        if answered.is_err() {
            context.refuse_waiting();
        }
        let left = end.since(clock::now());
        hand_over_origins(context, left.min(HANDOVER_TIME)).await;
        finish.cancel();
        let left = end.since(clock::now()).max(JOIN_TIME);
        let joined = async { tokio::join!(self.callers.wait(), self.others.wait()) };
        if tokio::time::timeout(left, joined).await.is_err() {
            log::warn!("leaving with unfinished requests: the grace period has ended");
        }
        log::info!("left");
    }
}

/// Waits until other entries keep the origins that this one knows, for at most `limit`.
async fn hand_over_origins(context: &Context, limit: Duration) {
    let replicated = async {
        while !context.scheduler.borrow().are_origins_replicated() {
            tokio::time::sleep(TICK).await;
        }
    };
    if tokio::time::timeout(limit, replicated).await.is_err() {
        log::warn!("leaving before others have confirmed the origins of all streams");
    }
}

async fn run_ticks(context: Rc<Context>, stop: CancellationToken) {
    let mut count: u64 = 0;
    loop {
        let slept_at = Instant::now();
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(TICK) => {}
        }
        context.record_lag(slept_at.elapsed().saturating_sub(TICK));
        count += 1;
        origins::replicate(&context);
        if context.is_waiting() {
            context.process_queues();
        }
        if count.is_multiple_of(TRIM_TICKS) {
            let scheduler = context.scheduler.borrow();
            let is_listed = |id: &str| scheduler.endpoints().get(id).is_some();
            context.upstream.trim(is_listed);
            drop(scheduler);
            context.remove_expired();
            context.release_kept();
            context.update_gauges();
            if count.is_multiple_of(TRIM_TICKS * 4) {
                context.log_endpoints();
                context.publish_teams();
            }
        }
    }
}

/// Answers readiness probes on the platform's path, and any other path with the metrics.
fn answer_probe(request: &Request<Incoming>, context: &Context) -> Response<Full<Bytes>> {
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
            log::warn!("cannot encode metrics: {error}");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}
