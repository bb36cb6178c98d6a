//! Measures how long a caller's connection is idle, and how long the header of a request takes to
//! arrive on it. A caller that sends its header byte by byte never becomes idle.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderValue;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::answer::CallerEnd;

/// Waits until a time, or for ever without one.
async fn sleep_until(end: Option<Instant>) {
    match end {
        Some(end) => tokio::time::sleep_until(end).await,
        None => pending().await,
    }
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No request has started since the given time.
    Idle(Instant),
    /// A header has been arriving since the given time.
    ReadingHeader(Instant),
    /// A request is being answered.
    Busy,
}

/// Longest times of a connection's states.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PhaseLimits {
    /// Time without a request.
    pub(crate) idle: Duration,
    /// Time in which a header must arrive.
    pub(crate) header: Duration,
}

/// The limit that a connection has exceeded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Overdue {
    Idle,
    Header,
    /// The caller has left too much unread of its answer to this request.
    Unread(HeaderValue),
}

/// State of one connection, shared by its stream, its service and its header timeout.
#[derive(Debug)]
pub(crate) struct ConnectionPhase {
    state: Cell<State>,
    /// Ends the caller of the last answer.
    end: RefCell<Option<CallerEnd>>,
    changed: Notify,
}

/// Marks the connection as busy until dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard(Rc<ConnectionPhase>);

impl ConnectionPhase {
    /// Creates the state of a new, idle connection.
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            state: Cell::new(State::Idle(Instant::now())),
            end: RefCell::default(),
            changed: Notify::new(),
        })
    }

    fn set(&self, state: State) {
        self.state.set(state);
        self.changed.notify_one();
    }

    /// Records that a header is complete and its request is being answered.
    pub(crate) fn start_answer(self: &Rc<Self>) -> BusyGuard {
        self.end.take();
        self.set(State::Busy);
        BusyGuard(Rc::clone(self))
    }

    /// Waits until the connection exceeds one of the limits, which are read again when one of them
    /// has passed.
    pub(crate) async fn overdue(&self, limits: impl Fn() -> PhaseLimits) -> Overdue {
        loop {
            let (end, overdue) = match self.state.get() {
                State::Idle(since) => (Some(since + limits().idle), Overdue::Idle),
                State::ReadingHeader(since) => (Some(since + limits().header), Overdue::Header),
                State::Busy => (None, Overdue::Idle),
            };
            if end.is_some_and(|end| end <= Instant::now()) {
                return overdue;
            }
            tokio::select! {
                () = sleep_until(end) => {}
                request = self.unread() => return Overdue::Unread(request),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Waits until the caller of the last answer is ended, and returns the request.
    async fn unread(&self) -> HeaderValue {
        let end = self.end.borrow().clone();
        let Some(end) = end else {
            return pending().await;
        };
        end.token.cancelled().await;
        end.request
    }
}

impl BusyGuard {
    /// Wraps the body of the answer, so that the connection stays busy until the body is dropped.
    /// `end` ends the caller while it reads the answer.
    pub(crate) fn wrap<B>(self, body: B, end: Option<CallerEnd>) -> GuardedBody<B> {
        if end.is_some() {
            self.0.end.replace(end);
            self.0.changed.notify_one();
        }
        GuardedBody { body, _busy: self }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.set(State::Idle(Instant::now()));
    }
}

/// The body of an answer, which keeps its connection marked as busy until it is dropped.
#[derive(Debug)]
pub(crate) struct GuardedBody<B> {
    body: B,
    _busy: BusyGuard,
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that records when a header starts to arrive.
#[derive(Debug)]
pub(crate) struct MonitoredStream<S> {
    stream: S,
    phase: Rc<ConnectionPhase>,
}

impl<S> MonitoredStream<S> {
    /// Wraps `stream` and records its headers in `phase`.
    pub(crate) const fn new(stream: S, phase: Rc<ConnectionPhase>) -> Self {
        Self { stream, phase }
    }

    /// Unwraps the stream.
    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && matches!(self.phase.state.get(), State::Idle(_)) {
            self.phase.set(State::ReadingHeader(Instant::now()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
