//! The names that callers and endpoints of a platform use on the wire.

use hyper::header::HeaderName;

/// How a slot of an endpoint is reserved before a request is sent.
#[derive(Debug, Clone)]
pub struct ReservationCall {
    /// Path of the call.
    pub path: &'static str,
    /// Header of the request that uses the reservation.
    pub header: HeaderName,
    /// Returns the body of the call, from the tokens to reserve and the milliseconds for which the
    /// reservation is valid.
    pub encode: fn(u64, u64) -> Vec<u8>,
    /// Returns the reservation's id from the body of the answer, if it names one.
    pub decode: fn(&[u8]) -> Option<String>,
}

/// The requests that an endpoint runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunList {
    /// Start time of the endpoint on its own clock, in milliseconds, if it states that.
    pub started_ms: Option<u64>,
    /// Ids of the callers' attempts whose answers have brought an event.
    pub begun: Vec<String>,
}

/// How an endpoint is asked which requests it runs.
#[derive(Debug, Clone)]
pub struct RunsCall {
    /// Path of the call.
    pub path: &'static str,
    /// Returns the runs from the body of the answer, if it can be read.
    pub decode: fn(&[u8]) -> Option<RunList>,
}

/// Header names, key scheme and paths of a platform.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Id of a caller's attempt; endpoints echo it.
    pub request: HeaderName,
    /// How long the sender waits for the answer, in milliseconds.
    pub deadline: HeaderName,
    /// Number of prompt tokens and maximum number of answer tokens, separated by a comma.
    pub cost: HeaderName,
    /// The parts of the prompt in order, as `ID:TOKENS` separated by commas.
    pub parts: HeaderName,
    /// The caller's estimate of the number of answer tokens.
    pub length: HeaderName,
    /// Team for which a request runs.
    pub team: HeaderName,
    /// Id of the endpoint that the request is sent to; any other endpoint rejects the request.
    pub instance: HeaderName,
    /// Present if the endpoint did not run the request.
    pub rejected: HeaderName,
    /// Present and `1` if the endpoint leaves.
    pub leaving: HeaderName,
    /// Requests per second that the endpoint takes from all entries together; present only if it
    /// limits them.
    pub limit: HeaderName,
    /// Id of the endpoint that made the answer; not in every answer.
    pub speaker: HeaderName,
    /// Proof that the answer was made by the endpoint itself.
    pub seal: HeaderName,
    /// Number of the last event of a stream that the caller has received.
    pub resume: HeaderName,
    /// Id of the caller's attempt that brought the first event of the stream that a request takes
    /// up.
    pub taken_up: HeaderName,
    /// Authorization scheme of the callers' keys.
    pub scheme: &'static str,
    /// Headers that only this system may set; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
    /// Headers that are forwarded to the endpoint even if the `connection` header names them.
    pub forwarded: Vec<HeaderName>,
    /// Path of the readiness probe.
    pub ready: &'static str,
    /// How slots are reserved.
    pub reservation: ReservationCall,
    /// How endpoints list their runs.
    pub runs: RunsCall,
}
