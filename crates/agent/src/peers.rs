//! Which peers may talk to this agent.

use std::net::IpAddr;
use std::sync::Arc;

use comfreyhaven_core::fleet::Fleet;
use tokio::sync::watch;

/// Whether an IP belongs to a declared entry host.
pub(crate) fn is_entry(fleet: &watch::Receiver<Arc<Fleet>>, ip: IpAddr) -> bool {
    let declared = fleet
        .borrow()
        .hosts
        .values()
        .any(|host| host.control.ip() == ip);
    if !declared {
        log::warn!(peer:% = ip; "connection refused: no declared entry has this address");
    }
    declared
}
