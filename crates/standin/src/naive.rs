//! A naive scheduler as the baseline of comparisons: round robin over all endpoints with retries on
//! failure, without queues, tiers, shares, warm-up or API keys.

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

/// Maximum number of attempts for one request.
const ATTEMPT_LIMIT: usize = 3;

/// Path prefix of requests to model engines.
const MODEL_PATH: &str = "/v1/";

/// An attempt that got no answer from its endpoint.
#[derive(Debug, Display, Error, From)]
enum AttemptError {
    Dial(DialError),
    Http(hyper::Error),
}

/// The scheduler. Clones share the round robin counter.
#[derive(Debug, Clone)]
pub struct NaiveScheduler {
    engines: Arc<[SocketAddr]>,
    services: Arc<[SocketAddr]>,
    counter: Arc<AtomicUsize>,
}

impl NaiveScheduler {
    /// Creates a scheduler for the given engines and services.
    #[must_use]
    pub fn new(engines: &[SocketAddr], services: &[SocketAddr]) -> Self {
        Self {
            engines: engines.into(),
            services: services.into(),
            counter: Arc::default(),
        }
    }

    /// Sends a request to the next endpoint, and to the following ones if that fails.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return answer::full(400, "text/plain", "the request broke off\n");
        };
        let body = body.to_bytes();
        for _ in 0..ATTEMPT_LIMIT {
            let Some(target) = self.next_target(head.uri.path()) else {
                break;
            };
            let request = Request::from_parts(head.clone(), Full::new(body.clone()));
            match attempt(target, request).await {
                Ok(answer) => return answer,
                Err(error) => log::info!("{target}: attempt failed: {error}"),
            }
        }
        answer::full(502, "text/plain", "no endpoint answered\n")
    }

    fn next_target(&self, path: &str) -> Option<SocketAddr> {
        let targets = if path.starts_with(MODEL_PATH) {
            &self.engines
        } else {
            &self.services
        };
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        targets.get(count % targets.len().max(1)).copied()
    }
}

/// Sends a request to one endpoint and waits for the first frame of its answer. A failure after
/// that breaks the answer and is not retried.
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
        BodyExt::boxed(StreamBody::new(body_frames(first, body, connection))),
    ))
}

/// Yields the first frame and all following ones. Keeps the connection open until the end.
fn body_frames(
    first: Option<Frame<Bytes>>,
    body: Incoming,
    connection: HttpConnection<Full<Bytes>>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    let following =
        futures::stream::unfold((body, connection), |(mut body, connection)| async move {
            let frame = body.frame().await?;
            Some((frame.map_err(std::io::Error::other), (body, connection)))
        });
    futures::stream::iter(first.map(Ok)).chain(following)
}
