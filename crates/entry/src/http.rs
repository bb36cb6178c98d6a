//! HTTP server for callers.

use std::sync::Arc;

use comfreyhaven_core::RequestId;
use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_core::refusal::{Refusal, RefusalKind};
use comfreyhaven_process::answer::{self, Answer};
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_process::server;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::agents::Agents;
use crate::caller::Caller;
use crate::command::Command;
use crate::driver::Driver;
use crate::request_parser::{self, Credentials};

/// Maximum number of open connections from callers.
const CONNECTION_LIMIT: usize = 4_096;

/// Answer header that contains the request id.
const REQUEST_HEADER: &str = "x-comfreyhaven-request";

/// Handles that the task of each request needs.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) mailbox: Mailbox<Command>,
    pub(crate) agents: Agents,
    pub(crate) fleet: watch::Receiver<Arc<Fleet>>,
    pub(crate) drivers: TaskTracker,
}

/// Serves callers until `stop`, then waits until every request has ended.
pub(crate) async fn serve(listener: TcpListener, context: Context, stop: CancellationToken) {
    let drivers = context.drivers.clone();
    let stopping = stop.clone();
    server::accept(listener, CONNECTION_LIMIT, stop, move |stream, _| {
        let context = context.clone();
        server::http(stream, stopping.clone(), move |request| {
            handle(request, context.clone())
        })
    })
    .await;
    drivers.close();
    drivers.wait().await;
}

async fn handle(request: Request<Incoming>, context: Context) -> Answer {
    let id = RequestId::new(rand::random());
    let mut answer = answer(id, request, context).await;
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        answer.headers_mut().insert(REQUEST_HEADER, value);
    }
    answer
}

async fn answer(id: RequestId, request: Request<Incoming>, context: Context) -> Answer {
    let name = id.to_string();
    let fleet = Arc::clone(&context.fleet.borrow());
    let credentials = Credentials::new(request.headers(), &fleet);
    let parsed = match request_parser::parse(id, request, &fleet, &credentials).await {
        Ok(parsed) => parsed,
        Err(refusal) => {
            let team = credentials.logged_team();
            log::info!(request = name.as_str(), team = team; "refused: {refusal}");
            return answer::refusal(&name, &refusal);
        }
    };
    let (sender, receiver) = oneshot::channel();
    let caller = Caller::new(name.clone(), sender);
    let driver = Driver::new(parsed, caller, context.agents, context.mailbox);
    context.drivers.spawn(driver.run());
    match receiver.await {
        Ok(answer) => answer,
        Err(_) => answer::refusal(&name, &Refusal::new(RefusalKind::Unavailable)),
    }
}
