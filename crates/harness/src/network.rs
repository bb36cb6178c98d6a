//! The loopback addresses of one deployment.
//!
//! Concurrent deployments use separate addresses. If they shared addresses, a process that binds a
//! free port could get the port of a process of another deployment that is being restarted.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of networks of 256 addresses in 127.1.0.0 to 127.250.255.255.
const NETWORK_COUNT: u32 = 250 * 256;

/// Networks reserved for each test process. A process that starts more deployments uses the
/// networks of the process with the next id.
const NETWORKS_PER_PROCESS: u32 = 64;

/// Host number of the first agent. The numbers below belong to entries.
const FIRST_AGENT_HOST: usize = 64;

/// Number of networks that this process has handed out.
static STARTED_COUNT: AtomicU32 = AtomicU32::new(0);

/// A network of 256 loopback addresses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    second_octet: u8,
    third_octet: u8,
}

impl Network {
    /// Returns the next network of this process.
    pub(crate) fn next() -> Self {
        let process = std::process::id().wrapping_mul(NETWORKS_PER_PROCESS);
        let number =
            process.wrapping_add(STARTED_COUNT.fetch_add(1, Ordering::Relaxed)) % NETWORK_COUNT;
        let [_, _, upper, third_octet] = number.to_be_bytes();
        Self {
            second_octet: upper + 1,
            third_octet,
        }
    }

    /// Returns the address of the entry at `index`.
    pub(crate) fn entry(self, index: usize) -> Ipv4Addr {
        self.address(index + 1)
    }

    /// Returns the address of the agent at `index`.
    pub(crate) fn agent(self, index: usize) -> Ipv4Addr {
        self.address(FIRST_AGENT_HOST + index)
    }

    fn address(self, host: usize) -> Ipv4Addr {
        let host = u8::try_from(host).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.second_octet, self.third_octet, host)
    }
}
