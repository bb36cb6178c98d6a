//! Orders entries for one item, so that entries which know the same members choose the same ones.
//!
//! The orders of different items are independent. One more or fewer member moves the others by one
//! place at most.

use std::net::SocketAddr;

use super::digest::digest;

/// Returns the position of an entry in the order of one item.
pub(super) fn rank_key(item: u64, address: SocketAddr) -> u64 {
    digest(&(item, address))
}

/// Returns the first `count` of the entries in the order of one item.
pub(super) fn first_for(
    item: u64,
    entries: impl Iterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<_> = entries
        .map(|entry| (rank_key(item, entry), entry))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}
