//! Which build began which stream.
//!
//! A caller whose answer broke may take the stream up at any entry. The entry that forwards the
//! first event of a stream therefore tells a few other entries, the stream's holders, at which
//! build it began.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::plan::EndpointId;
use crate::time::Timestamp;

/// Longest time for which an origin is kept.
const RETENTION_LIMIT: Duration = Duration::from_secs(120);

/// Time for which an origin is kept after the deadline of its stream, since a caller's last request
/// may arrive late.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);

/// Most origins that are kept; beyond it, those that expire first are removed.
const ORIGIN_LIMIT: usize = 50_000;

/// Digest of a stream's id: the id of the caller's attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamDigest(pub u64);

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version of the software of the endpoint that brought the first event.
    pub build: Arc<str>,
    /// That endpoint, if the origin was not derived from the builds of the service.
    pub endpoint: Option<EndpointId>,
}

/// How an origin is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Evidence {
    /// An entry has received the first event from there.
    Received,
    /// An endpoint lists a run of the stream.
    Listed,
    /// Endpoints of several builds list a run of the stream, so that its origin is not known.
    Contested,
}

/// Most processes of which it is remembered that they keep an origin.
const HOLDER_LIMIT: usize = 8;

#[derive(Debug)]
struct Entry {
    origin: Origin,
    evidence: Evidence,
    expires: Timestamp,
    /// Processes that are known to hold the origin, those that were learned of last at the end.
    holders: Vec<u64>,
}

/// Position of an origin in the order in which they expire.
pub(super) type OriginKey = (Timestamp, StreamDigest);

/// An origin that an entry has received from an endpoint.
#[derive(Debug)]
pub(super) struct KeptOrigin<'a> {
    pub(super) key: OriginKey,
    pub(super) origin: &'a Origin,
    holders: &'a [u64],
}

impl KeptOrigin<'_> {
    pub(super) const fn stream(&self) -> StreamDigest {
        self.key.1
    }

    /// Returns the time until the stream's deadline.
    pub(super) fn lifetime(&self, now: Timestamp) -> Duration {
        lifetime(self.key.0, now)
    }

    /// Returns whether a process is known to hold the origin.
    pub(super) fn is_held_by(&self, process: u64) -> bool {
        self.holders.contains(&process)
    }
}

/// Returns the time until the deadline of a stream whose origin expires at `expires`.
fn lifetime(expires: Timestamp, now: Timestamp) -> Duration {
    expires.since(now).saturating_sub(RETENTION_MARGIN)
}

/// The origins that this entry knows, bounded in number and time.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use comfreyhaven_core::Timestamp;
/// use comfreyhaven_core::direct::{Origin, StreamDigest, StreamOrigins};
///
/// let mut origins = StreamOrigins::default();
/// let (stream, now) = (StreamDigest(7), Timestamp::from_millis(0));
/// let origin = Origin { service: "model".into(), build: "v1".into(), endpoint: None };
/// origins.record(stream, origin.clone(), Duration::from_secs(5), now);
/// assert_eq!(origins.get(stream, now), Some(&origin));
/// assert_eq!(origins.get(stream, Timestamp::from_millis(60_000)), None);
/// ```
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<StreamDigest, Entry>,
    expiries: BTreeSet<OriginKey>,
}

impl StreamOrigins {
    /// Records the origin of a stream whose deadline is `lifetime` away. The first origin stays: a
    /// stream has only one.
    pub fn record(
        &mut self,
        stream: StreamDigest,
        origin: Origin,
        lifetime: Duration,
        now: Timestamp,
    ) {
        self.remove_expired(now);
        let known = self.entries.get(&stream).map(|entry| entry.evidence);
        if known != Some(Evidence::Received) {
            self.insert(stream, origin, Evidence::Received, lifetime, now);
        }
    }

    /// Records that an endpoint lists a run of a stream whose deadline is at most `lifetime` away.
    /// That shows the build that began the stream, unless an endpoint of another build lists one too.
    pub fn record_listed(
        &mut self,
        stream: StreamDigest,
        origin: Origin,
        lifetime: Duration,
        now: Timestamp,
    ) {
        self.remove_expired(now);
        match self.entries.get_mut(&stream) {
            None => self.insert(stream, origin, Evidence::Listed, lifetime, now),
            Some(entry) if entry.evidence == Evidence::Listed => {
                let (known, listed) = (&entry.origin, &origin);
                if (&known.service, &known.build) != (&listed.service, &listed.build) {
                    entry.evidence = Evidence::Contested;
                }
            }
            Some(_) => {}
        }
    }

    fn insert(
        &mut self,
        stream: StreamDigest,
        origin: Origin,
        evidence: Evidence,
        lifetime: Duration,
        now: Timestamp,
    ) {
        if let Some(entry) = self.entries.remove(&stream) {
            self.expiries.remove(&(entry.expires, stream));
        }
        while self.entries.len() >= ORIGIN_LIMIT {
            let Some((_, first)) = self.expiries.pop_first() else {
                break;
            };
            self.entries.remove(&first);
        }
        let expires = now + (lifetime + RETENTION_MARGIN).min(RETENTION_LIMIT);
        self.expiries.insert((expires, stream));
        let entry = Entry {
            origin,
            evidence,
            expires,
            holders: Vec::new(),
        };
        self.entries.insert(stream, entry);
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn get(&self, stream: StreamDigest, now: Timestamp) -> Option<&Origin> {
        let (origin, _) = self.find(stream, now)?;
        Some(origin)
    }

    /// Returns the origin of a stream and how it is known, if it is.
    pub(super) fn find(&self, stream: StreamDigest, now: Timestamp) -> Option<(&Origin, Evidence)> {
        let entry = self.entries.get(&stream)?;
        let is_known = now < entry.expires && entry.evidence != Evidence::Contested;
        is_known.then_some((&entry.origin, entry.evidence))
    }

    /// Returns the time until the deadline of a stream whose origin is known. The origin is kept
    /// somewhat longer.
    #[must_use]
    pub fn lifetime(&self, stream: StreamDigest, now: Timestamp) -> Duration {
        let entry = self.entries.get(&stream);
        entry.map_or(Duration::ZERO, |entry| lifetime(entry.expires, now))
    }

    /// Records that other processes keep the origin of a stream.
    pub(super) fn add_holders(
        &mut self,
        stream: StreamDigest,
        processes: impl IntoIterator<Item = u64>,
    ) {
        let Some(entry) = self.entries.get_mut(&stream) else {
            return;
        };
        for process in processes {
            if !entry.holders.contains(&process) {
                entry.holders.push(process);
            }
        }
        let excess = entry.holders.len().saturating_sub(HOLDER_LIMIT);
        entry.holders.drain(..excess);
    }

    /// Forgets which other processes keep origins, so that all of them have to confirm it.
    pub(super) fn forget_holders(&mut self) {
        for entry in self.entries.values_mut() {
            entry.holders.clear();
        }
    }

    /// Returns the origins that were received from endpoints and expire after `last`, in the order in
    /// which they expire.
    pub(super) fn received_after(
        &self,
        last: Option<OriginKey>,
    ) -> impl Iterator<Item = KeptOrigin<'_>> {
        let start = last.map_or(Bound::Unbounded, Bound::Excluded);
        let keys = self.expiries.range((start, Bound::Unbounded));
        keys.filter_map(|key| {
            let entry = self.entries.get(&key.1)?;
            let kept = KeptOrigin {
                key: *key,
                origin: &entry.origin,
                holders: &entry.holders,
            };
            (entry.evidence == Evidence::Received).then_some(kept)
        })
    }

    /// Returns the number of known origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no origin is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((expires, stream)) = self.expiries.first().copied() {
            if now < expires {
                return;
            }
            self.expiries.pop_first();
            self.entries.remove(&stream);
        }
    }
}
