//! Schedule of the calls to the configuration service.
//!
//! The service limits the rate of calls from all readers together, so each process spaces its own
//! calls by the number of processes that may be reading.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::message::{Action, Index, Outcome};
use crate::time::Timestamp;

/// Maximum average rate of calls from all processes together, in calls per second.
const CALLS_PER_SECOND: u32 = 1_000;

/// Delay after the first failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// Longest delay after repeated failed calls.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Mean interval between the end of a watch and the next one.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Mean interval between reads of the index by a process that does not watch.
const POLL_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No call is in flight; the next one is made at the given time.
    Idle(Timestamp),
    /// A call is in flight.
    Calling,
}

/// The values read from the service, and those to be read next.
#[derive(Debug)]
pub(super) struct ServiceReader {
    known: Index,
    target: Index,
    queue: VecDeque<String>,
    phase: Phase,
    backoff: Duration,
    freshness: Freshness,
}

/// Freshness of the values read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// The index must be requested again.
    Stale,
    /// The index is being requested, or values listed in it remain to be read.
    Reading,
    /// All values listed in the index have been read.
    Current,
}

impl ServiceReader {
    /// Creates a reader that reads the values in `first` before it requests the index.
    pub(super) fn new(first: Vec<String>) -> Self {
        Self {
            known: Index::default(),
            target: Index::default(),
            queue: first.into(),
            phase: Phase::Idle(Timestamp::ZERO),
            backoff: BACKOFF_MIN,
            freshness: Freshness::Stale,
        }
    }

    /// Returns whether all values in an index requested since [`ServiceReader::invalidate`] have
    /// been read.
    pub(super) fn is_current(&self) -> bool {
        self.freshness == Freshness::Current
    }

    /// Requires the index to be requested again, after any call in flight.
    pub(super) fn invalidate(&mut self) {
        self.freshness = Freshness::Stale;
    }

    pub(super) fn wake(&self) -> Timestamp {
        match self.phase {
            Phase::Idle(time) => time,
            Phase::Calling => Timestamp::NEVER,
        }
    }

    /// Returns the call that is due, if any.
    pub(super) fn due(&mut self, now: Timestamp, watcher: bool) -> Option<Action> {
        if self.wake() > now {
            return None;
        }
        self.phase = Phase::Calling;
        if let Some(name) = self.queue.front().cloned() {
            return Some(Action::Read { name });
        }
        let long_poll = watcher && self.freshness == Freshness::Current;
        if self.freshness == Freshness::Stale {
            self.freshness = Freshness::Reading;
        }
        Some(Action::Watch {
            known: if long_poll { self.known.revision } else { 0 },
        })
    }

    /// Records the index and queues the values that have changed.
    pub(super) fn on_index(&mut self, index: Index, spacing: &mut CallSpacing<'_>) {
        let changed = |(name, revision): &(&String, &u64)| {
            self.known.values.get(name.as_str()) != Some(*revision)
        };
        let changed = index.values.iter().filter(changed);
        self.queue = changed.map(|(name, _)| name.clone()).collect();
        self.target = index;
        self.backoff = BACKOFF_MIN;
        self.schedule_next(spacing);
    }

    /// Records the result of a read.
    pub(super) fn on_read(&mut self, name: &str, outcome: Outcome, spacing: &mut CallSpacing<'_>) {
        if outcome == Outcome::Failed {
            return self.on_failure(spacing);
        }
        self.queue.retain(|queued| queued != name);
        if let Some(revision) = self.target.values.get(name) {
            self.known.values.insert(name.to_owned(), *revision);
        }
        self.backoff = BACKOFF_MIN;
        self.schedule_next(spacing);
    }

    /// Delays the next read according to the number of readers, which has just become known.
    pub(super) fn respace(&mut self, spacing: &mut CallSpacing<'_>) {
        let reads = !self.queue.is_empty() || self.freshness == Freshness::Stale;
        if let (true, Phase::Idle(time)) = (reads, self.phase) {
            self.phase = Phase::Idle(time.max(spacing.now + spacing.read_delay()));
        }
    }

    /// Schedules a new request for the index after a failed call, with exponential backoff.
    pub(super) fn on_failure(&mut self, spacing: &mut CallSpacing<'_>) {
        self.queue.clear();
        self.freshness = Freshness::Stale;
        self.phase = Phase::Idle(spacing.now + spacing.jitter(self.backoff));
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }

    fn schedule_next(&mut self, spacing: &mut CallSpacing<'_>) {
        let is_indexed = self.freshness != Freshness::Stale;
        let delay = if !self.queue.is_empty() || !is_indexed {
            spacing.read_delay()
        } else {
            self.known.revision = self.target.revision;
            if self.freshness == Freshness::Reading {
                self.freshness = Freshness::Current;
            }
            let interval = if spacing.watcher {
                WATCH_INTERVAL
            } else {
                POLL_INTERVAL
            };
            spacing.jitter(interval)
        };
        self.phase = Phase::Idle(spacing.now + delay);
    }
}

/// Inputs that determine the spacing of this process's calls.
pub(super) struct CallSpacing<'a> {
    pub(super) now: Timestamp,
    pub(super) watcher: bool,
    pub(super) readers: usize,
    pub(super) random: &'a mut ChaCha8Rng,
}

impl CallSpacing<'_> {
    /// Returns a random duration between 0.5 and 1.5 times `span`.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random_range(0.5..1.5))
    }

    fn read_delay(&mut self) -> Duration {
        let readers = u32::try_from(self.readers).unwrap_or(u32::MAX);
        self.jitter(Duration::from_secs(1) * readers / CALLS_PER_SECOND)
    }
}
