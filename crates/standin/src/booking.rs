//! A plain service that counts how often each booking ran.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use comfreyhaven_process::answer::{self, Answer};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};

/// A call as the service saw it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SeenCall {
    /// Method and target.
    pub line: String,
    /// Every header, by lower-case name.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

/// What the service has run.
#[derive(Debug, Default, Serialize)]
struct Record {
    runs: BTreeMap<String, u32>,
    seen: Vec<SeenCall>,
}

/// The service. `GET /counts` tells how often each booking ran and `GET /seen` every call; any
/// other call books the name in its target.
#[derive(Debug, Clone)]
pub struct Booking {
    record: Arc<Mutex<Record>>,
    delay: Duration,
}

impl Booking {
    /// A service that takes `delay` for each call.
    #[must_use]
    pub fn new(delay: Duration) -> Self {
        Self {
            record: Arc::default(),
            delay,
        }
    }

    /// Answers one call.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/counts") => answer::json(200, &self.lock().runs),
            (&Method::GET, "/seen") => answer::json(200, &self.lock().seen),
            _ => self.book(request).await,
        }
    }

    async fn book(self, request: Request<Incoming>) -> Answer {
        let call = read(request).await;
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

/// Reads a call whole, headers included.
pub(crate) async fn read(request: Request<Incoming>) -> SeenCall {
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
    SeenCall {
        line,
        headers,
        body,
    }
}
