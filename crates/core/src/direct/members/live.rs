//! The processes that can hold an item for the fleet, in an order of their own for each item.

use std::net::SocketAddr;

use super::Members;
use crate::direct::digest::digest;
use crate::direct::rendezvous::rank_key;
use crate::time::Timestamp;

/// A responsive member.
#[derive(Debug, Clone, Copy, Hash)]
pub(in crate::direct) struct LiveMember {
    pub(in crate::direct) address: SocketAddr,
    boot: u64,
    leaving: bool,
}

impl LiveMember {
    /// Identifies the member's process. One that restarts has lost what it kept.
    pub(in crate::direct) fn process(&self) -> u64 {
        process(self.address, self.boot)
    }
}

/// The responsive members at one time.
#[derive(Debug, Default)]
pub(in crate::direct) struct LiveMembers(Vec<LiveMember>);

impl LiveMembers {
    /// Returns the first `count` processes for one item; those that leave come after all others.
    /// Entries that know the same members find the same ones.
    pub(in crate::direct) fn first(&self, item: u64, count: usize) -> Vec<LiveMember> {
        let key = |member: &LiveMember| (member.leaving, rank_key(item, member.address));
        let mut ranked: Vec<_> = self.0.iter().map(|member| (key(member), member)).collect();
        ranked.sort_unstable_by_key(|(key, _)| *key);
        let first = ranked.into_iter().take(count);
        first.map(|(_, member)| *member).collect()
    }

    /// Returns a digest of the processes and of which of them leave.
    pub(in crate::direct) fn digest(&self) -> u64 {
        digest(&self.0)
    }

    pub(in crate::direct) const fn len(&self) -> usize {
        self.0.len()
    }
}

impl Members {
    /// Returns the members that respond now.
    pub(in crate::direct) fn live(&self, now: Timestamp) -> LiveMembers {
        let limit = self.response_limit();
        let members = self.members.iter();
        let able = members.filter(|(_, member)| member.is_responsive(limit, now));
        let live = |(address, member): (&SocketAddr, &super::Member)| LiveMember {
            address: *address,
            boot: member.identity.boot,
            leaving: member.identity.leaving,
        };
        LiveMembers(able.map(live).collect())
    }

    /// Returns the process that is known to run at an address.
    pub(in crate::direct) fn process_at(&self, address: SocketAddr) -> Option<u64> {
        let member = self.members.get(&address)?;
        Some(process(address, member.identity.boot))
    }
}

fn process(address: SocketAddr, boot: u64) -> u64 {
    digest(&(address, boot))
}
