//! What one entry asks another that knows something newer of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::direct::{Section, Snapshot};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;

use crate::clock;
use crate::context::Context;
use crate::upstream::{SendError, open};

/// Path of the snapshot; the version of the configuration that the asker holds follows, and the
/// revision of the store up to which it knows the endpoints.
const SNAPSHOT_PATH: &str = "/snapshot/";

/// How long a peer may take to give its snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest snapshot, in bytes.
const SNAPSHOT_LIMIT_BYTES: usize = 16 << 20;

/// Why a peer gave no snapshot.
#[derive(Debug, Display, Error, From)]
enum FetchError {
    /// It cannot be reached.
    Open(SendError),
    /// The path cannot be written.
    Path(hyper::http::uri::InvalidUri),
    /// The connection failed.
    Connection(hyper::Error),
    /// The snapshot cannot be read.
    Unreadable(rmp_serde::decode::Error),
    /// The snapshot broke off or is too large.
    #[from(ignore)]
    #[display("the snapshot broke off")]
    Incomplete,
}

/// Gives the snapshot.
pub(crate) fn answer(request: &Request<Incoming>, context: &Context) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    let held = request.uri().path().strip_prefix(SNAPSHOT_PATH);
    let held = held.and_then(|held| held.split_once('/'));
    let held = held.and_then(|(v, r)| Some((v.parse().ok()?, r.parse().ok()?)));
    let Some((version, revision)) = held.filter(|_| request.method() == Method::GET) else {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let snapshot = context
        .scheduler
        .borrow()
        .snapshot(version, revision, clock::now());
    match rmp_serde::to_vec(&snapshot) {
        Ok(bytes) => *response.body_mut() = Full::new(bytes.into()),
        Err(error) => {
            log::warn!("a snapshot cannot be written: {error}");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}

/// Takes what is newer from a peer.
pub(crate) async fn fetch(context: &Rc<Context>, from: SocketAddr) {
    let held = {
        let scheduler = context.scheduler.borrow();
        let revision = scheduler.store_progress().revision(Section::Endpoints);
        format!("{SNAPSHOT_PATH}{}/{revision}", scheduler.plan().version)
    };
    let snapshot = match tokio::time::timeout(FETCH_TIMEOUT, request(from, &held)).await {
        Ok(Ok(snapshot)) => snapshot,
        Ok(Err(error)) => return log::info!(peer:% = from; "no snapshot: {error}"),
        Err(_) => return log::info!(peer:% = from; "no snapshot in time"),
    };
    let [configuration, endpoints] = snapshot.revisions;
    log::info!(peer:% = from, configuration = configuration, endpoints = endpoints; "taken from a peer");
    let mut scheduler = context.scheduler.borrow_mut();
    if scheduler.apply_snapshot(snapshot, clock::now()) {
        let version = scheduler.plan().version;
        log::info!(version = version, peer:% = from; "configuration in force, from a peer");
    }
    drop(scheduler);
    context.settle();
}

async fn request(from: SocketAddr, path: &str) -> Result<Snapshot, FetchError> {
    let stream = open(from).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = path.parse()?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let body = Limited::new(response.into_body(), SNAPSHOT_LIMIT_BYTES);
        let body = body.collect().await.map_err(|_| FetchError::Incomplete)?;
        Ok(rmp_serde::from_slice(&body.to_bytes())?)
    };
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        snapshot = &mut exchange => snapshot,
        ended = connection => match ended {
            Ok(()) => exchange.await,
            Err(error) => Err(error.into()),
        }
    }
}
