//! Times that several entries observe, and when the newest runs began that went on.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::direct::source::{Scope, Source};
use crate::time::Timestamp;

/// Time for which an observation is reported to peers.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Most remembered digests of runs that went on, in each of two generations. One prompt may have
/// thousands of parts.
const SOUND_LIMIT: usize = 65_536;

/// A time that was observed by this entry or by the entries of a source.
#[derive(Debug, Clone, Copy, Default)]
struct Observation {
    time: Timestamp,
    /// When it was last heard.
    heard: Timestamp,
}

/// The times at which something was observed, by who observed it: none stands for this entry. They are
/// kept apart, so that no entry hears its own time back with the delay of the reports.
#[derive(Debug, Default)]
pub(super) struct Observations(BTreeMap<Option<Source>, Observation>);

impl Observations {
    pub(super) fn record(&mut self, source: Option<Source>, time: Timestamp, now: Timestamp) {
        let known = self.0.entry(source).or_default();
        (known.time, known.heard) = (known.time.max(time), now);
    }

    /// Returns the latest time for a report of the given scope, without that of `recipient`.
    pub(super) fn reported(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let is_within = |source: &Option<Source>| {
            source.is_none_or(|source| source.is_within(scope) && Some(source) != recipient)
        };
        let fresh = self.0.iter().filter(|(_, seen)| seen.is_fresh(now));
        let reported = fresh.filter(|(source, _)| is_within(source));
        reported.map(|(_, seen)| seen.time).max()
    }

    pub(super) fn is_fresh(&self, now: Timestamp) -> bool {
        self.0.values().any(|seen| seen.is_fresh(now))
    }

    pub(super) fn forget_source(&mut self, source: Source) {
        self.0.remove(&Some(source));
    }
}

impl Observation {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now < self.heard + REPORT_TIME
    }
}

/// When the newest run began that went on, by digest of its request's body or of a part of its prompt.
/// The digests that were not recorded for longest are forgotten.
#[derive(Debug, Default)]
pub(super) struct SoundRuns {
    newest: HashMap<u64, Timestamp>,
    older: HashMap<u64, Timestamp>,
}

impl SoundRuns {
    pub(super) fn get(&self, digest: u64) -> Option<Timestamp> {
        let newest = self.newest.get(&digest);
        newest.or_else(|| self.older.get(&digest)).copied()
    }

    pub(super) fn record(&mut self, digest: u64, begun: Timestamp) {
        if self.newest.len() >= SOUND_LIMIT {
            self.older = std::mem::take(&mut self.newest);
        }
        let known = self.get(digest).unwrap_or_default();
        self.newest.insert(digest, known.max(begun));
    }
}
