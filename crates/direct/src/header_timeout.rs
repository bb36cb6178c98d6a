//! Measures how long a caller's connection is idle, and how long the header of a request takes to
//! arrive on it. A caller that sends its header byte by byte never becomes idle.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overdue {
    Idle,
    Header,
}

/// State of one connection, shared by its stream, its service and its header timeout.
#[derive(Debug)]
pub(crate) struct ConnectionPhase {
    state: Cell<State>,
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
            changed: Notify::new(),
        })
    }

    fn set(&self, state: State) {
        self.state.set(state);
        self.changed.notify_one();
    }

    /// Records that a header is complete and its request is being answered.
    pub(crate) fn start_answer(self: &Rc<Self>) -> BusyGuard {
        self.set(State::Busy);
        BusyGuard(Rc::clone(self))
    }

    /// Waits until the connection exceeds one of the limits, which are read again when one of them
    /// has passed.
    pub(crate) async fn overdue(&self, limits: impl Fn() -> PhaseLimits) -> Overdue {
        loop {
            let (end, overdue) = match self.state.get() {
                State::Idle(since) => (since + limits().idle, Overdue::Idle),
                State::ReadingHeader(since) => (since + limits().header, Overdue::Header),
                State::Busy => {
                    self.changed.notified().await;
                    continue;
                }
            };
            if end <= Instant::now() {
                return overdue;
            }
            tokio::select! {
                () = tokio::time::sleep_until(end) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}

impl BusyGuard {
    /// Wraps the body of the answer, so that the connection stays busy until the body is dropped.
    pub(crate) const fn wrap<B>(self, body: B) -> GuardedBody<B> {
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
