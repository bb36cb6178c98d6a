//! Checks which peers may connect to this agent.

use std::net::IpAddr;
use std::sync::Arc;

use comfreyhaven_core::fleet::Fleet;
use tokio::sync::watch;

/// Returns whether an IP address belongs to a declared entry. Logs a warning if it does not.
pub(crate) fn is_entry(fleet: &watch::Receiver<Arc<Fleet>>, ip: IpAddr) -> bool {
    let declared = fleet
        .borrow()
        .hosts
        .values()
        .any(|host| host.control.ip() == ip);
    if !declared {
        log::warn!(peer:% = ip; "connection rejected: no declared entry has this address");
    }
    declared
}
