//! How fast the requests that wait for one service start: the drain of its queue, measured at this
//! entry.
//!
//! The load: more is asked of a service than it has room for, and the room changes within seconds
//! as endpoints slow down, other entries ask for more and more urgent requests arrive. All of these
//! show in what this entry starts, so the drain needs no reports.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Number of ranks in a queue.
pub const LEVELS: usize = 2;

/// Number of turns in each rank.
const TURNS: usize = 3;

/// Number of classes.
const CLASSES: usize = LEVELS * TURNS;

/// Length of the slices in which starts are counted.
const SLICE: Duration = Duration::from_millis(100);

/// Time over which the drain is measured.
const WINDOW: Duration = Duration::from_secs(1);

/// Start that is assumed beside those measured, so that a class without any is tried.
const ASSUMED_STARTS: f64 = 1.0;

/// When a request is served, among those of its rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    /// The caller returned at the time that it was told: before all others.
    Placed,
    /// In the order of arrival.
    #[default]
    Timely,
    /// The caller returned without a place, and is late: after all others.
    Returned,
}

/// Requests of one rank that have the same turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Rank in the queue; zero is the most urgent.
    pub level: u8,
    /// Turn within the rank.
    pub turn: Turn,
}

impl Class {
    fn index(self) -> usize {
        usize::from(self.level).min(LEVELS - 1) * TURNS + self.turn as usize
    }
}

/// Waiting requests that are served before another one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Those of the same class.
    pub same: usize,
    /// Those of classes that are served before it.
    pub before: usize,
}

/// Starts in one slice of time.
#[derive(Debug, Clone, Copy)]
struct Slice {
    began: Timestamp,
    starts: [f64; CLASSES],
}

/// Starts of one service's requests, by class.
///
/// ```
/// use std::time::Duration;
/// use comfreyhaven_core::Timestamp;
/// use comfreyhaven_core::direct::{Ahead, Class, Drain, Turn};
///
/// let class = Class { level: 0, turn: Turn::Timely };
/// let mut drain = Drain::new(Timestamp::ZERO);
/// for start in 0..9 {
///     drain.record_start(class, Timestamp::from_millis(100 * start));
/// }
/// let ahead = Ahead { same: 4, before: 0 };
/// let forecast = drain.forecast(class, ahead, Timestamp::from_millis(1_000));
/// assert_eq!(forecast, Duration::from_millis(500));
/// ```
#[derive(Debug)]
pub struct Drain {
    began: Timestamp,
    slices: VecDeque<Slice>,
}

impl Drain {
    /// Creates a drain that is measured from `now`.
    #[must_use]
    pub const fn new(now: Timestamp) -> Self {
        Self {
            began: now,
            slices: VecDeque::new(),
        }
    }

    /// Records that a request of a class was sent to an endpoint.
    pub fn record_start(&mut self, class: Class, now: Timestamp) {
        self.expire(now);
        if self
            .slices
            .back()
            .is_none_or(|slice| slice.began + SLICE <= now)
        {
            self.slices.push_back(Slice {
                began: now,
                starts: [0.0; CLASSES],
            });
        }
        if let Some(slice) = self.slices.back_mut() {
            slice.starts[class.index()] += 1.0;
        }
    }

    /// Takes back one of the latest starts, since the endpoint had no slot for it. Its class is not
    /// known, so each takes a part.
    pub fn take_back(&mut self) {
        let Some(slice) = self.slices.back_mut() else {
            return;
        };
        let total: f64 = slice.starts.iter().sum();
        if total > 0.0 {
            let kept = (1.0 - 1.0 / total).max(0.0);
            slice.starts = slice.starts.map(|starts| starts * kept);
        }
    }

    /// Returns the starts in a second of all classes of a rank.
    #[must_use]
    pub fn level_rate(&self, level: u8, now: Timestamp) -> f64 {
        let first = usize::from(level).min(LEVELS - 1) * TURNS;
        self.rate(first..first + TURNS, now)
    }

    /// Returns after what time a request of a class will start that has these requests ahead, itself
    /// included.
    #[must_use]
    pub fn forecast(&self, class: Class, ahead: Ahead, now: Timestamp) -> Duration {
        let index = class.index();
        let same = (ahead.same + 1) as f64 / (self.rate(index..index + 1, now) + self.assumed(now));
        let before = ahead.before as f64 / (self.rate(0..CLASSES, now) + self.assumed(now));
        Duration::from_secs_f64(same + before)
    }

    fn rate(&self, classes: std::ops::Range<usize>, now: Timestamp) -> f64 {
        let recent = self
            .slices
            .iter()
            .filter(|slice| now < slice.began + WINDOW + SLICE);
        let starts: f64 = recent
            .flat_map(|slice| &slice.starts[classes.clone()])
            .sum();
        starts / self.measured(now)
    }

    /// Returns the starts in a second that are assumed beside those measured.
    fn assumed(&self, now: Timestamp) -> f64 {
        ASSUMED_STARTS / self.measured(now)
    }

    /// Returns the seconds over which the starts were counted.
    fn measured(&self, now: Timestamp) -> f64 {
        now.since(self.began).clamp(SLICE, WINDOW).as_secs_f64()
    }

    fn expire(&mut self, now: Timestamp) {
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.began + WINDOW + SLICE <= now)
        {
            self.slices.pop_front();
        }
    }
}
