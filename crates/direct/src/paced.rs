//! A caller's connection, which knows since when a request's header has been coming: a caller that sends
//! it byte by byte holds a connection for nothing, however busy it looks.

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

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Nothing is under way.
    Idle,
    /// A header has been coming since then.
    Heading(Instant),
    /// A request is answered.
    Busy,
}

/// What one connection is at, for all who deal with it.
#[derive(Debug)]
pub(crate) struct Phase {
    state: Cell<State>,
    changed: Notify,
}

/// A request that is answered, until this is dropped.
#[derive(Debug)]
pub(crate) struct Busy(Rc<Phase>);

impl Phase {
    /// A new connection.
    pub(crate) fn new() -> Rc<Self> {
        Rc::new(Self {
            state: Cell::new(State::Idle),
            changed: Notify::new(),
        })
    }

    fn set(&self, state: State) {
        self.state.set(state);
        self.changed.notify_one();
    }

    /// Notes that a header is whole.
    pub(crate) fn answer(self: &Rc<Self>) -> Busy {
        self.set(State::Busy);
        Busy(Rc::clone(self))
    }

    /// Waits until a header has been coming for `limit`.
    pub(crate) async fn overdue(&self, limit: Duration) {
        loop {
            match self.state.get() {
                State::Heading(since) if since.elapsed() >= limit => return,
                State::Heading(since) => tokio::select! {
                    () = tokio::time::sleep_until(since + limit) => {}
                    () = self.changed.notified() => {}
                },
                State::Idle | State::Busy => self.changed.notified().await,
            }
        }
    }
}

impl Busy {
    /// The body of the answer.
    pub(crate) const fn around<B>(self, body: B) -> Guarded<B> {
        Guarded { body, _busy: self }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set(State::Idle);
    }
}

/// The body of an answer, which is under way until it is dropped.
#[derive(Debug)]
pub(crate) struct Guarded<B> {
    body: B,
    _busy: Busy,
}

impl<B: Body + Unpin> Body for Guarded<B> {
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

/// A connection that notes when a header begins.
#[derive(Debug)]
pub(crate) struct Paced<S> {
    stream: S,
    phase: Rc<Phase>,
}

impl<S> Paced<S> {
    /// A connection over `stream`.
    pub(crate) const fn new(stream: S, phase: Rc<Phase>) -> Self {
        Self { stream, phase }
    }

    /// The connection itself.
    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Paced<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && self.phase.state.get() == State::Idle {
            self.phase.set(State::Heading(Instant::now()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Paced<S> {
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
