//! A plain service that counts the executions of each booking.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use comfreyhaven_process::answer::{self, Answer};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};

/// A call as a stand-in received it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordedCall {
    /// Method and request target, separated by a space.
    pub line: String,
    /// All headers, as pairs of lower-case name and value.
    pub headers: Vec<(String, String)>,
    /// The body, with invalid UTF-8 replaced.
    pub body: String,
}

/// The executions and calls that the service recorded.
#[derive(Debug, Default, Serialize)]
struct Record {
    runs: BTreeMap<String, u32>,
    seen: Vec<RecordedCall>,
}

/// The service. Clones share its records. `GET /counts` returns the number of executions of each
/// booking, and `GET /seen` returns all recorded calls. Any other call executes the booking that
/// its method and target name.
#[derive(Debug, Clone)]
pub struct BookingService {
    record: Arc<Mutex<Record>>,
    delay: Duration,
}

impl BookingService {
    /// Creates a service that answers each call after `delay`.
    #[must_use]
    pub fn new(delay: Duration) -> Self {
        Self {
            record: Arc::default(),
            delay,
        }
    }

    /// Handles one HTTP request.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/counts") => answer::json(200, &self.lock().runs),
            (&Method::GET, "/seen") => answer::json(200, &self.lock().seen),
            _ => self.book(request).await,
        }
    }

    async fn book(self, request: Request<Incoming>) -> Answer {
        let call = read_call(request).await;
        let name = call.line.clone();
        let count = {
            let mut record = self.lock();
            record.seen.push(call);
            let count = record.runs.entry(name.clone()).or_default();
            *count += 1;
            *count
        };
        tokio::time::sleep(self.delay).await;
        answer::json(200, &serde_json::json!({ "booked": name, "count": count }))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a request completely, including its headers and body.
pub(crate) async fn read_call(request: Request<Incoming>) -> RecordedCall {
    let line = format!("{} {}", request.method(), request.uri());
    let text =
        |value: &hyper::header::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
    let headers = request.headers().iter();
    let headers = headers
        .map(|(name, value)| (name.to_string(), text(value)))
        .collect();
    let body = request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
    RecordedCall {
        line,
        headers,
        body,
    }
}
