//! Which build began which stream.
//!
//! A caller whose answer broke may take the stream up at any entry. The entry that forwards the
//! first event of a stream therefore tells a few other entries, the stream's holders, at which
//! build it began.

use std::collections::{BTreeSet, HashMap};
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

#[derive(Debug)]
struct Entry {
    origin: Origin,
    evidence: Evidence,
    expires: Timestamp,
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
    expiries: BTreeSet<(Timestamp, StreamDigest)>,
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

    /// Returns the time for which the origin of a stream is still kept.
    #[must_use]
    pub fn remaining(&self, stream: StreamDigest, now: Timestamp) -> Duration {
        let entry = self.entries.get(&stream);
        entry.map_or(Duration::ZERO, |entry| entry.expires.since(now))
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
