//! A streamed answer: forwards complete events as they arrive, and resumes the stream at another
//! endpoint if the route allows that.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Ending, EndpointRecord, stall};
use comfreyhaven_core::refusal::RefusalKind;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::send::answer_headers;
use super::{AnswerKind, Dispatch};
use crate::answer::{self, AnswerBody, AnswerInterrupted, Chunk};
use crate::clock;
use crate::context::{PlacementOutcome, SlotGuard};
use crate::events::{Event, Splitter};
use crate::upstream::{Lease, Reply, SendError};

/// Time that must remain before the deadline to resume a stream at another endpoint.
const MIN_RESUME_TIME: Duration = Duration::from_millis(100);

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

    /// Logs the end of a stream that did not complete.
    fn log_end(&self, dispatch: &Dispatch, source: &Source, outcome: &str) {
        dispatch.count_send(outcome);
        log::info!(
            request = dispatch.incoming.head.id_text(),
            endpoint:% = source.record.id,
            send = dispatch.sends,
            length = dispatch.incoming.head.length,
            expected = dispatch.first_byte,
            whole = dispatch.last_byte,
            events = self.events,
            pause = clock::millis(self.longest_gap),
            silent = clock::millis(clock::now().since(self.last_event));
            "{outcome}"
        );
    }
}

/// A streamed answer from one endpoint.
struct Source {
    body: Incoming,
    lease: Lease,
    slot: SlotGuard,
    record: EndpointRecord,
    splitter: Splitter,
    /// How long the next event may take.
    event_timeout: Duration,
    /// Events received from this endpoint; `first` is when the first one arrived.
    events: u32,
    first: Timestamp,
}

/// The next thing that happens on a stream.
enum Next {
    Event(Event),
    /// The answer is complete.
    End,
    /// The connection broke or the stream is malformed.
    Broken,
    /// The endpoint sent nothing within the event timeout.
    Stalled,
    /// The caller closed its connection.
    CallerDisconnected,
    /// The request's deadline has passed.
    DeadlinePassed,
}

impl Source {
    fn new(
        reply: Reply,
        slot: SlotGuard,
        dispatch: &Dispatch,
        record: EndpointRecord,
    ) -> (Response<()>, Self) {
        let (response, lease) = reply.split();
        let (parts, body) = response.into_parts();
        let source = Self {
            body,
            lease,
            slot,
            record,
            splitter: Splitter::default(),
            event_timeout: dispatch.first_byte_timeout(),
            events: 0,
            first: Timestamp::ZERO,
        };
        (Response::from_parts(parts, ()), source)
    }

    /// Counts an event. At each power of two it also records the endpoint's event interval.
    fn record_event(&mut self) {
        let now = clock::now();
        if self.events == 0 {
            self.first = now;
        }
        self.events += 1;
        if self.events.is_power_of_two() {
            self.slot.record_events(self.events, now.since(self.first));
        }
    }

    async fn next(&mut self) -> Next {
        loop {
            if let Some(event) = self.splitter.next() {
                return Next::Event(event);
            }
            match self.body.frame().await {
                None if self.splitter.is_empty() => return Next::End,
                None => return Next::Broken,
                Some(Err(error)) => {
                    log::info!(endpoint:% = self.record.id; "stream failed: {error}");
                    return Next::Broken;
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data()
                        && let Err(error) = self.splitter.add(&bytes)
                    {
                        log::warn!(endpoint:% = self.record.id; "{error}");
                        return Next::Broken;
                    }
                }
            }
        }
    }
}

/// Waits for the next event until the event timeout or the deadline. A stalled endpoint is kept if
/// the request may not be retried elsewhere.
async fn next(dispatch: &Dispatch, source: &mut Source) -> Next {
    loop {
        let left = dispatch.deadline.since(clock::now());
        if let Ok(next) = tokio::time::timeout(left.min(source.event_timeout), source.next()).await
        {
            return next;
        }
        if dispatch.deadline <= clock::now() {
            return Next::DeadlinePassed;
        }
        if dispatch.may_move(&source.record) {
            return Next::Stalled;
        }
    }
}

/// Waits for the first event, then answers with a stream that starts with it.
pub(super) async fn start(
    mut dispatch: Dispatch,
    reply: Reply,
    slot: SlotGuard,
    record: EndpointRecord,
) -> Response<AnswerBody> {
    let (head, mut source) = Source::new(reply, slot, &dispatch, record);
    let first = loop {
        let next = next(&dispatch, &mut source).await;
        match next {
            Next::Event(_) | Next::End => break next,
            Next::CallerDisconnected | Next::DeadlinePassed => {
                return dispatch.refuse(RefusalKind::DeadlineExceeded, None);
            }
            Next::Broken | Next::Stalled => {
                match resume(&mut dispatch, source, None, &next).await {
                    Some(resumed) => source = resumed,
                    None => return dispatch.refuse(RefusalKind::OutcomeUnknown, None),
                }
            }
        }
    };
    source.slot.record_first_byte();
    let waited = clock::now().since(dispatch.incoming.arrived);
    dispatch.context.metrics.first.observe(waited.as_secs_f64());
    let (response, sender) = answer::streaming(head.status(), answer_headers(head.headers()));
    let tasks = dispatch.context.tasks.clone();
    tasks.spawn_local(forward_events(dispatch, source, first, sender));
    response
}

/// Forwards events until the stream ends, the caller disconnects or the deadline passes.
async fn forward_events(
    mut dispatch: Dispatch,
    mut source: Source,
    first: Next,
    sender: mpsc::Sender<Chunk>,
) {
    let mut last = None;
    let mut stats = StreamStats::new();
    let first_byte = clock::now().since(dispatch.incoming.arrived);
    let mut upcoming = first;
    loop {
        match upcoming {
            Next::Event(event) => {
                // A resumed stream may start with events that the caller has already received.
                let is_duplicate = event
                    .id
                    .is_some_and(|id| last.is_some_and(|last| id <= last));
                last = event.id.or(last);
                source.event_timeout =
                    stall::next_event_timeout(dispatch.incoming.head.route.event_gap);
                stats.record_event();
                source.record_event();
                if !is_duplicate && sender.send(Ok(Frame::data(event.bytes))).await.is_err() {
                    return stats.log_end(&dispatch, &source, "caller gone");
                }
            }
            Next::End => break,
            Next::CallerDisconnected => return stats.log_end(&dispatch, &source, "caller gone"),
            Next::DeadlinePassed => {
                dispatch.count_answer(StatusCode::OK, "timeout");
                stats.log_end(&dispatch, &source, "timeout");
                drop(sender.send(Err(AnswerInterrupted)).await);
                return;
            }
            Next::Broken | Next::Stalled => {
                let resumed = tokio::select! {
                    resumed = resume(&mut dispatch, source, last, &upcoming) => resumed,
                    () = sender.closed() => {
                        return log::info!(request = dispatch.incoming.head.id_text(); "caller gone");
                    }
                };
                let Some(resumed) = resumed else {
                    dispatch.count_answer(StatusCode::OK, "broken");
                    drop(sender.send(Err(AnswerInterrupted)).await);
                    return;
                };
                source = resumed;
            }
        }
        upcoming = tokio::select! {
            next = next(&dispatch, &mut source) => next,
            () = sender.closed() => Next::CallerDisconnected,
        };
    }
    log::info!(
        request = dispatch.incoming.head.id_text(),
        endpoint:% = source.record.id,
        route:% = dispatch.incoming.head.route.name,
        waited = clock::millis(dispatch.waited),
        expected = dispatch.first_byte,
        first = clock::millis(first_byte),
        whole = dispatch.last_byte,
        took = clock::millis(clock::now().since(dispatch.incoming.arrived)),
        length = dispatch.incoming.head.length,
        pause = clock::millis(stats.longest_gap),
        events = stats.events,
        sends = dispatch.sends,
        prompt = dispatch.incoming.head.cost.map_or(0, |cost| cost.prompt);
        "stream complete"
    );
    dispatch.count_send("answered");
    dispatch.count_answer(StatusCode::OK, "endpoint");
    source.slot.end(Ending::Complete);
    dispatch.record_completion(source.lease);
}

/// Resumes the stream after the event `last` at another endpoint, if the route allows that.
async fn resume(
    dispatch: &mut Dispatch,
    source: Source,
    last: Option<u64>,
    cause: &Next,
) -> Option<Source> {
    dispatch.excluded.push(source.record.id.clone());
    let has_stalled = matches!(cause, Next::Stalled);
    if has_stalled {
        dispatch.log_outcome("silent", &source.record);
    } else {
        dispatch.log_outcome("broken", &source.record);
        dispatch.context.upstream.close(&source.record.id);
    }
    source.slot.end(Ending::Broken);
    drop(source.lease);
    dispatch.possible_runs += 1;
    if last.is_none() && !has_stalled {
        let mut scheduler = dispatch.context.scheduler.borrow_mut();
        scheduler
            .suspects_mut()
            .record_crash(dispatch.incoming.digest, clock::now());
    }
    let route = dispatch.incoming.head.route.clone();
    while route.retry.is_allowed() && dispatch.possible_runs < route.max_attempts {
        let now = clock::now();
        if dispatch.deadline <= now + MIN_RESUME_TIME
            || !dispatch
                .context
                .scheduler
                .borrow_mut()
                .take_retry(&dispatch.service, now)
        {
            return None;
        }
        let PlacementOutcome::Placed(placement, slot) = dispatch.place().await else {
            return None;
        };
        let record = placement.record.clone();
        if let Some(resumed) = resume_at(dispatch, &record, slot, last).await {
            return Some(resumed);
        }
        dispatch.excluded.push(record.id);
        if dispatch.sends >= super::SEND_LIMIT {
            return None;
        }
    }
    None
}

/// Asks one endpoint to resume the stream after the event `last`.
async fn resume_at(
    dispatch: &mut Dispatch,
    record: &EndpointRecord,
    slot: SlotGuard,
    last: Option<u64>,
) -> Option<Source> {
    dispatch.sends += 1;
    let request = dispatch.endpoint_request(record, last);
    let left = dispatch.deadline.since(clock::now());
    let timeout = left.min(dispatch.first_byte_timeout());
    let sending = dispatch.context.send(record, request);
    match tokio::time::timeout(timeout, sending).await {
        Ok(Ok(reply)) if matches!(dispatch.classify(&reply.response), AnswerKind::Success) => {
            dispatch.log_outcome("resumed", record);
            return Some(Source::new(reply, slot, dispatch, record.clone()).1);
        }
        Ok(Ok(reply)) => {
            let rejected = matches!(dispatch.classify(&reply.response), AnswerKind::Rejected);
            dispatch.possible_runs += u32::from(!rejected);
            slot.end(if rejected {
                Ending::Rejected
            } else {
                Ending::Failed
            });
        }
        Ok(Err(error)) => {
            dispatch.possible_runs += u32::from(!error.is_unsent());
            slot.end(match error {
                SendError::Unwanted => Ending::Cancelled,
                _ => Ending::Broken,
            });
            log::info!(endpoint:% = record.id; "cannot resume: {error}");
        }
        Err(_) => {
            dispatch.possible_runs += 1;
            dispatch.log_outcome("silent", record);
            slot.end(Ending::Broken);
        }
    }
    None
}
