//! The operators' port: `/metrics`, `/state`, `/health` and `/requests/ID`.

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
use crate::query::Inquirer;
use crate::server;

/// Connections of operators at once.
const CONNECTIONS_LIMIT: usize = 64;

#[derive(Serialize)]
struct Health {
    ready: bool,
}

/// What the operators' port shows.
#[derive(Debug)]
pub struct View<C> {
    registry: Registry,
    inquirer: Inquirer<C>,
    configuration: Configuration,
    ready: fn(&Value) -> bool,
}

impl<C> Clone for View<C> {
    fn clone(&self) -> Self {
        Self {
            registry: self.registry.clone(),
            inquirer: self.inquirer.clone(),
            configuration: self.configuration.clone(),
            ready: self.ready,
        }
    }
}

impl<C: Send + 'static> View<C> {
    /// A view of a process that takes new work if `ready` holds of its state.
    #[must_use]
    pub fn new(
        registry: Registry,
        inquirer: Inquirer<C>,
        configuration: Configuration,
        ready: fn(&Value) -> bool,
    ) -> Self {
        Self {
            registry,
            inquirer,
            configuration,
            ready,
        }
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => metrics(&self.registry),
            (&Method::GET, "/state") => answer::json(200, &self.state().await),
            (&Method::GET, "/health") => self.health().await,
            (&Method::GET, path) => match requested(path) {
                Some(request) => steps(self.inquirer.explain(request).await),
                None => unknown(),
            },
            _ => unknown(),
        }
    }

    async fn state(&self) -> Value {
        let mut state = self.inquirer.state().await;
        state["configuration"] = self.configuration.status();
        state
    }

    async fn health(&self) -> Answer {
        let ready = (self.ready)(&self.inquirer.state().await);
        answer::json(if ready { 200 } else { 503 }, &Health { ready })
    }
}

/// Serves the operators' port until `stop`.
pub async fn serve<C: Send + 'static>(
    listener: TcpListener,
    view: View<C>,
    stop: CancellationToken,
) {
    let closing = stop.clone();
    server::accept(listener, CONNECTIONS_LIMIT, stop, move |stream, _| {
        let view = view.clone();
        server::http(stream, closing.clone(), move |request| {
            view.clone().answer(request)
        })
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
