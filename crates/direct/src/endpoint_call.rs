//! The only way to an endpoint: sends a request if the endpoint takes it, and notes what the
//! endpoint says of itself in the head of its answer.

use bytes::Bytes;
use comfreyhaven_core::direct::{EndpointRecord, Notice};
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};

use crate::clock;
use crate::context::Context;
use crate::retry_after::{self, RetryAfter};
use crate::upstream::{Reply, SendError};

/// Value of the header with which an endpoint says that it leaves.
const LEAVING: &str = "1";

impl Context {
    /// Sends a request to an endpoint, unless the endpoint has said that it takes none.
    ///
    /// # Errors
    /// Returns a [`SendError`] if there is no answer; it states whether the request may have run.
    pub(crate) async fn send(
        &self,
        record: &EndpointRecord,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, SendError> {
        let id = request.headers().get(&self.dialect.request).cloned();
        let cause = id.as_ref().and_then(|id| id.to_str().ok());
        let cause = cause.unwrap_or("-").to_owned();
        self.exchange(record, request, id.as_ref(), &cause).await
    }

    /// Sends a request for the caller's request `cause`. The answer is to echo `id`, if there is one.
    async fn exchange(
        &self,
        record: &EndpointRecord,
        request: Request<Full<Bytes>>,
        id: Option<&HeaderValue>,
        cause: &str,
    ) -> Result<Reply, SendError> {
        let may_send = || self.scheduler.borrow().may_send(record, clock::now());
        let reply = self.upstream.send(record, request, may_send).await?;
        if self.is_own_answer(record, id, &reply.response) {
            self.record_notice(record, cause, &reply.response);
        }
        Ok(reply)
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
        cause: &str,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let reply = self.exchange(record, request, None, cause).await?;
        let (response, lease) = reply.split();
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(SendError::Broken)?.to_bytes();
        self.upstream.put_back(lease).await;
        Ok((status, body))
    }

    /// Returns whether an answer was made by the endpoint of `record`, for the request `id`. An
    /// answer with status 421 comes from whichever endpoint has the address now.
    fn is_own_answer<B>(
        &self,
        record: &EndpointRecord,
        id: Option<&HeaderValue>,
        response: &Response<B>,
    ) -> bool {
        let headers = response.headers();
        if id.is_some() && headers.get(&self.dialect.request) != id {
            return false;
        }
        match headers.get(&self.dialect.speaker) {
            Some(speaker) => speaker.as_bytes() == record.id.as_bytes(),
            None => response.status() != StatusCode::MISDIRECTED_REQUEST,
        }
    }

    fn record_notice<B>(&self, record: &EndpointRecord, cause: &str, response: &Response<B>) {
        let notice = self.notice(response);
        if notice == Notice::default() {
            return;
        }
        let mut scheduler = self.scheduler.borrow_mut();
        let effect = scheduler.record_notice(record, &notice, clock::now());
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
    }

    /// Returns what an endpoint says of itself in the head of its answer.
    fn notice<B>(&self, response: &Response<B>) -> Notice {
        let headers = response.headers();
        let mut stated = headers.get_all(&self.dialect.leaving).iter();
        let leaving = stated.any(|value| value == LEAVING);
        let delay = match response.status() {
            StatusCode::SERVICE_UNAVAILABLE => retry_after::read(headers),
            _ => RetryAfter::default(),
        };
        Notice {
            leaving,
            pause: delay.delay,
            malformed: delay.malformed,
        }
    }
}
