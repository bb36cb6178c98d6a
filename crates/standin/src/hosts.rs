//! The platform's list of live and leaving hosts, which lags.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use comfreyhaven_process::answer::{self, Answer};
use comfreyhaven_process::platform::ListedHost;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request};

use crate::values;

/// A list and when it was put.
type Version = (Instant, Vec<ListedHost>);

/// The list. `GET /hosts` shows what was put at least `lag` ago; `PUT /hosts` replaces it.
#[derive(Debug, Clone)]
pub struct Hosts {
    versions: Arc<Mutex<Vec<Version>>>,
    lag: Duration,
}

impl Hosts {
    /// An empty list that shows changes after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            versions: Arc::default(),
            lag,
        }
    }

    /// Answers one call.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/hosts") => self.show(request.headers().get(IF_NONE_MATCH)),
            (Method::PUT, "/hosts") => {
                let Ok(list) = serde_json::from_str(&values::text(request).await) else {
                    return answer::full(400, "text/plain", "expected a list of hosts\n");
                };
                self.lock().push((Instant::now(), list));
                answer::full(200, "text/plain", "")
            }
            _ => answer::full(404, "text/plain", "no such call\n"),
        }
    }

    /// The list, or 304 for a reader that has it.
    fn show(&self, known: Option<&HeaderValue>) -> Answer {
        let list = self.visible();
        let mut hasher = DefaultHasher::new();
        serde_json::to_string(&list)
            .unwrap_or_default()
            .hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let mut answer = if known.is_some_and(|known| known == tag.as_str()) {
            answer::full(304, "application/json", "")
        } else {
            answer::json(200, &list)
        };
        if let Ok(tag) = HeaderValue::from_str(&tag) {
            answer.headers_mut().insert(ETAG, tag);
        }
        answer
    }

    fn visible(&self) -> Vec<ListedHost> {
        let versions = self.lock();
        let old = versions
            .iter()
            .rev()
            .find(|(since, _)| since.elapsed() >= self.lag);
        old.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Version>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
