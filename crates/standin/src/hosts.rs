//! The platform's list of live and leaving hosts, which shows changes with a delay.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use comfreyhaven_process::answer::{self, Answer};
use comfreyhaven_process::platform::ListedHost;
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Method, Request};

use crate::configuration;

/// A list and the time at which it was uploaded.
type ListVersion = (Instant, Vec<ListedHost>);

/// The list. Clones share it. `GET /hosts` returns the newest list that was uploaded at least `lag`
/// ago, and `PUT /hosts` uploads a list.
#[derive(Debug, Clone)]
pub struct HostList {
    versions: Arc<Mutex<Vec<ListVersion>>>,
    lag: Duration,
}

impl HostList {
    /// Creates an empty list that shows changes after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            versions: Arc::default(),
            lag,
        }
    }

    /// Handles one HTTP request.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/hosts") => self.read(request.headers().get(IF_NONE_MATCH)),
            (Method::PUT, "/hosts") => {
                let Ok(list) = serde_json::from_str(&configuration::body_text(request).await)
                else {
                    return answer::full(400, "text/plain", "expected a list of hosts\n");
                };
                self.lock().push((Instant::now(), list));
                answer::full(200, "text/plain", "")
            }
            _ => answer::full(404, "text/plain", "no such call\n"),
        }
    }

    /// Returns the list, or 304 if the reader has the same version.
    fn read(&self, known_tag: Option<&HeaderValue>) -> Answer {
        let list = self.visible();
        let mut hasher = DefaultHasher::new();
        serde_json::to_string(&list)
            .unwrap_or_default()
            .hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let mut answer = if known_tag.is_some_and(|known| known == tag.as_str()) {
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
        let version = versions
            .iter()
            .rev()
            .find(|(uploaded, _)| uploaded.elapsed() >= self.lag);
        version.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<ListVersion>> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
