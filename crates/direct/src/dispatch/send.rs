//! One send of a request: builds what the endpoint receives, and interprets its answer.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::direct::{Ending, EndpointRecord, Placement, stall};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};

use super::{AnswerKind, Dispatch, RETRY_DELAY, SendFault};
use crate::answer::{self, AnswerBody};
use crate::clock;
use crate::context::SlotGuard;
use crate::upstream::{Lease, Reply, SendError};

/// Time that must remain before the deadline to abandon a stalled endpoint for another one.
const MIN_RETRY_TIME: Duration = Duration::from_millis(150);

/// Largest answer that is buffered until it is complete, in bytes.
const BODY_LIMIT_BYTES: usize = 8 << 20;

impl Dispatch {
    /// Builds the request for one endpoint. `resume` is the last event that the caller has
    /// received.
    pub(super) fn endpoint_request(
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

    /// Sends the request once, and abandons a stalled endpoint if the request may be retried
    /// elsewhere.
    pub(super) async fn send(
        &self,
        placement: &Placement,
        slot: SlotGuard,
        reservation: Option<String>,
    ) -> Result<Result<Response<AnswerBody>, SendFault>, (Reply, SlotGuard, EndpointRecord)> {
        let mut sending = pin!(self.send_once(placement, slot, reservation));
        if let Ok(result) = tokio::time::timeout(self.first_byte_timeout(), sending.as_mut()).await
        {
            return result;
        }
        if !self.may_move(&placement.record) {
            return sending.await;
        }
        self.log_outcome("silent", &placement.record);
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.record_failure(&placement.run, clock::now());
        Ok(Err(SendFault::Unknown))
    }

    /// Returns whether the request may be abandoned at the endpoint that runs it and retried at
    /// another one.
    pub(super) fn may_move(&self, record: &EndpointRecord) -> bool {
        let route = &self.incoming.head.route;
        let now = clock::now();
        if !route.retry.is_allowed()
            || self.possible_runs + 1 >= route.max_attempts
            || self.deadline < now + MIN_RETRY_TIME
        {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(record.id.clone());
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.may_retry(&self.service, &excluded, route.streaming, now)
    }

    /// Returns how long the endpoint of the last placement may take to start its answer.
    pub(super) fn first_byte_timeout(&self) -> Duration {
        let expected = Duration::from_millis(self.first_byte);
        stall::first_byte_timeout(expected, self.incoming.head.route.streaming)
    }

    /// Sends the request once. A streamed answer is returned as the outer error when its head
    /// arrives.
    async fn send_once(
        &self,
        placement: &Placement,
        slot: SlotGuard,
        reservation: Option<String>,
    ) -> Result<Result<Response<AnswerBody>, SendFault>, (Reply, SlotGuard, EndpointRecord)> {
        let record = &placement.record;
        let mut request = self.endpoint_request(record, None);
        if let Some(id) = reservation {
            let header = &self.context.dialect.reservation.header;
            set_header(request.headers_mut(), header, &id);
        }
        match self.context.send(record, request).await {
            Err(error) => Ok(Err(self.handle_error(&error, record, slot))),
            Ok(reply) => match self.classify(&reply.response) {
                AnswerKind::Success if self.incoming.head.route.streaming => {
                    Err((reply, slot, record.clone()))
                }
                AnswerKind::Success => {
                    Ok(self.collect(reply, slot, record, Ending::Complete).await)
                }
                AnswerKind::Failure => {
                    match self.collect(reply, slot, record, Ending::Failed).await {
                        Ok(response) => Ok(Err(SendFault::Failed(response))),
                        Err(fault) => Ok(Err(fault)),
                    }
                }
                AnswerKind::Rejected => Ok(Err(self.handle_rejection(reply, slot, record))),
                AnswerKind::Foreign => {
                    self.log_outcome("foreign", record);
                    slot.end(Ending::Broken);
                    Ok(Err(SendFault::Unknown))
                }
            },
        }
    }

    /// Counts the outcome of a send in the metrics.
    pub(super) fn count_send(&self, outcome: &str) {
        let sends = &self.context.metrics.sends;
        sends.with_label_values(&[outcome]).inc();
    }

    pub(super) fn log_outcome(&self, outcome: &str, record: &EndpointRecord) {
        self.count_send(outcome);
        log::info!(request = self.incoming.head.id_text(), endpoint:% = record.id, send = self.sends; "{outcome}");
    }

    fn handle_error(
        &self,
        error: &SendError,
        record: &EndpointRecord,
        slot: SlotGuard,
    ) -> SendFault {
        if error.is_unsent() {
            return self.handle_unsent(error, record, slot);
        }
        self.log_break("broken", error, record, slot);
        let digest = self.incoming.digest;
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.suspects_mut().record_crash(digest, clock::now());
        SendFault::Unknown
    }

    /// Handles an endpoint that cannot have received the request.
    pub(super) fn handle_unsent(
        &self,
        error: &SendError,
        record: &EndpointRecord,
        slot: SlotGuard,
    ) -> SendFault {
        self.log_break("unsent", error, record, slot);
        SendFault::Unsent
    }

    fn log_break(
        &self,
        outcome: &str,
        error: &SendError,
        record: &EndpointRecord,
        slot: SlotGuard,
    ) {
        self.log_outcome(outcome, record);
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
            let reading = Limited::new(response.into_body(), BODY_LIMIT_BYTES).collect();
            if let Ok(Ok(_)) = tokio::time::timeout(RETRY_DELAY, reading).await {
                upstream.put_back(lease).await;
            }
        });
    }

    /// Reads the complete answer before any of it is sent to the caller.
    async fn collect(
        &self,
        reply: Reply,
        mut slot: SlotGuard,
        record: &EndpointRecord,
        ending: Ending,
    ) -> Result<Response<AnswerBody>, SendFault> {
        slot.record_first_byte();
        let (response, lease) = reply.split();
        let (parts, body) = response.into_parts();
        let read = Limited::new(body, BODY_LIMIT_BYTES).collect().await;
        let Ok(body) = read else {
            self.log_outcome("broken", record);
            slot.end(Ending::Broken);
            return Err(SendFault::Unknown);
        };
        self.count_send("answered");
        log::info!(
            request = self.incoming.head.id_text(),
            endpoint:% = record.id,
            status = parts.status.as_u16(),
            send = self.sends;
            "answered"
        );
        slot.end(ending);
        self.record_completion(lease);
        let headers = answer_headers(&parts.headers);
        self.count_answer(parts.status, "endpoint");
        Ok(answer::complete(parts.status, headers, body.to_bytes()))
    }

    /// Keeps the connection of a complete answer. The request is no longer suspected of crashing
    /// endpoints.
    pub(super) fn record_completion(&self, lease: Lease) {
        let upstream = self.context.upstream.clone();
        self.context
            .tasks
            .spawn_local(async move { upstream.put_back(lease).await });
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.suspects_mut().clear(self.incoming.digest);
    }

    pub(super) fn classify<B>(&self, response: &Response<B>) -> AnswerKind {
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

pub(super) fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => log::warn!("cannot set header {name}: {error}"),
    }
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
