//! The HTTP server that takes bodies under offers and streams answers back.

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

use crate::command::{Command, Verdict};
use crate::endpoint::{Endpoint, Piece, Run};
use crate::peers;

/// Bodies at once.
const CONNECTIONS_LIMIT: usize = 1_024;

/// Largest body with its head, in bytes.
const BODY_LIMIT_BYTES: usize = 5 << 20;

/// Frames that wait for a slow reader.
const FRAMES_LIMIT: usize = 16;

/// Pieces of an answer between two words to the control thread.
const PROGRESS_PIECES: u32 = 16;

/// Serves declared entries until `stop`, and joins every run.
pub(crate) async fn serve(
    listener: TcpListener,
    mailbox: Mailbox<Command>,
    endpoint: Endpoint,
    fleet: watch::Receiver<Arc<Fleet>>,
    stop: CancellationToken,
) {
    let runs = TaskTracker::new();
    let (tracker, closing) = (runs.clone(), stop.clone());
    server::accept(listener, CONNECTIONS_LIMIT, stop, move |stream, peer| {
        let declared = peers::is_entry(&fleet, peer.ip());
        let (mailbox, endpoint) = (mailbox.clone(), endpoint.clone());
        let (runs, closing) = (tracker.clone(), closing.clone());
        async move {
            if !declared {
                return;
            }
            server::http(stream, closing, move |request| {
                take(request, mailbox.clone(), endpoint.clone(), runs.clone())
            })
            .await;
        }
    })
    .await;
    runs.close();
    runs.wait().await;
}

async fn take(
    request: Request<Incoming>,
    mailbox: Mailbox<Command>,
    endpoint: Endpoint,
    runs: TaskTracker,
) -> Answer {
    if (request.method(), request.uri().path()) != (&Method::POST, "/run") {
        return answer::full(404, "text/plain", "try POST /run\n");
    }
    let (frames, receiver) = mpsc::channel(FRAMES_LIMIT);
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
    let verdict = answer.await.unwrap_or(Verdict::Close);
    runs.spawn(async move {
        match verdict {
            Verdict::Run => run(head, body, &endpoint, &mailbox, &frames).await,
            Verdict::NotRun(reason) => {
                log::info!(request:% = head.request, team:% = head.team; "not run: {reason}");
                send_reply(&frames, &RunReply::NotRun(reason)).await;
            }
            Verdict::Close => log::warn!(
                request:% = head.request, team:% = head.team;
                "body closed unanswered: its request runs or ran"
            ),
        }
    });
    stream(receiver)
}

/// Reads the head and the caller's body.
async fn read(request: Request<Incoming>) -> Option<(RunHead, Bytes)> {
    let whole = Limited::new(request.into_body(), BODY_LIMIT_BYTES)
        .collect()
        .await
        .ok()?;
    let mut buffer = BytesMut::from(whole.to_bytes());
    match Frame::decode(&mut buffer) {
        Ok(Some(Frame::Head(head))) => Some((frame::decode_payload(&head).ok()?, buffer.freeze())),
        _ => None,
    }
}

/// Runs an admitted body and tells the control thread how it ended.
async fn run(
    head: RunHead,
    body: Bytes,
    endpoint: &Endpoint,
    mailbox: &Mailbox<Command>,
    frames: &mpsc::Sender<Bytes>,
) {
    let request = head.request;
    let end = carry(&head, body, endpoint, mailbox, frames).await;
    log::info!(request:% = request, team:% = head.team; "run ended: {end:?}");
    let event = Event::Finished { request, end };
    let _ = mailbox.send(Command::Event(event));
    match end {
        RunEnd::NotRun(reason) => send_reply(frames, &RunReply::NotRun(reason)).await,
        RunEnd::Whole { .. } | RunEnd::Broken => send(frames, Frame::end(&end)).await,
        RunEnd::Cancelled => {}
    }
}

/// Passes the endpoint's answer on until it ends or the entry goes away.
async fn carry(
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
    let mut pieces: u32 = 0;
    loop {
        let Some(piece) = next(&mut run, frames, endpoint.runs_on()).await else {
            return RunEnd::Cancelled;
        };
        match piece {
            Piece::Head { status, headers } => {
                send_reply(frames, &RunReply::Answer { status, headers }).await;
            }
            Piece::Data(bytes) => {
                if let Some(event) = progress(head.request, pieces) {
                    let _ = mailbox.send(Command::Event(event));
                }
                pieces = pieces.saturating_add(1);
                send(frames, Ok(Frame::Data(bytes))).await;
            }
            Piece::End(end) => return end,
        }
    }
}

/// Waits for the endpoint's next piece and shows the entry that this agent is alive. `None` if the
/// entry is gone and the run does not go on without it.
async fn next(run: &mut Run, frames: &mpsc::Sender<Bytes>, runs_on: bool) -> Option<Piece> {
    // The wait must not start anew at each sign of life: it may be sending the request.
    let mut piece = pin!(run.next());
    loop {
        tokio::select! {
            piece = &mut piece => return Some(piece),
            () = frames.closed(), if !runs_on => return None,
            () = tokio::time::sleep(KEEPALIVE_INTERVAL) => send(frames, Ok(Frame::KeepAlive)).await,
        }
    }
}

/// What the control thread is told when a piece comes after `earlier` ones. An engine sends about
/// one token a piece.
fn progress(request: RequestId, earlier: u32) -> Option<Event> {
    match earlier {
        0 => Some(Event::FirstToken(request)),
        tokens if tokens.is_multiple_of(PROGRESS_PIECES) => {
            Some(Event::Progress { request, tokens })
        }
        _ => None,
    }
}

async fn send_reply(frames: &mpsc::Sender<Bytes>, reply: &RunReply) {
    send(frames, Frame::head(reply)).await;
}

/// Queues a frame. A reader that is gone is noticed by the caller's own wait for it.
async fn send(frames: &mpsc::Sender<Bytes>, frame: Result<Frame, frame::FrameError>) {
    match frame {
        Ok(frame) => drop(frames.send(frame.encode()).await),
        Err(error) => log::error!("frame lost: {error}"),
    }
}

fn stream(receiver: mpsc::Receiver<Bytes>) -> Answer {
    let frames = futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|bytes| (bytes, receiver))
    });
    let body = StreamBody::new(frames.map(|bytes| Ok(hyper::body::Frame::data(bytes))));
    Response::new(BodyExt::boxed(body))
}
