//! HTTP server that receives bodies under offers and streams the answers back.

use std::pin::pin;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use comfreyhaven_core::RequestId;
use comfreyhaven_core::agent::{Event, RunEnd};
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::refusal::NotRunReason;
use comfreyhaven_process::answer::{self, Answer};
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_process::server;
use comfreyhaven_wire::frame::{self, Frame, KEEPALIVE_INTERVAL, RunHead, RunReply};
use futures::StreamExt;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::command::{BodyReply, Command};
use crate::endpoint::{AnswerPart, Endpoint, Run};
use crate::peers;

/// Maximum number of open connections, each of which carries one body.
const CONNECTION_LIMIT: usize = 1_024;

/// Largest accepted body, including its head frame.
const BODY_LIMIT_BYTES: usize = 5 << 20;

/// Maximum number of frames queued for a slow entry.
const QUEUED_FRAME_LIMIT: usize = 16;

/// Number of chunks of an answer between two progress events to the control thread.
const PROGRESS_CHUNKS: u32 = 16;

/// Serves declared entries until `stop`, then waits until every run has ended.
pub(crate) async fn serve(
    listener: TcpListener,
    mailbox: Mailbox<Command>,
    endpoint: Endpoint,
    fleet: watch::Receiver<Arc<Fleet>>,
    stop: CancellationToken,
) {
    let runs = TaskTracker::new();
    let (tracker, stopping) = (runs.clone(), stop.clone());
    server::accept(listener, CONNECTION_LIMIT, stop, move |stream, peer| {
        let declared = peers::is_entry(&fleet, peer.ip());
        let (mailbox, endpoint) = (mailbox.clone(), endpoint.clone());
        let (runs, stopping) = (tracker.clone(), stopping.clone());
        async move {
            if !declared {
                return;
            }
            server::http(stream, stopping, move |request| {
                handle(request, mailbox.clone(), endpoint.clone(), runs.clone())
            })
            .await;
        }
    })
    .await;
    runs.close();
    runs.wait().await;
}

async fn handle(
    request: Request<Incoming>,
    mailbox: Mailbox<Command>,
    endpoint: Endpoint,
    runs: TaskTracker,
) -> Answer {
    if (request.method(), request.uri().path()) != (&Method::POST, "/run") {
        return answer::full(404, "text/plain", "try POST /run\n");
    }
    let (frames, receiver) = mpsc::channel(QUEUED_FRAME_LIMIT);
    let Some((head, body)) = read(request).await else {
        let reply = RunReply::NotRun(NotRunReason::Malformed);
        runs.spawn(async move { send_reply(&frames, &reply).await });
        return stream(receiver);
    };
    let (reply, answer) = oneshot::channel();
    let claim = Command::Claim {
        offer: head.offer,
        request: head.request,
        reply,
    };
    let _ = mailbox.send(claim);
    let decision = answer.await.unwrap_or(BodyReply::Close);
    runs.spawn(async move {
        match decision {
            BodyReply::Run => run(head, body, &endpoint, &mailbox, &frames).await,
            BodyReply::NotRun(reason) => {
                log::info!(request:% = head.request, team:% = head.team; "body not run: {reason}");
                send_reply(&frames, &RunReply::NotRun(reason)).await;
            }
            BodyReply::Close => log::warn!(
                request:% = head.request, team:% = head.team;
                "connection closed without an answer: the request is running or has already run"
            ),
        }
    });
    stream(receiver)
}

/// Reads the head frame and the caller's body. Returns `None` if they are too large or malformed.
async fn read(request: Request<Incoming>) -> Option<(RunHead, Bytes)> {
    let collected = Limited::new(request.into_body(), BODY_LIMIT_BYTES)
        .collect()
        .await
        .ok()?;
    let mut buffer = BytesMut::from(collected.to_bytes());
    match Frame::decode(&mut buffer) {
        Ok(Some(Frame::Head(head))) => Some((frame::decode_payload(&head).ok()?, buffer.freeze())),
        _ => None,
    }
}

/// Runs an admitted body and reports to the control thread how the run ended.
async fn run(
    head: RunHead,
    body: Bytes,
    endpoint: &Endpoint,
    mailbox: &Mailbox<Command>,
    frames: &mpsc::Sender<Bytes>,
) {
    let request = head.request;
    let end = forward_answer(&head, body, endpoint, mailbox, frames).await;
    log::info!(request:% = request, team:% = head.team; "run ended: {end:?}");
    let event = Event::Finished { request, end };
    let _ = mailbox.send(Command::Event(event));
    match end {
        RunEnd::NotRun(reason) => send_reply(frames, &RunReply::NotRun(reason)).await,
        RunEnd::Whole { .. } | RunEnd::Broken => send(frames, Frame::end(&end)).await,
        RunEnd::Cancelled => {}
    }
}

/// Sends the body to the endpoint and forwards the answer until it ends, or until the entry has
/// disconnected and the run must not outlive it.
async fn forward_answer(
    head: &RunHead,
    body: Bytes,
    endpoint: &Endpoint,
    mailbox: &Mailbox<Command>,
    frames: &mpsc::Sender<Bytes>,
) -> RunEnd {
    let mut run = match endpoint.start(head, body).await {
        Ok(run) => run,
        Err(reason) => return RunEnd::NotRun(reason),
    };
    let mut chunks: u32 = 0;
    loop {
        let Some(part) = next_part(&mut run, frames, endpoint.outlives_entry()).await else {
            return RunEnd::Cancelled;
        };
        match part {
            AnswerPart::Head { status, headers } => {
                send_reply(frames, &RunReply::Answer { status, headers }).await;
            }
            AnswerPart::Data(bytes) => {
                if let Some(event) = progress(head.request, chunks) {
                    let _ = mailbox.send(Command::Event(event));
                }
                chunks = chunks.saturating_add(1);
                send(frames, Ok(Frame::Data(bytes))).await;
            }
            AnswerPart::End(end) => return end,
        }
    }
}

/// Waits for the next part of the endpoint's answer, and sends keep-alive frames to the entry
/// meanwhile. Returns `None` if the entry has disconnected and the run does not outlive it.
async fn next_part(
    run: &mut Run,
    frames: &mpsc::Sender<Bytes>,
    outlives_entry: bool,
) -> Option<AnswerPart> {
    // The future is not recreated after a keep-alive frame, because it may be sending the request.
    let mut part = pin!(run.next());
    loop {
        tokio::select! {
            part = &mut part => return Some(part),
            () = frames.closed(), if !outlives_entry => return None,
            () = tokio::time::sleep(KEEPALIVE_INTERVAL) => send(frames, Ok(Frame::KeepAlive)).await,
        }
    }
}

/// Returns the event for the control thread when a chunk arrives after `earlier` ones. The number
/// of chunks is used as the number of tokens, because an engine sends about one token per chunk.
fn progress(request: RequestId, earlier: u32) -> Option<Event> {
    match earlier {
        0 => Some(Event::FirstToken(request)),
        tokens if tokens.is_multiple_of(PROGRESS_CHUNKS) => {
            Some(Event::Progress { request, tokens })
        }
        _ => None,
    }
}

async fn send_reply(frames: &mpsc::Sender<Bytes>, reply: &RunReply) {
    send(frames, Frame::head(reply)).await;
}

/// Queues a frame. A failed send is ignored: [`next_part`] detects that the entry has disconnected.
async fn send(frames: &mpsc::Sender<Bytes>, frame: Result<Frame, frame::FrameError>) {
    match frame {
        Ok(frame) => drop(frames.send(frame.encode()).await),
        Err(error) => log::error!("frame not sent: {error}"),
    }
}

fn stream(receiver: mpsc::Receiver<Bytes>) -> Answer {
    let frames = futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|bytes| (bytes, receiver))
    });
    let body = StreamBody::new(frames.map(|bytes| Ok(hyper::body::Frame::data(bytes))));
    Response::new(BodyExt::boxed(body))
}
