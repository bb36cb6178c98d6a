//! HTTP answers of the processes.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde::Serialize;

use comfreyhaven_core::refusal::Refusal;

/// Body of an answer. An error in it closes the connection, so that the client detects that the
/// answer is incomplete.
pub type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// An HTTP answer.
pub type Answer = Response<AnswerBody>;

/// Creates an answer with a complete body of the content type `kind`.
pub fn full(status: u16, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed();
    let mut answer = Response::new(body);
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Creates an answer with a JSON body.
pub fn json(status: u16, value: &impl Serialize) -> Answer {
    full(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: RefusalDetail<'a>,
}

#[derive(Serialize)]
struct RefusalDetail<'a> {
    request: &'a str,
    #[serde(flatten)]
    refusal: &'a Refusal,
}

/// Returns the body of a refusal in JSON, for callers that receive it inside another answer.
#[must_use]
pub fn refusal_json(request: &str, refusal: &Refusal) -> Vec<u8> {
    let body = RefusalBody {
        error: RefusalDetail { request, refusal },
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Creates the answer to a refused request. `Retry-After` is rounded up to whole seconds.
pub fn refusal(request: &str, refusal: &Refusal) -> Answer {
    let body = refusal_json(request, refusal);
    let mut answer = full(refusal.kind().status(), "application/json", body);
    if let Some(retry) = refusal.retry() {
        let seconds = retry.as_millis().div_ceil(1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}
