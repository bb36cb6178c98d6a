//! Polls the platform's host list.

use std::time::Duration;

use comfreyhaven_core::host_list::HostList;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::control::Mailbox;
use crate::platform::HostListSource;

/// Average time between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum average time between two reads while the list is unavailable.
const BACKOFF_MAX: Duration = Duration::from_secs(16);

/// Reads the list until `stop`, and notifies the control thread of each change.
pub async fn follow<C>(
    source: impl HostListSource,
    mailbox: Mailbox<C>,
    changed: impl Fn(&HostList) -> C,
    stop: CancellationToken,
) {
    let following = async {
        let mut hosts = HostList::default();
        let mut interval = POLL_INTERVAL;
        loop {
            match source.list().await {
                Ok(list) => {
                    interval = POLL_INTERVAL;
                    if hosts.observe(&list) {
                        let _ = mailbox.send(changed(&hosts));
                    }
                }
                Err(error) => {
                    log::warn!("cannot read the host list: {error}");
                    interval = (interval * 2).min(BACKOFF_MAX);
                }
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(interval.mul_f64(jitter)).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = following => {}
    }
}
