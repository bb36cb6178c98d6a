//! A streamed answer: forwards complete events as they arrive, and resumes the stream at another
//! endpoint if the route allows that.

use std::pin::pin;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Ending, stall};
use comfreyhaven_core::refusal::RefusalKind;
use hyper::{Response, StatusCode};

use super::Dispatch;
use super::attempt::Begun;
use super::send::answer_headers;
use super::source::{Next, Source, StreamStart};
use crate::answer::{self, AnswerBody, StreamSender};
use crate::clock;
use crate::events::Event;

/// Event counts and gaps of a stream, for its log line.
#[derive(Debug)]
struct StreamStats {
    last_event: Timestamp,
    longest_gap: Duration,
    events: u32,
}

impl StreamStats {
    fn new() -> Self {
        Self {
            last_event: clock::now(),
            longest_gap: Duration::ZERO,
            events: 0,
        }
    }

    fn record_event(&mut self) {
        let now = clock::now();
        if self.events > 0 {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event));
        }
        self.last_event = now;
        self.events += 1;
    }
}

/// What the caller of a stream receives next.
enum Step {
    Event(Event),
    /// The stream is complete.
    End,
    /// The stream broke off and could not be resumed.
    Interrupted,
    /// The request's deadline has passed.
    DeadlinePassed,
}

/// A stream on its way to the caller, and the endpoint that sends it at present.
struct Stream {
    dispatch: Dispatch,
    source: Source,
    /// What the endpoint has sent and the caller has not received yet.
    upcoming: Option<Next>,
    /// The last event that the caller has received.
    last: Option<u64>,
    /// Whether another endpoint can go on after what the caller has received: nothing, or an event with an
    /// id.
    resumable: bool,
    stats: StreamStats,
}

/// Waits for the first event, then answers with a stream that starts with it.
pub(super) async fn start(dispatch: Dispatch, start: StreamStart) -> Response<AnswerBody> {
    let head = start.head;
    let mut stream = Stream {
        dispatch,
        source: start.source,
        upcoming: Some(start.first),
        last: None,
        resumable: true,
        stats: StreamStats::new(),
    };
    let first = stream.next_step().await;
    let dispatch = &stream.dispatch;
    match first {
        Step::Event(_) | Step::End => {}
        Step::Interrupted => {
            return dispatch.fail(|| dispatch.refuse(RefusalKind::OutcomeUnknown, None));
        }
        Step::DeadlinePassed => {
            return dispatch.fail(|| dispatch.refuse(RefusalKind::DeadlineExceeded, None));
        }
    }
    let waited = clock::now().since(dispatch.incoming.arrived);
    dispatch.context.metrics.first.observe(waited.as_secs_f64());
    let (response, sender) = answer::streaming(
        head.status(),
        answer_headers(head.headers()),
        &dispatch.context.buffers,
        &dispatch.incoming.head.id,
    );
    let tasks = dispatch.context.tasks.clone();
    tasks.spawn_local(stream.forward(first, sender));
    response
}

impl Stream {
    /// Forwards events until the stream ends, the caller disconnects or the deadline passes.
    async fn forward(mut self, first: Step, sender: StreamSender) {
        let first_byte = clock::now().since(self.dispatch.incoming.arrived);
        let mut step = first;
        loop {
            match step {
                Step::Event(event) => {
                    if let Err(end) = sender.send(event.bytes).await {
                        return self.log_end(end.into());
                    }
                }
                Step::End => return self.complete(first_byte),
                Step::Interrupted => {
                    self.dispatch.count_answer(StatusCode::OK, "broken");
                    self.log_interruption();
                    return sender.interrupt().await;
                }
                Step::DeadlinePassed => {
                    self.dispatch.count_answer(StatusCode::OK, "timeout");
                    self.log_end("timeout");
                    return sender.interrupt().await;
                }
            }
            step = tokio::select! {
                step = self.next_step() => step,
                end = sender.closed() => return self.log_end(end.into()),
            };
        }
    }

    /// Waits until the caller can be sent something, at most until the deadline.
    async fn next_step(&mut self) -> Step {
        let left = self.dispatch.deadline.since(clock::now());
        let advanced = tokio::time::timeout(left, self.advance()).await;
        advanced.unwrap_or(Step::DeadlinePassed)
    }

    async fn advance(&mut self) -> Step {
        loop {
            let next = match self.upcoming.take() {
                Some(next) => Some(next),
                None => self.next_in_time().await,
            };
            match next {
                Some(Next::Event(event)) => {
                    self.dispatch.record_origin(&self.source.record).await;
                    if self.record_event(&event) {
                        return Step::Event(event);
                    }
                }
                Some(Next::End) => return Step::End,
                Some(Next::Broken) => {
                    if !self.replace_broken().await {
                        return Step::Interrupted;
                    }
                }
                None => self.replace_stalled().await,
            }
        }
    }

    /// Records an event. Returns whether the caller has not received it yet; a resumed stream may
    /// start with events that it has.
    fn record_event(&mut self, event: &Event) -> bool {
        self.source.event_timeout =
            stall::next_event_timeout(self.dispatch.incoming.head.route.event_gap);
        if self.source.record_event() {
            self.dispatch
                .record_sound(self.source.begun().unwrap_or_default());
        }
        self.stats.record_event();
        if !event.is_comment() {
            self.resumable = event.id.is_some();
        }
        let received = event.id.is_some_and(|id| self.last >= Some(id));
        self.last = self.last.max(event.id);
        !received
    }

    /// Waits for the next event. Returns `None` if the endpoint is silent for too long and the
    /// stream may go on at another one.
    async fn next_in_time(&mut self) -> Option<Next> {
        loop {
            let waiting = tokio::time::timeout(self.source.event_timeout, self.source.next());
            if let Ok(next) = waiting.await {
                return Some(next);
            }
            let may_move = self.resumable && self.dispatch.may_move(&self.source.record);
            if may_move && self.dispatch.take_retry() {
                return None;
            }
        }
    }

    /// Asks another endpoint to go on with the stream of a silent one, which is left only when the
    /// other one has begun.
    async fn replace_stalled(&mut self) {
        self.dispatch.log_outcome("silent", &self.source.record);
        self.source.slot.record_failure();
        self.dispatch.exclude(&self.source.record);
        let begun = {
            let mut beginning = pin!(self.dispatch.begin(self.last));
            tokio::select! {
                next = self.source.next() => {
                    let is_broken = matches!(next, Next::Broken);
                    self.upcoming = Some(next);
                    if !is_broken {
                        return;
                    }
                    beginning.await
                }
                begun = beginning.as_mut() => begun,
            }
        };
        if let Ok(Begun::Stream(start)) = begun {
            self.source.slot.release(Ending::Broken);
            self.go_on(*start);
        }
    }

    /// Resumes the stream at another endpoint after its own one has failed. Returns whether that
    /// succeeded.
    async fn replace_broken(&mut self) -> bool {
        self.dispatch.leave_broken(&mut self.source);
        self.dispatch.exclude(&self.source.record);
        let may_resume = self.resumable && self.dispatch.may_run_again();
        if !may_resume || !self.dispatch.take_retry() {
            return false;
        }
        match self.dispatch.begin(self.last).await {
            Ok(Begun::Stream(start)) => {
                self.go_on(*start);
                true
            }
            _ => false,
        }
    }

    /// Goes on with the stream that another endpoint has begun.
    fn go_on(&mut self, start: StreamStart) {
        self.dispatch.log_outcome("resumed", &start.source.record);
        self.source = start.source;
        self.upcoming = Some(start.first);
    }

    fn complete(self, first_byte: Duration) {
        let (dispatch, source) = (self.dispatch, self.source);
        log::info!(
            request = dispatch.incoming.head.id_text(),
            endpoint:% = source.record.id,
            build:% = source.record.build,
            route:% = dispatch.incoming.head.route.name,
            waited = clock::millis(dispatch.waited.get()),
            expected = dispatch.estimate.get().first_byte,
            first = clock::millis(first_byte),
            whole = dispatch.estimate.get().last_byte,
            took = clock::millis(clock::now().since(dispatch.incoming.arrived)),
            length = dispatch.incoming.head.length,
            pause = clock::millis(self.stats.longest_gap),
            events = self.stats.events,
            sends = dispatch.sends.get(),
            prompt = dispatch.incoming.head.cost.map_or(0, |cost| cost.prompt);
            "stream complete"
        );
        dispatch.count_send("answered");
        dispatch.count_answer(StatusCode::OK, "endpoint");
        let begun = source.begun().unwrap_or_else(clock::now);
        source.slot.end(Ending::Complete);
        dispatch.record_sound(begun);
        dispatch.record_completion(source.lease);
    }

    /// Logs the end of a stream that did not complete.
    fn log_end(&self, outcome: &str) {
        let dispatch = &self.dispatch;
        dispatch.ended.set(true);
        dispatch.count_send(outcome);
        log::info!(
            request = dispatch.incoming.head.id_text(),
            endpoint:% = self.source.record.id,
            build:% = self.source.record.build,
            send = dispatch.sends.get(),
            length = dispatch.incoming.head.length,
            expected = dispatch.estimate.get().first_byte,
            whole = dispatch.estimate.get().last_byte,
            events = self.stats.events,
            pause = clock::millis(self.stats.longest_gap),
            silent = clock::millis(clock::now().since(self.stats.last_event));
            "{outcome}"
        );
    }

    /// Logs that the caller's stream was cut off, because it could not be resumed.
    fn log_interruption(&self) {
        log::info!(
            request = self.dispatch.incoming.head.id_text(),
            sends = self.dispatch.sends.get(),
            runs = self.dispatch.possible_runs.get(),
            events = self.stats.events,
            silent = clock::millis(clock::now().since(self.stats.last_event));
            "interrupted"
        );
    }
}
