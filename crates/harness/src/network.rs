//! The loopback addresses of one deployment.
//!
//! Deployments that run at once have addresses of their own. With shared ones, a process that takes a
//! free port could take the port of another deployment's process that is just being replaced.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};

/// Networks of 256 addresses in 127.1.0.0 to 127.250.255.255.
const NETWORKS: u32 = 250 * 256;

/// Deployments that one process starts before its networks meet those of the next process.
const PROCESS_NETWORKS: u32 = 64;

/// First address of the agents; entries come before.
const AGENTS_START: usize = 64;

static STARTED: AtomicU32 = AtomicU32::new(0);

/// A network of loopback addresses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// The next network of this process.
    pub(crate) fn next() -> Self {
        let process = std::process::id().wrapping_mul(PROCESS_NETWORKS);
        let number = process.wrapping_add(STARTED.fetch_add(1, Ordering::Relaxed)) % NETWORKS;
        let [_, _, upper, third] = number.to_be_bytes();
        Self {
            second: upper + 1,
            third,
        }
    }

    /// The address of the entry at `index`.
    pub(crate) fn entry(self, index: usize) -> Ipv4Addr {
        self.address(index + 1)
    }

    /// The address of the agent at `index`.
    pub(crate) fn agent(self, index: usize) -> Ipv4Addr {
        self.address(AGENTS_START + index)
    }

    fn address(self, host: usize) -> Ipv4Addr {
        let host = u8::try_from(host).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.second, self.third, host)
    }
}
