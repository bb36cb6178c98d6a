//! The only way to an endpoint: sends a request if the endpoint takes it, and notes what the
//! endpoint says of itself in the head of its answer.

use bytes::Bytes;
use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointRecord, Fingerprint, LimitChange, LimitNotice, Notice};
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use strum::IntoStaticStr;

use crate::clock;
use crate::context::Context;
use crate::retry_after::{self, RetryAfter};
use crate::stated_limit::{self, StatedLimit};
use crate::upstream::{Reply, SendError};

/// Largest answer to a call, in bytes.
const CALL_LIMIT_BYTES: usize = 64 << 10;

/// Value of the header with which an endpoint says that it leaves.
const LEAVING: &str = "1";

/// What an endpoint is called for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CallKind {
    /// To run a caller's request.
    Request,
    /// To reserve a slot.
    Reservation,
    /// To list the requests that it runs.
    Runs,
}

/// Sets a header of a request to an endpoint.
pub(crate) fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => log::warn!("cannot set header {name}: {error}"),
    }
}

impl Context {
    /// Sends a request to an endpoint, unless the endpoint has said that it takes none or requests like
    /// it crash endpoints.
    ///
    /// # Errors
    /// Returns a [`SendError`] if there is no answer; it states whether the request may have run.
    pub(crate) async fn send(
        &self,
        record: &EndpointRecord,
        request: Request<Full<Bytes>>,
        fingerprint: &Fingerprint,
    ) -> Result<Reply, SendError> {
        let id = request.headers().get(&self.dialect.request).cloned();
        let cause = id.as_ref().and_then(|id| id.to_str().ok());
        let cause = cause.unwrap_or("-").to_owned();
        let asked = (id.as_ref(), Some(fingerprint));
        self.exchange(record, request, CallKind::Request, asked, &cause)
            .await
    }

    /// Sends a request for the caller's request `cause`, unless one like it crashes endpoints. The
    /// answer is to echo the id, if there is one.
    async fn exchange(
        &self,
        record: &EndpointRecord,
        request: Request<Full<Bytes>>,
        kind: CallKind,
        (id, fingerprint): (Option<&HeaderValue>, Option<&Fingerprint>),
        cause: &str,
    ) -> Result<Reply, SendError> {
        let sent = clock::now();
        let may_send = || {
            let (scheduler, now) = (self.scheduler.borrow(), clock::now());
            let contained = fingerprint.and_then(|f| scheduler.containment().contained(f, now));
            contained.is_none() && scheduler.may_send(record, now)
        };
        let sending = self.upstream.send(record, request, may_send);
        self.count_call(record, kind, cause);
        let reply = sending.await?;
        if self.is_own_answer(record, id, &reply.response) {
            let mut scheduler = self.scheduler.borrow_mut();
            let containment = scheduler.containment_mut();
            let incarnation = containment.reached(record.incarnation(), sent);
            containment.record_answer(incarnation, sent, clock::now());
            drop(scheduler);
            let notice = self.notice(&reply.response, id.map(|_| sent));
            self.record_notice(record, cause, &notice);
        }
        Ok(reply)
    }

    /// Counts a request or another call to an endpoint, and logs it if the endpoint names a limit.
    fn count_call(&self, record: &EndpointRecord, kind: CallKind, cause: &str) {
        let call: &'static str = kind.into();
        self.metrics.calls.with_label_values(&[call]).inc();
        let limit = self.scheduler.borrow().request_limit(record, clock::now());
        if let Some(limit) = limit {
            log::info!(request = cause, endpoint:% = record.id, call = call, limit:% = limit; "sending to a limited endpoint");
        }
    }

    /// Names the endpoint that a call is meant for in the call's headers.
    pub(crate) fn set_recipient(&self, headers: &mut HeaderMap, record: &EndpointRecord) {
        set_header(headers, &HOST, &record.address.to_string());
        set_header(headers, &self.dialect.instance, &record.id);
    }

    /// Makes a short call for the caller's request `cause`, reads the whole answer, and returns its
    /// status and body. The connection is kept for the next request to the endpoint.
    ///
    /// # Errors
    /// Returns a [`SendError`] if there is no answer.
    pub(crate) async fn call(
        &self,
        record: &EndpointRecord,
        request: Request<Full<Bytes>>,
        kind: CallKind,
        cause: &str,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let reply = self
            .exchange(record, request, kind, (None, None), cause)
            .await?;
        if reply.response.headers().contains_key(&self.dialect.request) {
            return Err(SendError::Foreign);
        }
        let (response, lease) = reply.split();
        let status = response.status();
        let reading = self
            .large_answers
            .collect(response.into_body(), CALL_LIMIT_BYTES, None);
        let body = reading.await.map_err(SendError::Body)?;
        self.upstream.put_back(lease).await;
        Ok((status, body))
    }

    /// Returns whether an answer was made by the endpoint of `record`, for the request `id`, or for a
    /// call without an id. An answer with status 421 comes from whichever endpoint has the address
    /// now.
    fn is_own_answer<B>(
        &self,
        record: &EndpointRecord,
        id: Option<&HeaderValue>,
        response: &Response<B>,
    ) -> bool {
        let headers = response.headers();
        if headers.get(&self.dialect.request) != id {
            return false;
        }
        match headers.get(&self.dialect.speaker) {
            Some(speaker) => speaker.as_bytes() == record.id.as_bytes(),
            None => response.status() != StatusCode::MISDIRECTED_REQUEST,
        }
    }

    fn record_notice(&self, record: &EndpointRecord, cause: &str, notice: &Notice) {
        if *notice == Notice::default() {
            return;
        }
        let mut scheduler = self.scheduler.borrow_mut();
        let effect = scheduler.record_notice(record, notice, clock::now());
        drop(scheduler);
        let count = |notice| self.metrics.notices.with_label_values(&[notice]).inc();
        if effect.leaves {
            count("leaving");
            log::info!(request = cause, endpoint:% = record.id; "endpoint leaves by its own word");
        }
        if let Some(pause) = effect.paused {
            count("paused");
            log::info!(
                request = cause,
                endpoint:% = record.id,
                millis = clock::millis(pause.span),
                until = clock::unix_millis(pause.span),
                bounded = pause.bounded;
                "endpoint paused"
            );
        }
        if effect.malformed {
            count("malformed");
            log::warn!(request = cause, endpoint:% = record.id; "ignoring a Retry-After that is no number of seconds");
        }
        match effect.limit {
            Some(LimitChange::Named(limit)) => {
                count("limited");
                log::info!(request = cause, endpoint:% = record.id, limit:% = limit; "endpoint names a limit");
            }
            Some(LimitChange::Lifted) => {
                count("unlimited");
                log::info!(request = cause, endpoint:% = record.id; "endpoint names no limit any more");
            }
            None => {}
        }
        if effect.malformed_limit {
            count("malformed");
            log::warn!(request = cause, endpoint:% = record.id; "ignoring a limit that is no decimal number");
        }
    }

    /// Returns what an endpoint says of itself in the head of its answer. `sent` is the time at
    /// which the request was sent, if it is the answer to a request.
    fn notice<B>(&self, response: &Response<B>, sent: Option<Timestamp>) -> Notice {
        let headers = response.headers();
        let mut stated = headers.get_all(&self.dialect.leaving).iter();
        let leaving = stated.any(|value| value == LEAVING);
        let delay = match response.status() {
            StatusCode::SERVICE_UNAVAILABLE => retry_after::read(headers),
            _ => RetryAfter::default(),
        };
        let stated = stated_limit::read(headers, &self.dialect.limit);
        Notice {
            leaving,
            pause: delay.delay,
            malformed: delay.malformed,
            limit: self.limit_notice(headers, stated, sent),
            malformed_limit: stated.malformed,
        }
    }

    /// Returns what an answer states about the endpoint's limit. Only the answer to a request shows
    /// that there is none.
    fn limit_notice(
        &self,
        headers: &HeaderMap,
        stated: StatedLimit,
        sent: Option<Timestamp>,
    ) -> LimitNotice {
        let made_by_endpoint = headers.contains_key(&self.dialect.seal)
            || headers.contains_key(&self.dialect.rejected);
        match (stated.limit, sent) {
            (Some(limit), _) => LimitNotice::Named(limit),
            (None, Some(sent)) if made_by_endpoint && stated.is_absent() => {
                LimitNotice::Absent(sent)
            }
            (None, _) => LimitNotice::Unstated,
        }
    }
}
