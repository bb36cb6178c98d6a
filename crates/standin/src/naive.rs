//! A naive scheduler, to compare with: round robin over all endpoints, retries on failure, and
//! neither queue, tiers, shares, warm-up nor keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use comfreyhaven_process::answer::{self, Answer};
use comfreyhaven_process::dial::{self, DialError, HttpConnection};
use derive_more::{Display, Error, From};
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HOST;
use hyper::{Request, Response};

/// Endpoints tried for one request at most.
const ATTEMPTS_LIMIT: usize = 3;

/// Path prefix of requests to model engines.
const MODEL_PATH: &str = "/v1/";

/// Why an endpoint gave no answer.
#[derive(Debug, Display, Error, From)]
enum AttemptError {
    Dial(DialError),
    Http(hyper::Error),
}

/// The scheduler. Clones share its turn.
#[derive(Debug, Clone)]
pub struct Naive {
    engines: Arc<[SocketAddr]>,
    services: Arc<[SocketAddr]>,
    turn: Arc<AtomicUsize>,
}

impl Naive {
    /// A scheduler before some engines and services.
    #[must_use]
    pub fn new(engines: &[SocketAddr], services: &[SocketAddr]) -> Self {
        Self {
            engines: engines.into(),
            services: services.into(),
            turn: Arc::default(),
        }
    }

    /// Passes a request to the next endpoint, and to others if that fails.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return answer::full(400, "text/plain", "the request broke off\n");
        };
        let body = body.to_bytes();
        for _ in 0..ATTEMPTS_LIMIT {
            let Some(target) = self.next(head.uri.path()) else {
                break;
            };
            let request = Request::from_parts(head.clone(), Full::new(body.clone()));
            match attempt(target, request).await {
                Ok(answer) => return answer,
                Err(error) => log::info!("{target} failed: {error}"),
            }
        }
        answer::full(502, "text/plain", "no endpoint answered\n")
    }

    fn next(&self, path: &str) -> Option<SocketAddr> {
        let targets = if path.starts_with(MODEL_PATH) {
            &self.engines
        } else {
            &self.services
        };
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        targets.get(turn % targets.len().max(1)).copied()
    }
}

/// Sends a request to one endpoint and waits for the first piece of its answer.
async fn attempt(
    target: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Answer, AttemptError> {
    if let Ok(host) = target.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    let mut connection = dial::http([0, 0, 0, 0].into(), target).await?;
    let answer = connection.sender.send_request(request).await?;
    let (head, mut body) = answer.into_parts();
    let first = body.frame().await.transpose()?;
    Ok(Response::from_parts(
        head,
        BodyExt::boxed(StreamBody::new(rest(first, body, connection))),
    ))
}

/// The first piece and all that follow, with the connection that they come from.
fn rest(
    first: Option<Frame<Bytes>>,
    body: Incoming,
    connection: HttpConnection<Full<Bytes>>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    let later = futures::stream::unfold((body, connection), |(mut body, connection)| async move {
        let frame = body.frame().await?;
        Some((frame.map_err(std::io::Error::other), (body, connection)))
    });
    futures::stream::iter(first.map(Ok)).chain(later)
}
