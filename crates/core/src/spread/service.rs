//! When the configuration service is asked for what.
//!
//! The service bounds the calls of all readers together, so each process spaces its own calls by
//! the number of processes that may be reading.

use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::message::{Action, Index, Outcome};
use crate::time::Timestamp;

/// Calls a second that all processes make together at most, on average.
const CALL_RATE: u32 = 1_000;

/// First pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(200);

/// Longest pause after failed calls.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Shortest pause between two watches.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two looks at the index of a process that does not watch.
const POLL_INTERVAL: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The next call is made at a time.
    Until(Timestamp),
    /// A call is under way.
    Calling,
}

/// What was read from the service, and what is read next.
#[derive(Debug)]
pub(super) struct Service {
    known: Index,
    target: Index,
    queue: VecDeque<String>,
    phase: Phase,
    backoff: Duration,
    freshness: Freshness,
}

/// How old what was read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// The index must be asked for again.
    Old,
    /// The index is being asked for, or values that it shows are to be read.
    Reading,
    /// All that the index showed was read.
    Read,
}

impl Service {
    /// A service of which some values are read before its index is asked for.
    pub(super) fn new(first: Vec<String>) -> Self {
        Self {
            known: Index::default(),
            target: Index::default(),
            queue: first.into(),
            phase: Phase::Until(Timestamp::ZERO),
            backoff: BACKOFF_MIN,
            freshness: Freshness::Old,
        }
    }

    /// Whether all was read that the service showed since [`Service::renew`].
    pub(super) fn is_read(&self) -> bool {
        self.freshness == Freshness::Read
    }

    /// Asks for the index again, after the call that is under way.
    pub(super) fn renew(&mut self) {
        self.freshness = Freshness::Old;
    }

    pub(super) fn wake(&self) -> Timestamp {
        match self.phase {
            Phase::Until(time) => time,
            Phase::Calling => Timestamp::NEVER,
        }
    }

    /// The call that is due, if one is.
    pub(super) fn due(&mut self, now: Timestamp, watcher: bool) -> Option<Action> {
        if self.wake() > now {
            return None;
        }
        self.phase = Phase::Calling;
        if let Some(name) = self.queue.front().cloned() {
            return Some(Action::Read { name });
        }
        let waits = watcher && self.freshness == Freshness::Read;
        if self.freshness == Freshness::Old {
            self.freshness = Freshness::Reading;
        }
        Some(Action::Watch {
            known: if waits { self.known.revision } else { 0 },
        })
    }

    /// Takes the index, and plans to read what has changed.
    pub(super) fn indexed(&mut self, index: Index, pace: &mut Pace<'_>) {
        let changed = |(name, revision): &(&String, &u64)| {
            self.known.values.get(name.as_str()) != Some(*revision)
        };
        let changed = index.values.iter().filter(changed);
        self.queue = changed.map(|(name, _)| name.clone()).collect();
        self.target = index;
        self.backoff = BACKOFF_MIN;
        self.go_on(pace);
    }

    /// Takes the result of a read.
    pub(super) fn read(&mut self, name: &str, outcome: Outcome, pace: &mut Pace<'_>) {
        if outcome == Outcome::Failed {
            return self.failed(pace);
        }
        self.queue.retain(|queued| queued != name);
        if let Some(revision) = self.target.values.get(name) {
            self.known.values.insert(name.to_owned(), *revision);
        }
        self.backoff = BACKOFF_MIN;
        self.go_on(pace);
    }

    /// Spaces the next read by the number of readers, which has just become known.
    pub(super) fn space(&mut self, pace: &mut Pace<'_>) {
        let reads = !self.queue.is_empty() || self.freshness == Freshness::Old;
        if let (true, Phase::Until(time)) = (reads, self.phase) {
            self.phase = Phase::Until(time.max(pace.now + pace.read_pause()));
        }
    }

    /// A call failed: the index is asked for again after a pause.
    pub(super) fn failed(&mut self, pace: &mut Pace<'_>) {
        self.queue.clear();
        self.freshness = Freshness::Old;
        self.phase = Phase::Until(pace.now + pace.jitter(self.backoff));
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }

    fn go_on(&mut self, pace: &mut Pace<'_>) {
        let indexed = self.freshness != Freshness::Old;
        let pause = if !self.queue.is_empty() || !indexed {
            pace.read_pause()
        } else {
            self.known.revision = self.target.revision;
            if self.freshness == Freshness::Reading {
                self.freshness = Freshness::Read;
            }
            let interval = if pace.watcher {
                WATCH_PAUSE
            } else {
                POLL_INTERVAL
            };
            pace.jitter(interval)
        };
        self.phase = Phase::Until(pace.now + pause);
    }
}

/// How this process spaces its calls.
pub(super) struct Pace<'a> {
    pub(super) now: Timestamp,
    pub(super) watcher: bool,
    pub(super) readers: usize,
    pub(super) random: &'a mut ChaCha8Rng,
}

impl Pace<'_> {
    /// Between half of a span and one and a half.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random_range(0.5..1.5))
    }

    fn read_pause(&mut self) -> Duration {
        let readers = u32::try_from(self.readers).unwrap_or(u32::MAX);
        self.jitter(Duration::from_secs(1) * readers / CALL_RATE)
    }
}
