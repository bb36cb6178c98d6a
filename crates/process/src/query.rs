//! Queries about the state of a process, which its control thread answers.

use std::time::Duration;

use comfreyhaven_core::RequestId;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::control::{self, Mailbox};
use crate::decisions::Step;

/// Time between two checks whether a leaving process is idle.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// A query to the control thread, with the channel for its reply.
#[derive(Debug)]
pub enum Query {
    /// State of the process as JSON, for operators.
    State(oneshot::Sender<Value>),
    /// Recorded steps of a request, or `None` for a request without a record.
    Explain(RequestId, oneshot::Sender<Option<Vec<Step>>>),
    /// Whether no work is left in the process.
    Idle(oneshot::Sender<bool>),
}

/// Sends queries to the control thread whose commands are `C`.
#[derive(Debug)]
pub struct QueryClient<C> {
    mailbox: Mailbox<C>,
    wrap: fn(Query) -> C,
}

impl<C> Clone for QueryClient<C> {
    fn clone(&self) -> Self {
        Self::new(self.mailbox.clone(), self.wrap)
    }
}

impl<C> QueryClient<C> {
    /// Creates a client that uses `wrap` to make commands of queries.
    #[must_use]
    pub fn new(mailbox: Mailbox<C>, wrap: fn(Query) -> C) -> Self {
        Self { mailbox, wrap }
    }

    /// Returns the state of the process as JSON.
    pub async fn state(&self) -> Value {
        self.send(Query::State).await
    }

    /// Returns the recorded steps of a request, oldest first.
    pub async fn explain(&self, request: RequestId) -> Option<Vec<Step>> {
        self.send(|reply| Query::Explain(request, reply)).await
    }

    /// Waits until no work is left in the process.
    pub async fn wait_until_idle(&self) {
        while !self.send(Query::Idle).await {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
    }

    async fn send<T: Default>(&self, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> T {
        control::call(self.mailbox.clone(), |reply| (self.wrap)(query(reply))).await
    }
}
