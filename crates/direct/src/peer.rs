//! What one entry asks another: the configuration and the endpoints, while the store is out of reach.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::direct::{Listing, Plan};
use derive_more::{Display, Error, From};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::context::Context;
use crate::upstream::{SendError, open};

/// Path of the snapshot.
const SNAPSHOT_PATH: &str = "/snapshot";

/// How long a peer may take to give its snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest snapshot, in bytes.
const SNAPSHOT_LIMIT_BYTES: usize = 16 << 20;

/// What an entry holds.
#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    plan: Plan,
    listings: Vec<Listing>,
    closed: Vec<Arc<str>>,
}

/// Why a peer gave no snapshot.
#[derive(Debug, Display, Error, From)]
enum FetchError {
    /// It cannot be reached.
    Open(SendError),
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
    if request.method() != Method::GET || request.uri().path() != SNAPSHOT_PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let scheduler = context.scheduler.borrow();
    let snapshot = Snapshot {
        plan: Plan::clone(scheduler.plan()),
        listings: scheduler.book().listings(clock::now()),
        closed: scheduler.closed().iter().cloned().collect(),
    };
    match rmp_serde::to_vec(&snapshot) {
        Ok(bytes) => *response.body_mut() = Full::new(bytes.into()),
        Err(error) => {
            log::warn!("a snapshot cannot be written: {error}");
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
    }
    response
}

/// Takes a newer configuration from a peer. Endpoints are taken only by an entry that knows none.
pub(crate) async fn fetch(context: &Rc<Context>, from: SocketAddr) {
    let snapshot = match tokio::time::timeout(FETCH_TIMEOUT, request(from)).await {
        Ok(Ok(snapshot)) => snapshot,
        Ok(Err(error)) => return log::info!(peer:% = from; "no snapshot: {error}"),
        Err(_) => return log::info!(peer:% = from; "no snapshot in time"),
    };
    let now = clock::now();
    let mut scheduler = context.scheduler.borrow_mut();
    let version = snapshot.plan.version;
    if scheduler.configure(Arc::new(snapshot.plan), now) {
        scheduler.adopt(version);
        log::info!(version = version, peer:% = from; "configuration in force, from a peer");
    }
    if scheduler.book().ids().is_empty() {
        for listing in snapshot.listings {
            scheduler.list(listing, now);
        }
        for centre in &snapshot.closed {
            scheduler.close(centre, true, now);
        }
    }
}

async fn request(from: SocketAddr) -> Result<Snapshot, FetchError> {
    let stream = open(from).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    let mut request = Request::new(Empty::<Bytes>::new());
    *request.uri_mut() = hyper::Uri::from_static(SNAPSHOT_PATH);
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
