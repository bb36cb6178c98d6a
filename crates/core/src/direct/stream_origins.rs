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

#[derive(Debug)]
struct Entry {
    origin: Origin,
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
        if self.entries.contains_key(&stream) {
            return;
        }
        while self.entries.len() >= ORIGIN_LIMIT {
            let Some((_, first)) = self.expiries.pop_first() else {
                break;
            };
            self.entries.remove(&first);
        }
        let expires = now + (lifetime + RETENTION_MARGIN).min(RETENTION_LIMIT);
        self.expiries.insert((expires, stream));
        self.entries.insert(stream, Entry { origin, expires });
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn get(&self, stream: StreamDigest, now: Timestamp) -> Option<&Origin> {
        let entry = self.entries.get(&stream)?;
        (now < entry.expires).then_some(&entry.origin)
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
