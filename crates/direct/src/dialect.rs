//! What callers and endpoints call things on the wire.

use hyper::header::HeaderName;

/// Names of headers that callers and endpoints use.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names an attempt of a caller; endpoints echo it.
    pub request: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline: HeaderName,
    /// Tokens of the prompt and most tokens of the answer, with a comma between.
    pub cost: HeaderName,
    /// The caller's guess of the tokens of the answer.
    pub length: HeaderName,
    /// Names the team for which a request runs.
    pub team: HeaderName,
    /// Names the endpoint that is meant; any other rejects the request.
    pub instance: HeaderName,
    /// Says that an endpoint did not run the request.
    pub rejected: HeaderName,
    /// An endpoint's proof that the answer is its own.
    pub seal: HeaderName,
    /// The last event of a stream that the caller has.
    pub resume: HeaderName,
    /// Scheme of the callers' keys.
    pub scheme: &'static str,
    /// Headers that only this system may set; those of callers are dropped.
    pub reserved: Vec<HeaderName>,
    /// Headers of callers that reach the endpoint even if another header calls them hop-by-hop.
    pub kept: Vec<HeaderName>,
    /// Path of the readiness question.
    pub ready: &'static str,
}
