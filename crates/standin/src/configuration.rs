//! The configuration service: publishes values that processes read and watch, and simulates outages
//! and stale data on demand.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use comfreyhaven_process::answer::{self, Answer};
use comfreyhaven_process::platform::Index;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::Serialize;
use strum::{Display, EnumString};
use tokio::sync::watch;

/// Maximum time that a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether the service answers, and with which data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// The service answers with the published values.
    #[default]
    Up,
    /// The service answers reads and watches with an error.
    Down,
    /// The service answers with the values that were published when this mode was set.
    Stale,
}

#[derive(Debug, Default, Clone)]
struct Published {
    index: Index,
    texts: BTreeMap<String, String>,
}

#[derive(Debug, Default)]
struct State {
    live: Published,
    stale: Published,
    mode: Mode,
    calls: Calls,
}

#[derive(Debug, Default, Clone, Copy, Serialize)]
struct Calls {
    reads: u64,
    watches: u64,
}

/// The state of the service. Clones share it. Processes use `GET /watch?known=R` and
/// `GET /values/NAME`. Operators publish with `PUT /values/NAME`. Tests use `PUT /mode` (`up`,
/// `down`, `stale`) and `GET /calls`.
#[derive(Debug, Clone)]
pub struct ConfigurationService {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for ConfigurationService {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::channel(0).0,
        }
    }
}

impl ConfigurationService {
    /// Handles one HTTP request.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.strip_prefix("/values/")) {
            (Method::GET, Some(name)) => self.read(name),
            (Method::PUT, Some(name)) => self.publish(name, body_text(request).await),
            (Method::GET, None) if path == "/watch" => {
                let query = request.uri().query().unwrap_or("");
                let known = query
                    .strip_prefix("known=")
                    .and_then(|known| known.parse().ok());
                self.watch(known.unwrap_or(0)).await
            }
            (Method::GET, None) if path == "/calls" => answer::json(200, &self.lock().calls),
            (Method::PUT, None) if path == "/mode" => self.set_mode(&body_text(request).await),
            _ => answer::full(404, "text/plain", "no such call\n"),
        }
    }

    fn read(&self, name: &str) -> Answer {
        let mut state = self.lock();
        state.calls.reads += 1;
        let Some(published) = state.visible() else {
            return unavailable();
        };
        match published.texts.get(name) {
            Some(text) => answer::full(200, "text/plain", text.clone()),
            None => answer::full(404, "text/plain", "no such value\n"),
        }
    }

    fn publish(&self, name: &str, text: String) -> Answer {
        let mut state = self.lock();
        state.live.index.revision += 1;
        let revision = state.live.index.revision;
        state.live.index.values.insert(name.to_owned(), revision);
        state.live.texts.insert(name.to_owned(), text);
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        answer::json(200, &revision)
    }

    async fn watch(&self, known: u64) -> Answer {
        self.lock().calls.watches += 1;
        let mut changes = self.changed.subscribe();
        let is_changed = || match self.lock().visible() {
            None => true,
            Some(published) => published.index.revision != known,
        };
        let change = async {
            while !is_changed() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(WATCH_TIMEOUT, change).await;
        match self.lock().visible() {
            Some(published) => answer::json(200, &published.index),
            None => unavailable(),
        }
    }

    fn set_mode(&self, text: &str) -> Answer {
        let Ok(mode) = text.trim().parse() else {
            return answer::full(400, "text/plain", "up, down or stale\n");
        };
        let mut state = self.lock();
        if mode == Mode::Stale {
            state.stale = state.live.clone();
        }
        state.mode = mode;
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        answer::full(200, "text/plain", "")
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn visible(&self) -> Option<&Published> {
        match self.mode {
            Mode::Up => Some(&self.live),
            Mode::Stale => Some(&self.stale),
            Mode::Down => None,
        }
    }
}

fn unavailable() -> Answer {
    answer::full(503, "text/plain", "the service is down\n")
}

/// Reads the body of a request as text. Returns an empty text if the body cannot be read.
pub(crate) async fn body_text(request: Request<Incoming>) -> String {
    let body = request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    String::from_utf8_lossy(&body.unwrap_or_default()).into_owned()
}
