//! Keeps a process's configuration up to date, from the service and from its peers.

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
pub use store::{Offer, Store};

use crate::control::Mailbox;
use crate::platform::ConfigurationSource;
use follow::{Follower, Request};

/// The rest of the process's way to its configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    requests: mpsc::UnboundedSender<Request>,
    fleet: watch::Receiver<Arc<Fleet>>,
    status: watch::Receiver<Arc<Status>>,
    seeds: Arc<[SocketAddr]>,
}

impl Configuration {
    /// Starts following the configuration until `stop`. The process's control service listens at
    /// `own`, and `seeds` are asked while no configuration names any peer.
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

    /// The fleet in force.
    #[must_use]
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.fleet.clone()
    }

    /// What operators see of it, as JSON.
    #[must_use]
    pub fn status(&self) -> serde_json::Value {
        serde_json::to_value(&**self.status.borrow()).unwrap_or_default()
    }

    /// Peers that the settings name.
    #[must_use]
    pub fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// Answers a peer that tells what it has.
    pub async fn called(&self, digest: Digest) -> Option<Digest> {
        self.ask(|reply| Request::Called(digest, reply)).await
    }

    /// The text of a document for a peer.
    pub async fn document(&self, name: String) -> Option<DocumentText> {
        self.ask(|reply| Request::Document(name, reply))
            .await
            .flatten()
    }

    /// Compares the configuration with peers or the service after a pause.
    pub async fn confirm(&self) {
        self.ask(Request::Confirm).await;
    }

    async fn ask<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Request) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let _ = self.requests.send(request(reply));
        answer.await.ok()
    }

    /// Sends each fleet that comes in force to the control thread until `stop`, and the
    /// confirmation that follows each pause.
    pub async fn pass_on<C>(
        self,
        mailbox: Mailbox<C>,
        mut pauses: mpsc::UnboundedReceiver<()>,
        configured: impl Fn(Arc<Fleet>) -> C,
        confirmed: impl Fn() -> C,
        stop: CancellationToken,
    ) {
        let mut fleet = self.fleet();
        let following = async {
            loop {
                let paused = tokio::select! {
                    changed = fleet.changed() => match changed {
                        Ok(()) => false,
                        Err(_) => return,
                    },
                    Some(()) = pauses.recv() => true,
                };
                if paused {
                    self.confirm().await;
                }
                let newest = Arc::clone(&fleet.borrow_and_update());
                let _ = mailbox.send(configured(newest));
                if paused {
                    let _ = mailbox.send(confirmed());
                }
            }
        };
        tokio::select! {
            () = stop.cancelled() => {}
            () = following => {}
        }
    }
}
