//! One send of a request: what its endpoint gets, and what its answer means.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::direct::{Ending, EndpointRecord, Placement, stall};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};

use super::{Drive, Fault, Kind, RETRY_PAUSE};
use crate::answer::{self, AnswerBody};
use crate::clock;
use crate::context::Hold;
use crate::upstream::{Lease, Reply, SendError};

/// Time that has to be left to leave an endpoint that says nothing.
const LEAVING_TIME: Duration = Duration::from_millis(150);

/// Largest answer that is held until it is whole, in bytes.
const WHOLE_LIMIT_BYTES: usize = 8 << 20;

impl Drive {
    /// The request as one endpoint gets it.
    pub(super) fn request(
        &self,
        listing: &EndpointRecord,
        resume: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let dialect = &self.context.dialect;
        let parts = &self.intake.parts;
        let mut headers = self.intake.head.headers.clone();
        let deadline = self.intake.arrived + self.intake.head.deadline;
        let left = deadline.min(self.limit).since(clock::now()).as_millis();
        set(&mut headers, &dialect.deadline, &left.to_string());
        set(&mut headers, &dialect.instance, &listing.id);
        if let Some(team) = &self.intake.head.team {
            set(&mut headers, &dialect.team, &team.name);
        }
        if let Some(last) = resume {
            set(&mut headers, &dialect.resume, &last.to_string());
        }
        let mut request = Request::new(Full::new(self.intake.body.clone()));
        *request.method_mut() = parts.method.clone();
        let target = parts.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| parts.uri.clone(), Into::into);
        *request.headers_mut() = headers;
        request
    }

    /// Sends the request once, and leaves an endpoint that says nothing where another may be tried.
    pub(super) async fn send(
        &self,
        placement: &Placement,
        hold: Hold,
    ) -> Result<Result<Response<AnswerBody>, Fault>, (Reply, Hold, EndpointRecord)> {
        let mut sending = pin!(self.exchange(placement, hold));
        if let Ok(result) = tokio::time::timeout(self.patience(), sending.as_mut()).await {
            return result;
        }
        if !self.may_leave(&placement.record) {
            return sending.await;
        }
        self.note("silent", &placement.record);
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.record_failure(&placement.run, clock::now());
        Ok(Err(Fault::Unknown))
    }

    /// Whether the request may leave an endpoint that runs it for another one.
    pub(super) fn may_leave(&self, listing: &EndpointRecord) -> bool {
        let route = &self.intake.head.route;
        let now = clock::now();
        if !route.retry.is_allowed()
            || self.runs + 1 >= route.max_attempts
            || self.limit < now + LEAVING_TIME
        {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(listing.id.clone());
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.may_retry(&self.service, &excluded, route.streaming, now)
    }

    /// How long the endpoint of the last placement may take to begin its answer.
    pub(super) fn patience(&self) -> Duration {
        let expected = Duration::from_millis(self.expected);
        stall::first_byte_timeout(expected, self.intake.head.route.streaming)
    }

    /// Sends the request once. A stream that has begun is handed over as the outer error.
    async fn exchange(
        &self,
        placement: &Placement,
        hold: Hold,
    ) -> Result<Result<Response<AnswerBody>, Fault>, (Reply, Hold, EndpointRecord)> {
        let listing = &placement.record;
        let request = self.request(listing, None);
        match self.context.upstream.send(listing, request).await {
            Err(error) => Ok(Err(self.broken(&error, listing, hold))),
            Ok(reply) => match self.kind(&reply.response) {
                Kind::Success if self.intake.head.route.streaming => {
                    Err((reply, hold, listing.clone()))
                }
                Kind::Success => Ok(self.collect(reply, hold, listing, Ending::Complete).await),
                Kind::Failure => match self.collect(reply, hold, listing, Ending::Failed).await {
                    Ok(response) => Ok(Err(Fault::Failed(response))),
                    Err(fault) => Ok(Err(fault)),
                },
                Kind::Rejected => Ok(Err(self.rejected(reply, hold, listing))),
                Kind::Foreign => {
                    self.note("foreign", listing);
                    hold.end(Ending::Broken);
                    Ok(Err(Fault::Unknown))
                }
            },
        }
    }

    /// Counts what became of a send.
    pub(super) fn tally(&self, outcome: &str) {
        let sends = &self.context.metrics.sends;
        sends.with_label_values(&[outcome]).inc();
    }

    pub(super) fn note(&self, outcome: &str, listing: &EndpointRecord) {
        self.tally(outcome);
        log::info!(request = self.intake.head.name(), endpoint:% = listing.id, send = self.sends; "{outcome}");
    }

    fn broken(&self, error: &SendError, listing: &EndpointRecord, hold: Hold) -> Fault {
        self.note(
            if error.is_unsent() {
                "unsent"
            } else {
                "broken"
            },
            listing,
        );
        log::info!(request = self.intake.head.name(), endpoint:% = listing.id; "no answer: {error}");
        hold.end(Ending::Broken);
        self.context.upstream.close(&listing.id);
        if error.is_unsent() {
            return Fault::NotRun;
        }
        let digest = self.intake.digest;
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.suspects_mut().record_crash(digest, clock::now());
        Fault::Unknown
    }

    /// The endpoint did not run the request.
    fn rejected(&self, reply: Reply, hold: Hold, listing: &EndpointRecord) -> Fault {
        self.note("rejected", listing);
        let other = reply.response.status() == StatusCode::MISDIRECTED_REQUEST;
        hold.end(if other {
            Ending::Broken
        } else {
            Ending::Rejected
        });
        if other {
            self.context.upstream.close(&listing.id);
        } else {
            self.drain(reply);
        }
        Fault::NotRun
    }

    /// Reads the rest of an answer that nobody needs, so that its connection can be kept.
    fn drain(&self, reply: Reply) {
        let upstream = self.context.upstream.clone();
        self.context.tasks.spawn_local(async move {
            let (response, lease) = reply.split();
            let reading = Limited::new(response.into_body(), WHOLE_LIMIT_BYTES).collect();
            if let Ok(Ok(_)) = tokio::time::timeout(RETRY_PAUSE, reading).await {
                upstream.keep(lease).await;
            }
        });
    }

    /// Reads an answer to its end before the caller sees any of it.
    async fn collect(
        &self,
        reply: Reply,
        mut hold: Hold,
        listing: &EndpointRecord,
        ending: Ending,
    ) -> Result<Response<AnswerBody>, Fault> {
        hold.begin();
        let (response, lease) = reply.split();
        let (parts, body) = response.into_parts();
        let read = Limited::new(body, WHOLE_LIMIT_BYTES).collect().await;
        let Ok(body) = read else {
            self.note("broken", listing);
            hold.end(Ending::Broken);
            return Err(Fault::Unknown);
        };
        self.tally("answered");
        log::info!(
            request = self.intake.head.name(),
            endpoint:% = listing.id,
            status = parts.status.as_u16(),
            send = self.sends;
            "answered"
        );
        hold.end(ending);
        self.finish(lease);
        let headers = passed_back(&parts.headers);
        self.count(parts.status, "endpoint");
        Ok(answer::whole(parts.status, headers, body.to_bytes()))
    }

    /// Keeps the connection of a whole answer.
    pub(super) fn finish(&self, lease: Lease) {
        let upstream = self.context.upstream.clone();
        self.context
            .tasks
            .spawn_local(async move { upstream.keep(lease).await });
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.suspects_mut().clear(self.intake.digest);
    }

    pub(super) fn kind<B>(&self, response: &Response<B>) -> Kind {
        let dialect = &self.context.dialect;
        let headers = response.headers();
        if headers.get(&dialect.request) != Some(&self.intake.head.id) {
            return Kind::Foreign;
        }
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || headers.contains_key(&dialect.rejected) {
            return Kind::Rejected;
        }
        match headers.contains_key(&dialect.seal) {
            true if response.status().is_success() => Kind::Success,
            true => Kind::Failure,
            false => Kind::Foreign,
        }
    }
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => log::warn!("{name} is not set: {error}"),
    }
}

/// Headers of an endpoint's answer that the caller sees.
pub(super) fn passed_back(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "upgrade",
        "trailer",
        "te",
    ] {
        passed.remove(name);
    }
    passed.remove(CONTENT_LENGTH);
    passed.remove(TRANSFER_ENCODING);
    passed
}
