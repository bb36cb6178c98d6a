//! One send of a request: builds what the endpoint receives, and interprets its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Ending, EndpointRecord, Holding, SOUND_TIME, stall};
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};

use super::attempt::{Begun, SendFault};
use super::crash_check;
use super::source::{Next, Source, StreamStart};
use super::{Dispatch, RETRY_DELAY};
use crate::answer::{self, AnswerBody};
use crate::body::{self, ANSWER_LIMIT_BYTES};
use crate::clock;
use crate::endpoint_call::set_header;
use crate::prompt_parts;
use crate::slot_guard::SlotGuard;
use crate::upstream::{Lease, Reply, SendError};

/// Classification of an endpoint's answer.
enum AnswerKind {
    /// The endpoint did not run the request.
    Rejected,
    /// A sealed answer with a success status.
    Success,
    /// A sealed answer with any other status.
    Failure,
    /// The answer belongs to another request or has no seal.
    Foreign,
}

impl Dispatch {
    /// Builds the request for one endpoint. `resume` is the last event that the caller has
    /// received.
    fn endpoint_request(
        &self,
        record: &EndpointRecord,
        resume: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let dialect = &self.context.dialect;
        let parts = &self.incoming.parts;
        let mut headers = self.incoming.head.headers.clone();
        let deadline = self.incoming.arrived + self.incoming.head.deadline;
        let left = deadline.min(self.deadline).since(clock::now()).as_millis();
        set_header(&mut headers, &dialect.deadline, &left.to_string());
        set_header(&mut headers, &dialect.instance, &record.id);
        if let Some(team) = &self.incoming.head.team {
            set_header(&mut headers, &dialect.team, &team.name);
        }
        if let Some(last) = resume {
            set_header(&mut headers, &dialect.resume, &last.to_string());
        }
        let mut request = Request::new(Full::new(self.incoming.body.clone()));
        *request.method_mut() = parts.method.clone();
        let target = parts.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| parts.uri.clone(), Into::into);
        *request.headers_mut() = headers;
        request
    }

    /// Returns how long the endpoint of the last placement may take to start its answer.
    pub(super) fn first_byte_timeout(&self) -> Duration {
        let expected = Duration::from_millis(self.estimate.get().first_byte);
        stall::first_byte_timeout(expected, self.incoming.head.route.streaming)
    }

    /// Sends the request once, and waits until the answer is complete or its stream has begun.
    pub(super) async fn send_once(
        &self,
        record: &EndpointRecord,
        slot: SlotGuard,
        reservation: Option<String>,
        last: Option<u64>,
    ) -> Result<Begun, SendFault> {
        let mut request = self.endpoint_request(record, last);
        if let Some(id) = reservation {
            let header = &self.context.dialect.reservation.header;
            set_header(request.headers_mut(), header, &id);
        }
        let sent = clock::now();
        let sending = self
            .context
            .send(record, request, &self.incoming.fingerprint);
        let reply = match sending.await {
            Ok(reply) => reply,
            Err(error) => return Err(self.handle_error(&error, record, sent, slot)),
        };
        let goes_on = last.is_some() || self.incoming.head.resumption.is_some();
        let is_event_stream = is_event_stream(&reply.response);
        match self.classify(&reply.response) {
            AnswerKind::Success if is_event_stream && self.incoming.head.route.streaming => {
                self.begin_stream(reply, sent, slot, record, goes_on).await
            }
            AnswerKind::Success if goes_on => {
                self.log_outcome("no event stream", record);
                slot.end(Ending::Failed);
                self.drain(reply);
                Err(SendFault::Failed)
            }
            AnswerKind::Success => {
                let collected = self
                    .collect(reply, sent, slot, record, Ending::Complete)
                    .await;
                collected.map(Begun::Complete)
            }
            AnswerKind::Failure => {
                let response = self
                    .collect(reply, sent, slot, record, Ending::Failed)
                    .await?;
                self.failed.replace(Some(response));
                Err(SendFault::Failed)
            }
            AnswerKind::Rejected => Err(self.handle_rejection(reply, slot, record)),
            AnswerKind::Foreign => {
                self.log_outcome("foreign", record);
                slot.end(Ending::Broken);
                Err(SendFault::Unknown)
            }
        }
    }

    /// Waits for the first event of a stream. A head alone does not show that the endpoint works on
    /// the request. `goes_on` states whether the caller has received events before.
    async fn begin_stream(
        &self,
        reply: Reply,
        sent: Timestamp,
        slot: SlotGuard,
        record: &EndpointRecord,
        goes_on: bool,
    ) -> Result<Begun, SendFault> {
        let (head, source) = Source::new(reply, sent, slot, self, record.clone());
        let mut source = source.with_numbered_events(goes_on);
        let first = source.next().await;
        if matches!(first, Next::Broken) {
            self.leave_broken(&mut source);
            return Err(SendFault::Cut(head));
        }
        let start = StreamStart {
            head,
            source,
            first,
        };
        Ok(Begun::Stream(Box::new(start)))
    }

    /// Leaves an endpoint whose stream broke off. A request whose stream breaks off soon after its
    /// first event is suspected of crashing endpoints.
    pub(super) fn leave_broken(&self, source: &mut Source) {
        self.log_broken(&source.record, source.sent, source.events());
        self.context.upstream.close(&source.record.id);
        source.slot.release(Ending::Broken);
        self.record_break(&source.record, source.sent, source.begun());
    }

    /// Checks whether the endpoint that broke off has crashed. The request is suspected of it, unless
    /// its answer began, at `begun`, so long ago that its run is sound.
    fn record_break(&self, record: &EndpointRecord, sent: Timestamp, begun: Option<Timestamp>) {
        let (incarnation, now) = (self.reached(record, sent), clock::now());
        let mut scheduler = self.context.scheduler.borrow_mut();
        let containment = scheduler.containment_mut();
        let is_unchecked = containment.observe_break(incarnation, now);
        if begun.is_none_or(|begun| now < begun + SOUND_TIME) {
            let fingerprint = &self.incoming.fingerprint;
            containment.record_break(fingerprint, incarnation, begun.is_some(), now);
        }
        if is_unchecked {
            let checking =
                crash_check::check(Rc::clone(&self.context), record.clone(), incarnation);
            self.context.tasks.spawn_local(checking);
        }
    }

    /// Returns the incarnation of an endpoint that a request reached which was sent at `sent`.
    fn reached(&self, record: &EndpointRecord, sent: Timestamp) -> u64 {
        let scheduler = self.context.scheduler.borrow();
        scheduler.containment().reached(record.incarnation(), sent)
    }

    /// Counts the outcome of a send in the metrics.
    pub(super) fn count_send(&self, outcome: &str) {
        let sends = &self.context.metrics.sends;
        sends.with_label_values(&[outcome]).inc();
    }

    pub(super) fn log_outcome(&self, outcome: &str, record: &EndpointRecord) {
        self.count_send(outcome);
        log::info!(request = self.incoming.head.id_text(), endpoint:% = record.id, build:% = record.build, send = self.sends.get(); "{outcome}");
    }

    /// Logs that an endpoint broke off after `events` events of its answer, with what may have crashed
    /// it.
    fn log_broken(&self, record: &EndpointRecord, sent: Timestamp, events: u32) {
        self.count_send("broken");
        let incarnation = self.reached(record, sent);
        let head = &self.incoming.head;
        log::info!(
            request = head.id_text(),
            endpoint:% = record.id,
            build:% = record.build,
            send = self.sends.get(),
            events = events,
            incarnation:% = format_args!("{incarnation:x}"),
            digest:% = format_args!("{:x}", self.incoming.fingerprint.body.0),
            parts:% = prompt_parts::text(&head.parts);
            "broken"
        );
    }

    fn handle_error(
        &self,
        error: &SendError,
        record: &EndpointRecord,
        sent: Timestamp,
        slot: SlotGuard,
    ) -> SendFault {
        if error.is_unsent() {
            return self.handle_unsent(error, record, slot);
        }
        self.log_broken(record, sent, 0);
        self.leave_unanswered(error, record, slot);
        self.record_break(record, sent, None);
        SendFault::Unknown
    }

    /// Handles an endpoint that cannot have received the request.
    pub(super) fn handle_unsent(
        &self,
        error: &SendError,
        record: &EndpointRecord,
        slot: SlotGuard,
    ) -> SendFault {
        self.log_outcome("unsent", record);
        if error.is_refused() {
            let now = clock::now();
            let incarnation = self.reached(record, now);
            let mut scheduler = self.context.scheduler.borrow_mut();
            let containment = scheduler.containment_mut();
            containment.record_end(incarnation, now);
        }
        self.leave_unanswered(error, record, slot);
        SendFault::Unsent
    }

    fn leave_unanswered(&self, error: &SendError, record: &EndpointRecord, slot: SlotGuard) {
        log::info!(request = self.incoming.head.id_text(), endpoint:% = record.id; "no answer: {error}");
        if matches!(error, SendError::Unwanted) {
            return slot.end(Ending::Cancelled);
        }
        slot.end(Ending::Broken);
        self.context.upstream.close(&record.id);
    }

    /// Handles an answer which states that the endpoint did not run the request.
    fn handle_rejection(
        &self,
        reply: Reply,
        slot: SlotGuard,
        record: &EndpointRecord,
    ) -> SendFault {
        if reply.response.status() == StatusCode::MISDIRECTED_REQUEST {
            self.leave_misdirected(record, slot);
        } else {
            self.log_outcome("rejected", record);
            slot.end(Ending::Rejected);
            self.drain(reply);
        }
        SendFault::NotRun
    }

    /// Leaves an address at which another endpoint answers.
    pub(super) fn leave_misdirected(&self, record: &EndpointRecord, slot: SlotGuard) {
        self.log_outcome("rejected", record);
        slot.end(Ending::Broken);
        self.context.upstream.close(&record.id);
    }

    /// Reads and discards the rest of an answer, so that its connection can be reused.
    fn drain(&self, reply: Reply) {
        let upstream = self.context.upstream.clone();
        self.context.tasks.spawn_local(async move {
            let (response, lease) = reply.split();
            let reading = body::discard(response.into_body(), ANSWER_LIMIT_BYTES);
            if let Ok(Ok(())) = tokio::time::timeout(RETRY_DELAY, reading).await {
                upstream.put_back(lease).await;
            }
        });
    }

    /// Reads the complete answer before any of it is sent to the caller.
    async fn collect(
        &self,
        reply: Reply,
        sent: Timestamp,
        mut slot: SlotGuard,
        record: &EndpointRecord,
        ending: Ending,
    ) -> Result<Response<AnswerBody>, SendFault> {
        slot.record_first_byte();
        let begun = clock::now();
        let (response, lease) = reply.split();
        let (parts, body) = response.into_parts();
        let holder = self.context.buffers.open(Holding::Request);
        let answers = &self.context.large_answers;
        let reading = answers.collect(body, ANSWER_LIMIT_BYTES, holder.as_ref());
        let body = match reading.await {
            Ok(body) => body,
            Err(error) => {
                self.log_broken(record, sent, 0);
                log::info!(request = self.incoming.head.id_text(), endpoint:% = record.id; "no answer: {error}");
                slot.end(Ending::Broken);
                self.record_break(record, sent, Some(begun));
                return Err(SendFault::Unknown);
            }
        };
        self.count_send("answered");
        log::info!(
            request = self.incoming.head.id_text(),
            endpoint:% = record.id,
            build:% = record.build,
            status = parts.status.as_u16(),
            send = self.sends.get();
            "answered"
        );
        slot.end(ending);
        // An endpoint that fails may have begun no answer.
        if ending == Ending::Complete {
            self.record_sound(begun);
        }
        self.record_completion(lease);
        let headers = answer_headers(&parts.headers);
        Ok(match &holder {
            Some(holder) => {
                answer::held(parts.status, headers, body, holder, &self.incoming.head.id)
            }
            None => answer::complete(parts.status, headers, body),
        })
    }

    /// Keeps the connection of a complete answer. Equal requests are no longer suspected of crashing
    /// endpoints.
    pub(super) fn record_completion(&self, lease: Lease) {
        let upstream = self.context.upstream.clone();
        self.context
            .tasks
            .spawn_local(async move { upstream.put_back(lease).await });
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler
            .containment_mut()
            .record_completion(&self.incoming.fingerprint, clock::now());
    }

    /// Records that the run of the answer that began at `begun` goes on, or went on to its end.
    pub(super) fn record_sound(&self, begun: Timestamp) {
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler
            .containment_mut()
            .record_sound(&self.incoming.fingerprint, begun, clock::now());
    }

    fn classify<B>(&self, response: &Response<B>) -> AnswerKind {
        let dialect = &self.context.dialect;
        let headers = response.headers();
        if headers.get(&dialect.request) != Some(&self.incoming.head.id) {
            return AnswerKind::Foreign;
        }
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || headers.contains_key(&dialect.rejected) {
            return AnswerKind::Rejected;
        }
        match headers.contains_key(&dialect.seal) {
            true if response.status().is_success() => AnswerKind::Success,
            true => AnswerKind::Failure,
            false => AnswerKind::Foreign,
        }
    }
}

/// Returns whether a successful answer is a stream of events.
fn is_event_stream<B>(response: &Response<B>) -> bool {
    let Some(kind) = response.headers().get(CONTENT_TYPE) else {
        return response.status() == StatusCode::OK;
    };
    let kind = kind.to_str().unwrap_or_default();
    let (essence, _) = kind.split_once(';').unwrap_or((kind, ""));
    let is_stream = essence.trim().eq_ignore_ascii_case("text/event-stream");
    is_stream && response.status() == StatusCode::OK
}

/// Returns the headers of an endpoint's answer that are forwarded to the caller.
pub(super) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "upgrade",
        "trailer",
        "te",
    ] {
        forwarded.remove(name);
    }
    forwarded.remove(CONTENT_LENGTH);
    forwarded.remove(TRANSFER_ENCODING);
    forwarded
}
