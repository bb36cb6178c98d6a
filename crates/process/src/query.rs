//! What every process can be asked about itself, and how the answers reach whoever asks.

use std::time::Duration;

use comfreyhaven_core::RequestId;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::control::{self, Mailbox};
use crate::decisions::Step;

/// How often a leaving process looks whether it may exit.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// A question to the control thread.
#[derive(Debug)]
pub enum Query {
    /// The state, for operators.
    State(oneshot::Sender<Value>),
    /// What was decided on a request, if anything is known of it.
    Explain(RequestId, oneshot::Sender<Option<Vec<Step>>>),
    /// Whether nothing is left to finish.
    Idle(oneshot::Sender<bool>),
}

/// Asks the control thread whose commands are `C`.
#[derive(Debug)]
pub struct Inquirer<C> {
    mailbox: Mailbox<C>,
    wrap: fn(Query) -> C,
}

impl<C> Clone for Inquirer<C> {
    fn clone(&self) -> Self {
        Self::new(self.mailbox.clone(), self.wrap)
    }
}

impl<C> Inquirer<C> {
    /// An inquirer whose questions `wrap` makes into commands.
    #[must_use]
    pub fn new(mailbox: Mailbox<C>, wrap: fn(Query) -> C) -> Self {
        Self { mailbox, wrap }
    }

    /// The process's state.
    pub async fn state(&self) -> Value {
        self.ask(Query::State).await
    }

    /// What was decided on a request.
    pub async fn explain(&self, request: RequestId) -> Option<Vec<Step>> {
        self.ask(|reply| Query::Explain(request, reply)).await
    }

    /// Waits until nothing is left to finish.
    pub async fn drained(&self) {
        while !self.ask(Query::Idle).await {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
    }

    async fn ask<T: Default>(&self, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> T {
        control::ask(self.mailbox.clone(), |reply| (self.wrap)(query(reply))).await
    }
}
