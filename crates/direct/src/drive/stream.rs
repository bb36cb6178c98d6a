//! A streamed answer: whole events as they arrive, resumed at another endpoint where that is allowed.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Ending, EndpointRecord, stall};
use comfreyhaven_core::refusal::RefusalKind;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::send::passed_back;
use super::{Drive, Kind};
use crate::answer::{self, AnswerBody, BrokenOff, Piece};
use crate::clock;
use crate::context::{Answer, Hold};
use crate::events::{Event, Splitter};
use crate::upstream::{Lease, Reply};

/// Time that has to be left to go on at another endpoint.
const RESUME_TIME: Duration = Duration::from_millis(100);

/// What a stream was like, for its log line.
#[derive(Debug)]
struct Pauses {
    last: Timestamp,
    longest: Duration,
    events: u32,
}

impl Pauses {
    fn new() -> Self {
        Self {
            last: clock::now(),
            longest: Duration::ZERO,
            events: 0,
        }
    }

    fn note(&mut self) {
        let now = clock::now();
        if self.events > 0 {
            self.longest = self.longest.max(now.since(self.last));
        }
        self.last = now;
        self.events += 1;
    }

    /// Writes how a stream ended that did not become whole.
    fn tell(&self, drive: &Drive, source: &Source, outcome: &str) {
        drive.tally(outcome);
        log::info!(
            request = drive.intake.head.name(),
            endpoint:% = source.listing.id,
            send = drive.sends,
            length = drive.intake.head.length,
            expected = drive.expected,
            whole = drive.whole,
            events = self.events,
            pause = clock::millis(self.longest),
            silent = clock::millis(clock::now().since(self.last));
            "{outcome}"
        );
    }
}

/// An answer that comes from one endpoint.
struct Source {
    body: Incoming,
    lease: Lease,
    hold: Hold,
    listing: EndpointRecord,
    splitter: Splitter,
    /// How long the next event may take.
    patience: Duration,
    /// Events that came from this endpoint, and when the first one did.
    events: u32,
    first: Timestamp,
}

/// What comes next on a stream.
enum Next {
    Event(Event),
    /// The answer is whole.
    End,
    /// The endpoint broke off.
    Broken,
    /// The endpoint says nothing.
    Silent,
    /// The caller left.
    Left,
    /// The time is over.
    Over,
}

impl Source {
    fn new(
        reply: Reply,
        hold: Hold,
        drive: &Drive,
        listing: EndpointRecord,
    ) -> (Response<()>, Self) {
        let (response, lease) = reply.split();
        let (parts, body) = response.into_parts();
        let source = Self {
            body,
            lease,
            hold,
            listing,
            splitter: Splitter::default(),
            patience: drive.patience(),
            events: 0,
            first: Timestamp::ZERO,
        };
        (Response::from_parts(parts, ()), source)
    }

    /// Counts an event, and learns the endpoint's speed now and then.
    fn count(&mut self) {
        let now = clock::now();
        if self.events == 0 {
            self.first = now;
        }
        self.events += 1;
        if self.events.is_power_of_two() {
            self.hold.stream(self.events, now.since(self.first));
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
                    log::info!(endpoint:% = self.listing.id; "stream broke: {error}");
                    return Next::Broken;
                }
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data()
                        && let Err(error) = self.splitter.add(&bytes)
                    {
                        log::warn!(endpoint:% = self.listing.id; "{error}");
                        return Next::Broken;
                    }
                }
            }
        }
    }
}

/// Waits for the next event for as long as the endpoint may be silent and the request may take.
async fn next(drive: &Drive, source: &mut Source) -> Next {
    loop {
        let left = drive.limit.since(clock::now());
        if let Ok(next) = tokio::time::timeout(left.min(source.patience), source.next()).await {
            return next;
        }
        if drive.limit <= clock::now() {
            return Next::Over;
        }
        if drive.may_leave(&source.listing) {
            return Next::Silent;
        }
    }
}

/// Waits for the first event and answers with a stream that begins with it.
pub(super) async fn begin(
    mut drive: Drive,
    reply: Reply,
    hold: Hold,
    listing: EndpointRecord,
) -> Response<AnswerBody> {
    let (head, mut source) = Source::new(reply, hold, &drive, listing);
    let first = loop {
        let next = next(&drive, &mut source).await;
        match next {
            Next::Event(_) | Next::End => break next,
            Next::Left | Next::Over => return drive.refuse(RefusalKind::DeadlineExceeded, None),
            Next::Broken | Next::Silent => match resume(&mut drive, source, None, &next).await {
                Some(resumed) => source = resumed,
                None => return drive.refuse(RefusalKind::OutcomeUnknown, None),
            },
        }
    };
    source.hold.begin();
    let waited = clock::now().since(drive.intake.arrived);
    drive.context.metrics.first.observe(waited.as_secs_f64());
    let (response, sender) = answer::streamed(head.status(), passed_back(head.headers()));
    let tasks = drive.context.tasks.clone();
    tasks.spawn_local(pump(drive, source, first, sender));
    response
}

/// Passes events on until the stream ends, the caller leaves or the time is over.
async fn pump(mut drive: Drive, mut source: Source, first: Next, sender: mpsc::Sender<Piece>) {
    let mut last = None;
    let mut pauses = Pauses::new();
    let began = clock::now().since(drive.intake.arrived);
    let mut coming = first;
    loop {
        match coming {
            Next::Event(event) => {
                // A resumed stream may begin with events that the caller has.
                let known = event
                    .id
                    .is_some_and(|id| last.is_some_and(|last| id <= last));
                last = event.id.or(last);
                source.patience = stall::next_event_timeout(drive.intake.head.route.event_gap);
                pauses.note();
                source.count();
                if !known && sender.send(Ok(Frame::data(event.bytes))).await.is_err() {
                    return pauses.tell(&drive, &source, "caller gone");
                }
            }
            Next::End => break,
            Next::Left => return pauses.tell(&drive, &source, "caller gone"),
            Next::Over => {
                drive.count(StatusCode::OK, "timeout");
                pauses.tell(&drive, &source, "timeout");
                drop(sender.send(Err(BrokenOff)).await);
                return;
            }
            Next::Broken | Next::Silent => {
                let resumed = tokio::select! {
                    resumed = resume(&mut drive, source, last, &coming) => resumed,
                    () = sender.closed() => {
                        return log::info!(request = drive.intake.head.name(); "caller gone");
                    }
                };
                let Some(resumed) = resumed else {
                    drive.count(StatusCode::OK, "broken");
                    drop(sender.send(Err(BrokenOff)).await);
                    return;
                };
                source = resumed;
            }
        }
        coming = tokio::select! {
            next = next(&drive, &mut source) => next,
            () = sender.closed() => Next::Left,
        };
    }
    log::info!(
        request = drive.intake.head.name(),
        endpoint:% = source.listing.id,
        route:% = drive.intake.head.route.name,
        waited = clock::millis(drive.waited),
        expected = drive.expected,
        first = clock::millis(began),
        whole = drive.whole,
        took = clock::millis(clock::now().since(drive.intake.arrived)),
        length = drive.intake.head.length,
        pause = clock::millis(pauses.longest),
        events = pauses.events,
        sends = drive.sends,
        prompt = drive.intake.head.cost.map_or(0, |cost| cost.prompt);
        "stream complete"
    );
    drive.tally("answered");
    drive.count(StatusCode::OK, "endpoint");
    source.hold.end(Ending::Complete);
    drive.finish(source.lease);
}

/// Finds another endpoint that goes on after the event `last`, if the route allows that.
async fn resume(
    drive: &mut Drive,
    source: Source,
    last: Option<u64>,
    cause: &Next,
) -> Option<Source> {
    drive.excluded.push(source.listing.id.clone());
    let is_silent = matches!(cause, Next::Silent);
    if is_silent {
        drive.note("silent", &source.listing);
    } else {
        drive.note("broken", &source.listing);
        drive.context.upstream.close(&source.listing.id);
    }
    source.hold.end(Ending::Broken);
    drop(source.lease);
    drive.runs += 1;
    if last.is_none() && !is_silent {
        let mut scheduler = drive.context.scheduler.borrow_mut();
        scheduler
            .suspects_mut()
            .record_crash(drive.intake.digest, clock::now());
    }
    let route = drive.intake.head.route.clone();
    while route.retry.is_allowed() && drive.runs < route.max_attempts {
        let now = clock::now();
        if drive.limit <= now + RESUME_TIME
            || !drive
                .context
                .scheduler
                .borrow_mut()
                .take_retry(&drive.service, now)
        {
            return None;
        }
        let Answer::Placed(placement, hold) = drive.place().await else {
            return None;
        };
        let listing = placement.record.clone();
        if let Some(resumed) = go_on(drive, &listing, hold, last).await {
            return Some(resumed);
        }
        drive.excluded.push(listing.id);
        if drive.sends >= super::SENDS_LIMIT {
            return None;
        }
    }
    None
}

/// Asks one endpoint to go on after the event `last`.
async fn go_on(
    drive: &mut Drive,
    listing: &EndpointRecord,
    hold: Hold,
    last: Option<u64>,
) -> Option<Source> {
    drive.sends += 1;
    let request = drive.request(listing, last);
    let left = drive.limit.since(clock::now());
    let patience = left.min(drive.patience());
    let sending = drive.context.upstream.send(listing, request);
    match tokio::time::timeout(patience, sending).await {
        Ok(Ok(reply)) if matches!(drive.kind(&reply.response), Kind::Success) => {
            drive.note("resumed", listing);
            return Some(Source::new(reply, hold, drive, listing.clone()).1);
        }
        Ok(Ok(reply)) => {
            let rejected = matches!(drive.kind(&reply.response), Kind::Rejected);
            drive.runs += u32::from(!rejected);
            hold.end(if rejected {
                Ending::Rejected
            } else {
                Ending::Failed
            });
        }
        Ok(Err(error)) => {
            drive.runs += u32::from(!error.is_unsent());
            hold.end(Ending::Broken);
            log::info!(endpoint:% = listing.id; "cannot resume: {error}");
        }
        Err(_) => {
            drive.runs += 1;
            drive.note("silent", listing);
            hold.end(Ending::Broken);
        }
    }
    None
}
