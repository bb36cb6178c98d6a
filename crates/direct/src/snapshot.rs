//! Snapshots of the store's state, which an entry fetches from a peer that knows newer changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::direct::{Section, Snapshot, StoreRevision};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;

use crate::clock;
use crate::context::Context;
use crate::upstream::{SendError, open};

/// Path of the snapshot. It is followed by the version of the configuration that the requesting
/// entry has, and by the era and the revision of the store up to which it knows the endpoints.
const SNAPSHOT_PATH: &str = "/snapshot/";

/// How long a peer may take to answer with its snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest snapshot, in bytes.
const SNAPSHOT_LIMIT_BYTES: usize = 16 << 20;

/// Why a snapshot could not be fetched.
#[derive(Debug, Display, Error, From)]
enum FetchError {
    /// The peer cannot be reached.
    Open(SendError),
    /// The path is not a valid URI.
    Path(hyper::http::uri::InvalidUri),
    /// The connection failed.
    Connection(hyper::Error),
    /// The snapshot cannot be decoded.
    Unreadable(rmp_serde::decode::Error),
    /// The snapshot ended early or is too large.
    #[from(ignore)]
    #[display("the snapshot ended early or is too large")]
    Incomplete,
}

/// Answers a request for a snapshot.
pub(crate) fn answer(request: &Request<Incoming>, context: &Context) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    let known = request.uri().path().strip_prefix(SNAPSHOT_PATH);
    let known = known.and_then(parse_known);
    let Some((version, revision)) = known.filter(|_| request.method() == Method::GET) else {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let snapshot = context
        .scheduler
        .borrow()
        .snapshot(version, revision, clock::now());
    // With names, so that entries of other builds skip what they do not know.
    match rmp_serde::to_vec_named(&snapshot) {
        Ok(bytes) => *response.body_mut() = Full::new(bytes.into()),
        Err(error) => {
            log::warn!("cannot encode snapshot: {error}");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}

/// Parses what the requesting entry knows: its version, and the era and revision of the store.
fn parse_known(text: &str) -> Option<(u64, StoreRevision)> {
    let mut parts = text.split('/').map(|part| part.parse().ok());
    let (version, era, revision) = (parts.next()??, parts.next()??, parts.next()??);
    parts
        .next()
        .is_none()
        .then_some((version, StoreRevision::new(era, revision)))
}

/// Fetches a peer's snapshot and applies what is newer.
pub(crate) async fn fetch(context: &Rc<Context>, from: SocketAddr) {
    let known = {
        let scheduler = context.scheduler.borrow();
        let revision = scheduler.store_progress().revision(Section::Endpoints);
        let StoreRevision { era, revision } = revision;
        format!(
            "{SNAPSHOT_PATH}{}/{era}/{revision}",
            scheduler.plan().version
        )
    };
    let requested = clock::now();
    let snapshot = match tokio::time::timeout(FETCH_TIMEOUT, request(from, &known)).await {
        Ok(Ok(snapshot)) => snapshot,
        Ok(Err(error)) => return log::info!(peer:% = from; "cannot fetch snapshot: {error}"),
        Err(_) => return log::info!(peer:% = from; "cannot fetch snapshot: no answer in time"),
    };
    let [configuration, endpoints] = snapshot.revisions;
    log::info!(peer:% = from, configuration:% = configuration, endpoints:% = endpoints; "snapshot fetched from a peer");
    let newest = configuration.max(endpoints);
    let mut scheduler = context.scheduler.borrow_mut();
    if scheduler.apply_snapshot(snapshot, requested, clock::now()) {
        let version = scheduler.plan().version;
        log::info!(version = version, peer:% = from; "configuration in force, from a peer");
    }
    drop(scheduler);
    context.report_restoration(newest);
    context.process_queues();
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
