//! One control connection to an agent, with pings that detect an agent that no longer answers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use comfreyhaven_wire::service::AgentControlClient;
use tokio_util::sync::CancellationToken;

use crate::pool::context_within;

/// Interval between pings on a connection on which reservations wait.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which an agent must answer a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to an agent, shared by all requests.
#[derive(Clone)]
pub(crate) struct Link {
    client: AgentControlClient,
    /// Cancelled when a ping has failed.
    unresponsive: CancellationToken,
    /// Time at which the last ping was sent.
    last_ping: Arc<Mutex<Instant>>,
}

impl Link {
    pub(crate) fn new(client: AgentControlClient) -> Self {
        Self {
            client,
            unresponsive: CancellationToken::new(),
            last_ping: Arc::new(Mutex::new(Instant::now())),
        }
    }

    pub(crate) fn client(&self) -> &AgentControlClient {
        &self.client
    }

    /// Waits until a ping on this connection has failed. The tasks that wait on the connection
    /// share its pings, so that only one of them sends a ping in each interval.
    ///
    /// A suspended process keeps its connections open, and the kernel of its host accepts new ones.
    /// Without pings, a reservation would wait at such an agent until its deadline.
    pub(crate) async fn unresponsive(&self) {
        let pinging = async {
            loop {
                tokio::time::sleep(PING_INTERVAL).await;
                if self.is_due()
                    && self
                        .client
                        .ping(context_within(PING_TIMEOUT))
                        .await
                        .is_err()
                {
                    return self.unresponsive.cancel();
                }
            }
        };
        tokio::select! {
            () = self.unresponsive.cancelled() => {}
            () = pinging => {}
        }
    }

    /// Returns whether no ping has been sent for [`PING_INTERVAL`]. If so, the calling task must
    /// send one.
    fn is_due(&self) -> bool {
        let mut last_ping = self
            .last_ping
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let due = last_ping.elapsed() >= PING_INTERVAL;
        if due {
            *last_ping = Instant::now();
        }
        due
    }
}
