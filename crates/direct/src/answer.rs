//! Answers to callers: whole, streamed, or a refusal that says when to come back.

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

/// The answer broke off at its endpoint. The caller's connection is closed without the answer's end.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the answer broke off at its endpoint")]
pub struct BrokenOff;

/// A piece of a streamed answer, or its breaking off.
pub(crate) type Piece = Result<Frame<Bytes>, BrokenOff>;

/// The body of any answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Pieces of a stream that may wait for a caller that reads slowly.
const PIECES_LIMIT: usize = 32;

/// An answer with all its bytes.
pub(crate) fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<AnswerBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// An answer whose pieces are still to come.
pub(crate) fn streamed(
    status: StatusCode,
    headers: HeaderMap,
) -> (Response<AnswerBody>, mpsc::Sender<Piece>) {
    let (sender, mut receiver) = mpsc::channel(PIECES_LIMIT);
    let pieces = futures::stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    (response, sender)
}

/// A refusal. `retry` tells when to come back.
pub(crate) fn refused(kind: RefusalKind, retry: Option<Duration>) -> Response<AnswerBody> {
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
    whole(status, headers, Bytes::from_static(text.as_bytes()))
}

/// Tells the caller that its connection ends with this answer.
pub(crate) fn close(response: &mut Response<AnswerBody>) {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}
