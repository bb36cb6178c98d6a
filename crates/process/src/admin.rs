//! The admin port: `/metrics`, `/state`, `/health` and `/requests/ID`.

use comfreyhaven_core::RequestId;
use hyper::body::Incoming;
use hyper::{Method, Request};
use prometheus::{Encoder, Registry, TextEncoder};
use serde::Serialize;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::answer::{self, Answer};
use crate::configuration::Configuration;
use crate::decisions::Step;
use crate::query::QueryClient;
use crate::server;

/// Maximum number of open connections.
const CONNECTION_LIMIT: usize = 64;

#[derive(Serialize)]
struct Health {
    ready: bool,
}

/// Data that the admin port serves.
#[derive(Debug)]
pub struct View<C> {
    registry: Registry,
    queries: QueryClient<C>,
    configuration: Configuration,
    ready: fn(&Value) -> bool,
}

impl<C> Clone for View<C> {
    fn clone(&self) -> Self {
        Self {
            registry: self.registry.clone(),
            queries: self.queries.clone(),
            configuration: self.configuration.clone(),
            ready: self.ready,
        }
    }
}

impl<C: Send + 'static> View<C> {
    /// Creates the view of a process. `ready` decides from the state whether the process accepts
    /// new work, which `/health` reports.
    #[must_use]
    pub fn new(
        registry: Registry,
        queries: QueryClient<C>,
        configuration: Configuration,
        ready: fn(&Value) -> bool,
    ) -> Self {
        Self {
            registry,
            queries,
            configuration,
            ready,
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => metrics(&self.registry),
            (&Method::GET, "/state") => answer::json(200, &self.state().await),
            (&Method::GET, "/health") => self.health().await,
            (&Method::GET, path) => match request_id(path) {
                Some(request) => explanation(self.queries.explain(request).await),
                None => not_found(),
            },
            _ => not_found(),
        }
    }

    async fn state(&self) -> Value {
        let mut state = self.queries.state().await;
        state["configuration"] = self.configuration.status();
        state
    }

    async fn health(&self) -> Answer {
        let ready = (self.ready)(&self.queries.state().await);
        answer::json(if ready { 200 } else { 503 }, &Health { ready })
    }
}

/// Serves the admin port until `stop`, and then finishes the requests in progress.
pub async fn serve<C: Send + 'static>(
    listener: TcpListener,
    view: View<C>,
    stop: CancellationToken,
) {
    let closing = stop.clone();
    server::accept(listener, CONNECTION_LIMIT, stop, move |stream, _| {
        let view = view.clone();
        server::http(stream, closing.clone(), move |request| {
            view.clone().answer(request)
        })
    })
    .await;
}

/// Parses the request id in a path such as `/requests/0123...`.
fn request_id(path: &str) -> Option<RequestId> {
    path.strip_prefix("/requests/")?.parse().ok()
}

fn explanation(steps: Option<Vec<Step>>) -> Answer {
    match steps {
        Some(steps) => answer::json(200, &steps),
        None => answer::full(404, "text/plain", "nothing is known of this request\n"),
    }
}

fn not_found() -> Answer {
    let text = "try /metrics, /state, /health or /requests/ID\n";
    answer::full(404, "text/plain", text)
}

fn metrics(registry: &Registry) -> Answer {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => answer::full(200, "text/plain; version=0.0.4", text),
        Err(error) => answer::full(500, "text/plain", format!("metrics: {error}\n")),
    }
}
