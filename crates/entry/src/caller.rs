//! The caller's side of one request: sends the caller the endpoint's answer or a refusal.

use bytes::Bytes;
use comfreyhaven_core::refusal::Refusal;
use comfreyhaven_process::answer::{self, Answer};
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of chunks queued for a slow caller.
const QUEUED_CHUNK_LIMIT: usize = 16;

/// Headers that apply only to the connection to the endpoint and are not forwarded to the caller.
const CONNECTION_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
];

type Chunk = Result<Bytes, std::io::Error>;

/// The caller of one request, to which the answer is sent.
pub(crate) struct Caller {
    request: String,
    stage: Stage,
}

enum Stage {
    Waiting(oneshot::Sender<Answer>),
    Streaming {
        chunks: mpsc::Sender<Chunk>,
        event_stream: bool,
    },
    Done,
}

impl Caller {
    pub(crate) fn new(request: String, answer: oneshot::Sender<Answer>) -> Self {
        Self {
            request,
            stage: Stage::Waiting(answer),
        }
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn disconnected(&mut self) {
        match &mut self.stage {
            Stage::Waiting(answer) => answer.closed().await,
            Stage::Streaming { chunks, .. } => chunks.closed().await,
            Stage::Done => std::future::pending().await,
        }
    }

    /// Sends the status and the headers of the endpoint's answer.
    pub(crate) fn start_answer(&mut self, status: u16, headers: &[(String, String)]) {
        let (chunks, receiver) = mpsc::channel(QUEUED_CHUNK_LIMIT);
        let mut answer = Response::new(stream(receiver));
        *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
        for (name, value) in headers {
            if CONNECTION_HEADERS.contains(&name.as_str()) {
                continue;
            }
            if let (Ok(name), Ok(value)) =
                (name.parse::<HeaderName>(), HeaderValue::from_str(value))
            {
                answer.headers_mut().append(name, value);
            }
        }
        let content_type = answer.headers().get(CONTENT_TYPE);
        let event_stream =
            content_type.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        let stage = std::mem::replace(
            &mut self.stage,
            Stage::Streaming {
                chunks,
                event_stream,
            },
        );
        if let Stage::Waiting(waiting) = stage {
            let _ = waiting.send(answer);
        }
    }

    /// Sends a chunk of the answer's body. Returns whether the caller is still connected.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> bool {
        match &self.stage {
            Stage::Streaming { chunks, .. } => chunks.send(Ok(bytes)).await.is_ok(),
            Stage::Waiting(_) | Stage::Done => true,
        }
    }

    /// Ends a complete answer.
    pub(crate) fn finish(&mut self) {
        self.stage = Stage::Done;
    }

    /// Sends the caller a refusal. If an event stream has started, it ends with an error event that
    /// contains the refusal, and without the terminating `[DONE]` event. Any other answer that has
    /// started is truncated.
    pub(crate) async fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.stage, Stage::Done) {
            Stage::Waiting(waiting) => {
                let _ = waiting.send(answer::refusal(&self.request, refusal));
            }
            Stage::Streaming {
                chunks,
                event_stream,
            } => {
                // The stream must not end with an error after the error event: the server would
                // close the connection before the event is flushed.
                let last = if event_stream {
                    let json = answer::refusal_json(&self.request, refusal);
                    Ok([b"event: error\ndata: ", &json[..], b"\n\n"]
                        .concat()
                        .into())
                } else {
                    Err(std::io::Error::other(
                        "answer incomplete: the request was refused after the answer had started",
                    ))
                };
                let _ = chunks.send(last).await;
            }
            Stage::Done => {}
        }
    }
}

fn stream(receiver: mpsc::Receiver<Chunk>) -> answer::AnswerBody {
    let chunks = futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    });
    BodyExt::boxed(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}
