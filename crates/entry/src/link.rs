//! One control connection to an agent, and whether the agent behind it still answers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use comfreyhaven_wire::service::AgentControlClient;
use tokio_util::sync::CancellationToken;

use crate::pool::within;

/// Time between two pings of a connection on which reservations wait.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long an agent may take to answer a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that all requests share.
#[derive(Clone)]
pub(crate) struct Link {
    client: AgentControlClient,
    /// Cancelled once a ping was not answered.
    silent: CancellationToken,
    /// When the last ping was sent.
    pinged: Arc<Mutex<Instant>>,
}

impl Link {
    pub(crate) fn new(client: AgentControlClient) -> Self {
        Self {
            client,
            silent: CancellationToken::new(),
            pinged: Arc::new(Mutex::new(Instant::now())),
        }
    }

    pub(crate) fn client(&self) -> &AgentControlClient {
        &self.client
    }

    /// Waits until the agent is found silent. Of all that wait on a connection, one at a time pings.
    ///
    /// A frozen process keeps its connections open and its host's kernel accepts new ones, so that
    /// without pings a reservation would wait there until its deadline.
    pub(crate) async fn silent(&self) {
        let pinging = async {
            loop {
                tokio::time::sleep(PING_INTERVAL).await;
                if self.is_due() && self.client.ping(within(PING_TIMEOUT)).await.is_err() {
                    return self.silent.cancel();
                }
            }
        };
        tokio::select! {
            () = self.silent.cancelled() => {}
            () = pinging => {}
        }
    }

    /// Whether nobody has sent a ping lately. If so, the caller must.
    fn is_due(&self) -> bool {
        let mut pinged = self.pinged.lock().unwrap_or_else(PoisonError::into_inner);
        let due = pinged.elapsed() >= PING_INTERVAL;
        if due {
            *pinged = Instant::now();
        }
        due
    }
}
