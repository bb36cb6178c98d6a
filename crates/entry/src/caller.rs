//! The caller's side of one request: the answer that it waits for or is being sent.

use bytes::Bytes;
use comfreyhaven_core::refusal::Refusal;
use comfreyhaven_process::answer::{self, Answer};
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use tokio::sync::{mpsc, oneshot};

/// Pieces that wait for a slow caller.
const PIECES_LIMIT: usize = 16;

/// Headers of an endpoint's answer that concern one connection only.
const CONNECTION_HEADERS: [&str; 5] = [
    "connection",
    "content-length",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
];

type Piece = Result<Bytes, std::io::Error>;

/// Where the answer to one request goes.
pub(crate) struct Caller {
    request: String,
    stage: Stage,
}

enum Stage {
    Waiting(oneshot::Sender<Answer>),
    Streaming {
        pieces: mpsc::Sender<Piece>,
        events: bool,
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

    /// Waits until the caller has gone away.
    pub(crate) async fn gone(&mut self) {
        match &mut self.stage {
            Stage::Waiting(answer) => answer.closed().await,
            Stage::Streaming { pieces, .. } => pieces.closed().await,
            Stage::Done => std::future::pending().await,
        }
    }

    /// Sends the head of the endpoint's answer.
    pub(crate) fn begin(&mut self, status: u16, headers: &[(String, String)]) {
        let (pieces, receiver) = mpsc::channel(PIECES_LIMIT);
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
        let kind = answer.headers().get(CONTENT_TYPE);
        let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        let stage = std::mem::replace(&mut self.stage, Stage::Streaming { pieces, events });
        if let Stage::Waiting(waiting) = stage {
            let _ = waiting.send(answer);
        }
    }

    /// Sends some of the answer. Tells whether the caller is still there.
    pub(crate) async fn send(&mut self, bytes: Bytes) -> bool {
        match &self.stage {
            Stage::Streaming { pieces, .. } => pieces.send(Ok(bytes)).await.is_ok(),
            Stage::Waiting(_) | Stage::Done => true,
        }
    }

    /// Ends a whole answer.
    pub(crate) fn finish(&mut self) {
        self.stage = Stage::Done;
    }

    /// Gives the caller a refusal. An event stream that has begun ends with an event that says why,
    /// and without its terminator; any other answer that has begun is cut off.
    pub(crate) async fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.stage, Stage::Done) {
            Stage::Waiting(waiting) => {
                let _ = waiting.send(answer::refusal(&self.request, refusal));
            }
            Stage::Streaming { pieces, events } => {
                // An error after the event would make the server close before it is flushed.
                let last = if events {
                    let json = answer::refusal_json(&self.request, refusal);
                    Ok([b"event: error\ndata: ", &json[..], b"\n\n"]
                        .concat()
                        .into())
                } else {
                    Err(std::io::Error::other("the answer is not whole"))
                };
                let _ = pieces.send(last).await;
            }
            Stage::Done => {}
        }
    }
}

fn stream(receiver: mpsc::Receiver<Piece>) -> answer::AnswerBody {
    let pieces = futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|piece| (piece, receiver))
    });
    BodyExt::boxed(StreamBody::new(pieces.map(|piece| piece.map(Frame::data))))
}
