//! Builds answers to callers: complete ones, streamed ones, and refusals with a retry delay.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::direct::Holding;
use comfreyhaven_core::refusal::RefusalKind;
use derive_more::{Display, Error};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use strum::IntoStaticStr;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::buffers::{Buffers, Holder};

/// The endpoint's answer ended early. The caller's connection is closed without the end of the
/// answer, so that the answer does not look complete.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the endpoint's answer ended early")]
pub struct AnswerInterrupted;

/// A frame of a streamed answer, or its early end.
pub(crate) type Chunk = Result<Frame<Bytes>, AnswerInterrupted>;

/// Body type of all answers.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, AnswerInterrupted>;

/// Number of frames that are buffered for a caller that reads slowly, if held bytes are not bounded.
const CHUNK_LIMIT: usize = 32;

/// How long the frames before the early end of an answer may take to be written.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Largest part of an answer that is handed to a caller's connection at once, in bytes.
const PART_BYTES: usize = 64 << 10;

/// Ends the connection of a caller that reads its answer too slowly. It is an extension of the answer.
#[derive(Debug, Clone)]
pub(crate) struct CallerEnd {
    pub(crate) token: CancellationToken,
    /// Id of the request.
    pub(crate) request: HeaderValue,
}

/// Lets the caller's connection be ended if `holder` is.
fn set_end(
    response: &mut Response<AnswerBody>,
    holder: Option<&Arc<Holder>>,
    request: &HeaderValue,
) {
    if let Some(holder) = holder {
        response.extensions_mut().insert(CallerEnd {
            token: holder.end(),
            request: request.clone(),
        });
    }
}

/// A complete answer that counts as held until its caller has read it.
struct HeldBody {
    rest: Bytes,
    holder: Arc<Holder>,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = AnswerInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerInterrupted>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        self.holder.record_read();
        let length = self.rest.len().min(PART_BYTES);
        let part = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Returns an answer whose body has been read completely and is held by `holder`.
pub(crate) fn held(
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    holder: &Arc<Holder>,
    request: &HeaderValue,
) -> Response<AnswerBody> {
    holder.deliver();
    let body = HeldBody {
        rest: holder.held_frame(body),
        holder: Arc::clone(holder),
    };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    set_end(&mut response, Some(holder), request);
    response
}

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

/// Returns an answer whose frames are sent through the returned sender.
pub(crate) fn streaming(
    status: StatusCode,
    headers: HeaderMap,
    buffers: &Buffers,
    request: &HeaderValue,
) -> (Response<AnswerBody>, StreamSender) {
    let holder = buffers.open(Holding::Stream);
    let limit = buffers.stream_frames().unwrap_or(CHUNK_LIMIT);
    let (sender, mut receiver) = mpsc::channel(limit);
    let chunks = futures::stream::poll_fn(move |context| receiver.poll_recv(context));
    let mut response = Response::new(StreamBody::new(chunks).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    set_end(&mut response, holder.as_ref(), request);
    (response, StreamSender { sender, holder })
}

/// Why a caller receives no more of its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
pub(crate) enum StreamEnd {
    #[strum(serialize = "caller gone")]
    Gone,
    #[strum(serialize = "caller too slow")]
    TooSlow,
}

/// Sends the frames of an answer to its caller.
#[derive(Debug)]
pub(crate) struct StreamSender {
    sender: mpsc::Sender<Chunk>,
    holder: Option<Arc<Holder>>,
}

impl StreamSender {
    /// Sends bytes. If held bytes are bounded, it does not wait for the caller to read.
    ///
    /// # Errors
    /// Returns a [`StreamEnd`] if the caller receives no more.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), StreamEnd> {
        let frame = match &self.holder {
            Some(holder) => holder.hold_frame(bytes).map_err(|_| StreamEnd::TooSlow)?,
            None => bytes,
        };
        let sent = self.sender.send(Ok(Frame::data(frame))).await;
        sent.map_err(|_| self.end())
    }

    /// Waits until the caller receives no more.
    pub(crate) async fn closed(&self) -> StreamEnd {
        self.sender.closed().await;
        self.end()
    }

    fn end(&self) -> StreamEnd {
        match &self.holder {
            Some(holder) if holder.end().is_cancelled() => StreamEnd::TooSlow,
            _ => StreamEnd::Gone,
        }
    }

    /// Ends the answer early, after the frames before have been written. A caller that does not read
    /// them is not waited for.
    pub(crate) async fn interrupt(self) {
        let written = self.sender.reserve_many(self.sender.max_capacity());
        if tokio::time::timeout(WRITE_TIME, written).await.is_err() {
            log::debug!("a caller does not read the end of a broken answer");
        }
        drop(self.sender.send(Err(AnswerInterrupted)).await);
    }
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
