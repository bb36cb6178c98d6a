//! Builds answers to callers: complete ones, streamed ones, and refusals with a retry delay.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::refusal::RefusalKind;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

/// The endpoint's answer ended early. The caller's connection is closed without the end of the
/// answer, so that the answer does not look complete.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the endpoint's answer ended early")]
pub struct AnswerInterrupted;

/// A frame of a streamed answer, or its early end.
pub(crate) type Chunk = Result<Frame<Bytes>, AnswerInterrupted>;

/// Body type of all answers.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, AnswerInterrupted>;

/// Number of frames that are buffered for a caller that reads slowly.
const CHUNK_LIMIT: usize = 32;

/// How long the frames before the early end of an answer may take to be written.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Returns an answer whose body has been read completely.
pub(crate) fn complete(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns an answer whose frames are sent through the returned channel.
pub(crate) fn streaming(
    status: StatusCode,
    headers: HeaderMap,
) -> (Response<AnswerBody>, mpsc::Sender<Chunk>) {
    let (sender, mut receiver) = mpsc::channel(CHUNK_LIMIT);
    let chunks = futures::stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response = Response::new(StreamBody::new(chunks).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    (response, sender)
}

/// Ends a streamed answer early, after the frames before have been written. A caller that does not read
/// them is not waited for.
pub(crate) async fn interrupt(sender: mpsc::Sender<Chunk>) {
    let written = sender.reserve_many(CHUNK_LIMIT);
    if tokio::time::timeout(WRITE_TIME, written).await.is_err() {
        log::debug!("a caller does not read the end of a broken answer");
    }
    drop(sender.send(Err(AnswerInterrupted)).await);
}

/// Returns a refusal. `retry` is the delay after which the caller may retry.
pub(crate) fn refusal(kind: RefusalKind, retry: Option<Duration>) -> Response<AnswerBody> {
    let text: &'static str = kind.into();
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(retry) = retry {
        let seconds = format!("{:.2}", retry.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    let status = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    complete(status, headers, Bytes::from_static(text.as_bytes()))
}

/// Announces to the caller that the connection closes after this answer.
pub(crate) fn set_close(response: &mut Response<AnswerBody>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
