//! The slots of one endpoint that this entry knows to be free, because its own requests have just
//! left them.
//!
//! Under overload the reports of the peers' load are older than the time in which slots change
//! hands. The entry whose request has ended is the only one that knows of the free slot, so it uses
//! the slot for its next request. It forgets the slot once the peers have heard of it too.

use std::collections::VecDeque;
use std::time::Duration;

use super::digest::digest;
use crate::time::Timestamp;

/// Time for which this entry alone knows of a free slot, until its next report reaches the peers.
const KNOWN_TIME: Duration = Duration::from_millis(200);

/// Length of a period for which turns are drawn.
const PERIOD: Duration = Duration::from_millis(200);

/// Slots that were freed by this entry's requests, by the time of their end.
#[derive(Debug, Default)]
pub struct FreedSlots {
    ends: VecDeque<Timestamp>,
}

impl FreedSlots {
    /// Records that a request of this entry has left its slot.
    pub fn add(&mut self, now: Timestamp) {
        while self.ends.front().is_some_and(|end| !is_known(*end, now)) {
            self.ends.pop_front();
        }
        self.ends.push_back(now);
    }

    /// Records that this entry sends a request, which takes the slot that was freed last.
    pub fn take(&mut self) {
        self.ends.pop_back();
    }

    /// Forgets all slots, as the endpoint has said that it has none.
    pub fn clear(&mut self) {
        self.ends.clear();
    }

    /// Returns how many slots this entry knows to be free.
    ///
    /// ```
    /// use comfreyhaven_core::Timestamp;
    /// use comfreyhaven_core::direct::FreedSlots;
    ///
    /// let mut slots = FreedSlots::default();
    /// slots.add(Timestamp::from_micros(0));
    /// assert_eq!(slots.count(Timestamp::from_micros(1_000)), 1);
    /// assert_eq!(slots.count(Timestamp::from_micros(1_000_000)), 0);
    /// ```
    #[must_use]
    pub fn count(&self, now: Timestamp) -> u32 {
        let known = self.ends.iter().filter(|end| is_known(**end, now));
        u32::try_from(known.count()).unwrap_or(u32::MAX)
    }
}

fn is_known(end: Timestamp, now: Timestamp) -> bool {
    now < end + KNOWN_TIME
}

/// What an entry knows when it considers a probe of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Probe {
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Digest of the entry's address.
    pub entry: u64,
    /// Slots that are free by the peers' reports.
    pub free: u32,
    /// Requests that wait at this entry.
    pub own_waiting: u32,
    /// Requests that wait at peers.
    pub peers_waiting: u32,
}

impl Probe {
    /// Returns whether it is this entry's turn to look for a free slot. On average one entry has its
    /// turn for each free slot, in proportion to the waiting requests.
    ///
    /// ```
    /// use comfreyhaven_core::Timestamp;
    /// use comfreyhaven_core::direct::Probe;
    ///
    /// let alone = Probe { endpoint: 1, entry: 2, free: 1, own_waiting: 3, peers_waiting: 0 };
    /// assert!(alone.is_due(Timestamp::from_micros(0)));
    /// assert!(!Probe { free: 0, ..alone }.is_due(Timestamp::from_micros(0)));
    /// ```
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        let own = f64::from(self.own_waiting);
        let total = own + f64::from(self.peers_waiting);
        let chance = f64::from(self.free) * own / total.max(1.0);
        let period = now.as_micros() / PERIOD.as_micros() as u64;
        let drawn = digest(&(self.endpoint, self.entry, period)) as f64 / u64::MAX as f64;
        drawn < chance
    }
}
