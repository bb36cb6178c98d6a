//! The operators' port: `/metrics`, `/state`, `/health` and `/requests/ID`.

use std::future::Future;

use comfreyhaven_core::RequestId;
use hyper::body::Incoming;
use hyper::{Method, Request};
use prometheus::{Encoder, Registry, TextEncoder};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::answer::{self, Answer};
use crate::decisions::Step;
use crate::server;

/// Connections of operators at once.
const CONNECTIONS_LIMIT: usize = 64;

/// A process's own view of whether it can serve.
#[derive(Debug, Clone, Serialize)]
pub struct Health {
    /// Whether new work is taken.
    pub ready: bool,
}

/// Serves the operators' port until `stop`. `state` dumps the process's state as JSON, and `health`
/// tells whether it takes new work. `explain` tells what was decided on a request.
pub async fn serve<S, F, G, H, E, X>(
    listener: TcpListener,
    registry: Registry,
    stop: CancellationToken,
    state: S,
    health: G,
    explain: E,
) where
    S: Fn() -> F + Clone + Send + Sync + 'static,
    F: Future<Output = serde_json::Value> + Send + 'static,
    G: Fn() -> H + Clone + Send + Sync + 'static,
    H: Future<Output = Health> + Send + 'static,
    E: Fn(RequestId) -> X + Clone + Send + Sync + 'static,
    X: Future<Output = Option<Vec<Step>>> + Send + 'static,
{
    let closing = stop.clone();
    server::accept(listener, CONNECTIONS_LIMIT, stop, move |stream, _| {
        let (registry, state, health) = (registry.clone(), state.clone(), health.clone());
        let explain = explain.clone();
        server::http(
            stream,
            closing.clone(),
            move |request: Request<Incoming>| {
                let (registry, state, health) = (registry.clone(), state.clone(), health.clone());
                let explain = explain.clone();
                async move {
                    match (request.method(), request.uri().path()) {
                        (&Method::GET, "/metrics") => metrics(&registry),
                        (&Method::GET, "/state") => answer::json(200, &state().await),
                        (&Method::GET, "/health") => {
                            let health = health().await;
                            answer::json(if health.ready { 200 } else { 503 }, &health)
                        }
                        (&Method::GET, path) => match requested(path) {
                            Some(request) => steps(explain(request).await),
                            None => unknown(),
                        },
                        _ => unknown(),
                    }
                }
            },
        )
    })
    .await;
}

/// The request that a path such as `/requests/0123...` names.
fn requested(path: &str) -> Option<RequestId> {
    path.strip_prefix("/requests/")?.parse().ok()
}

fn steps(steps: Option<Vec<Step>>) -> Answer {
    match steps {
        Some(steps) => answer::json(200, &steps),
        None => answer::full(404, "text/plain", "nothing is known of this request\n"),
    }
}

fn unknown() -> Answer {
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
