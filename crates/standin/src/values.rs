//! The configuration service: published values that can be read and watched, with outage and
//! staleness on demand.

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

/// How long a watch waits for a change.
const WATCH_TIME: Duration = Duration::from_secs(20);

/// Whether the service answers, and with what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// As published.
    #[default]
    Up,
    /// Every read and watch fails.
    Down,
    /// Reads and watches see what was published when this mode began.
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

/// The service. Readers use `GET /watch?known=R` and `GET /values/NAME`. Operators publish with
/// `PUT /values/NAME`. Tests use `PUT /mode` (`up`, `down`, `stale`) and `GET /calls`.
#[derive(Debug, Clone)]
pub struct Values {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for Values {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::channel(0).0,
        }
    }
}

impl Values {
    /// Answers one call.
    pub async fn handle(self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.strip_prefix("/values/")) {
            (Method::GET, Some(name)) => self.read(name),
            (Method::PUT, Some(name)) => self.publish(name, text(request).await),
            (Method::GET, None) if path == "/watch" => {
                let query = request.uri().query().unwrap_or("");
                let known = query
                    .strip_prefix("known=")
                    .and_then(|known| known.parse().ok());
                self.watch(known.unwrap_or(0)).await
            }
            (Method::GET, None) if path == "/calls" => answer::json(200, &self.lock().calls),
            (Method::PUT, None) if path == "/mode" => self.set_mode(&text(request).await),
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
        let differs = || match self.lock().visible() {
            None => true,
            Some(published) => published.index.revision != known,
        };
        let waiting = async {
            while !differs() {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(WATCH_TIME, waiting).await;
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

/// The body of a request as text.
pub(crate) async fn text(request: Request<Incoming>) -> String {
    let body = request
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    String::from_utf8_lossy(&body.unwrap_or_default()).into_owned()
}
