//! Keeps the configuration of a process up to date, from the configuration service and from peers.

mod follow;
mod status;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;

use comfreyhaven_core::fleet::Fleet;
use comfreyhaven_wire::service::{Digest, DocumentText};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use status::{Metrics, Status};
pub use store::{DocumentSet, InsertResult};

use crate::control::Mailbox;
use crate::platform::ConfigurationSource;
use follow::{Follower, Request};

/// Handle through which the other tasks of a process access the configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    requests: mpsc::UnboundedSender<Request>,
    fleet: watch::Receiver<Arc<Fleet>>,
    status: watch::Receiver<Arc<Status>>,
    seeds: Arc<[SocketAddr]>,
}

impl Configuration {
    /// Starts the task that keeps the configuration up to date until `stop`. The process's control
    /// service listens at `own`. The task contacts `seeds` while no configuration declares any
    /// peer.
    pub fn start(
        own: SocketAddr,
        seeds: &[SocketAddr],
        source: impl ConfigurationSource,
        metrics: Metrics,
        tasks: &TaskTracker,
        stop: CancellationToken,
    ) -> Self {
        let (requests, receiver) = mpsc::unbounded_channel();
        let (fleet_sender, fleet) = watch::channel(Arc::default());
        let (status_sender, status) = watch::channel(Arc::default());
        let follower = Follower::new(
            own,
            seeds.to_vec(),
            source,
            fleet_sender,
            status_sender,
            metrics,
        );
        tasks.spawn(follower.run(receiver, stop));
        Self {
            requests,
            fleet,
            status,
            seeds: seeds.into(),
        }
    }

    /// Subscribes to the fleet in force.
    #[must_use]
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.clone()
    }

    /// Returns the status of the configuration for operators, as JSON.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        serde_json::to_value(&**self.status.borrow()).unwrap_or_default()
    }

    /// Returns the peers from the settings of the process.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Applies the document versions that a peer sent. Returns the digest of this process, or
    /// `None` if the task has ended.
    pub async fn answer_exchange(&self, digest: Digest) -> Option<Digest> {
        self.call(|reply| Request::Exchange(digest, reply)).await
    }

    /// Returns the newest text of a document, or `None` if it is not known.
    pub async fn document(&self, name: String) -> Option<DocumentText> {
        self.call(|reply| Request::Document(name, reply))
            .await
            .flatten()
    }

    /// Reports a suspension of the process to the task, and waits until the task has confirmed the
    /// configuration with peers or the service.
    pub async fn confirm(&self) {
        self.call(Request::Confirm).await;
    }

    async fn call<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let _ = self.requests.send(request(reply));
        answer.await.ok()
    }

    /// Sends each fleet that comes into force to the control thread until `stop`. After each
    /// message on `suspensions` it waits for the confirmation, and sends the fleet and then the
    /// confirmation.
    pub async fn forward<C>(
        self,
        mailbox: Mailbox<C>,
        mut suspensions: mpsc::UnboundedReceiver<()>,
        configured: impl Fn(Arc<Fleet>) -> C,
        confirmed: impl Fn() -> C,
        stop: CancellationToken,
    ) {
        let mut fleet = self.fleet();
        let forwarding = async {
            loop {
                let suspended = tokio::select! {
                    changed = fleet.changed() => match changed {
                        Ok(()) => false,
                        Err(_) => return,
                    },
                    Some(()) = suspensions.recv() => true,
                };
                if suspended {
                    self.confirm().await;
                }
                let newest = Arc::clone(&fleet.borrow_and_update());
                let _ = mailbox.send(configured(newest));
                if suspended {
                    let _ = mailbox.send(confirmed());
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = forwarding => {}
        }
    }
}
