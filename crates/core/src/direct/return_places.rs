//! Places for callers that are refused: a time at which to return, and precedence then.
//!
//! The load: callers that were refused return once, at any entry, while newcomers still ask for
//! all the room. Entries share nothing about a place. The deadline of a request shows the time that
//! its caller has spent, so a place is given at a time at which the deadline is within a part of
//! the longest one of its kind that no caller without a place reaches: that one returns after a
//! third of its time.

use std::collections::VecDeque;
use std::time::Duration;

use super::drain::{LEVELS, Turn};
use crate::time::Timestamp;

/// Part of the starts of a rank that is room for callers that return with a place.
const PLACE_PART: f64 = 0.2;

/// Time in which the places are spread for which the room of as much time is used.
const PERIOD: Duration = Duration::from_secs(1);

/// Part of the starts of a rank that requests with a place may take. Callers do not return evenly,
/// and some have no place although their deadline is that of one.
const CREDIT_PART: f64 = 0.6;

/// Requests with a place that may start at once.
const CREDIT_MAX: f64 = 6.0;

/// Part of its time after which a caller returns that was told a later time.
const HONOURED_PART: f64 = 1.0 / 3.0;

/// Range of the time that callers with a place have left when they return, as parts of the longest
/// deadline of the kind. Callers without a place have less.
const PLACE_RANGE: (f64, f64) = (0.69, 0.785);

/// Range in which a caller that returns is taken to have a place: it may arrive a little late.
const ACCEPTED_RANGE: (f64, f64) = (0.67, 0.8);

/// Requests that are remembered as having got a turn before others.
const GRANTED_LIMIT: usize = 64;

/// What is known of a refused request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refused {
    /// Rank in the queue.
    pub level: u8,
    /// Time until the deadline.
    pub left: Duration,
    /// Longest deadline of the kind.
    pub longest: Duration,
    /// Time that the request needs between its return and its deadline.
    pub need: Duration,
    /// Starts of the rank's long requests in a second.
    pub rate: f64,
}

/// A request whose caller has returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Returned {
    /// Rank in the queue.
    pub level: u8,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// Time that the caller had spent then.
    pub elapsed: Duration,
    /// Time that the caller had left then.
    pub left: Duration,
}

impl Returned {
    /// Returns whether the caller has as much time left as one that was given a place.
    fn has_place(&self) -> bool {
        let longest = (self.elapsed + self.left).as_secs_f64();
        let (least, most) = ACCEPTED_RANGE;
        let left = self.left.as_secs_f64();
        !self.elapsed.is_zero() && (least * longest..most * longest).contains(&left)
    }
}

/// Places that are given in one period.
#[derive(Debug, Clone, Copy, Default)]
struct Period {
    began: Timestamp,
    places: u32,
    given: u32,
}

/// Places of one service that this entry has given, and what it owes to those who return.
///
/// ```
/// use std::time::Duration;
/// use comfreyhaven_core::Timestamp;
/// use comfreyhaven_core::direct::{Refused, ReturnPlaces};
///
/// let mut places = ReturnPlaces::default();
/// let refused = Refused {
///     level: 0,
///     left: Duration::from_secs(12),
///     longest: Duration::from_secs(12),
///     need: Duration::from_secs(1),
///     rate: 10.0,
/// };
/// let now = Timestamp::from_millis(60_000);
/// let delays = [0.0; 3].map(|chance| places.give(&refused, chance, now));
/// assert_eq!(delays[0], Some(Duration::from_millis(2_580)));
/// assert_eq!(delays[1], Some(Duration::from_millis(3_080)));
/// // There is no room for more in this second.
/// assert_eq!(delays[2], None);
/// ```
#[derive(Debug)]
pub struct ReturnPlaces {
    /// The places given of late, by rank.
    periods: [Period; LEVELS],
    /// Requests with a place that may start before others now, by rank.
    credit: [f64; LEVELS],
    /// Requests that have got a turn before others, which they keep if an endpoint has no slot.
    granted: VecDeque<Returned>,
}

impl Default for ReturnPlaces {
    fn default() -> Self {
        Self {
            periods: [Period::default(); LEVELS],
            credit: [CREDIT_MAX; LEVELS],
            granted: VecDeque::new(),
        }
    }
}

impl ReturnPlaces {
    /// Returns after which delay the caller of a refused request has a place, or none if there is
    /// no room at a time that it will honour. `chance` decides whether a part of a place counts.
    pub fn give(&mut self, refused: &Refused, chance: f64, now: Timestamp) -> Option<Duration> {
        let period = &mut self.periods[usize::from(refused.level).min(LEVELS - 1)];
        if period.began + PERIOD <= now {
            let room = refused.rate * PLACE_PART * PERIOD.as_secs_f64();
            *period = Period {
                began: now,
                places: (room + chance) as u32,
                given: 0,
            };
        }
        if period.given == period.places {
            return None;
        }
        let (least, most) = PLACE_RANGE;
        let earliest = refused.left.saturating_sub(refused.longest.mul_f64(most));
        let latest = refused
            .left
            .saturating_sub(refused.longest.mul_f64(least))
            .min(refused.left.mul_f64(HONOURED_PART))
            .min(refused.left.saturating_sub(refused.need));
        let due = period.began + PERIOD * period.given / period.places;
        let delay = earliest + due.since(now);
        if latest.is_zero() || delay > latest {
            return None;
        }
        period.given += 1;
        Some(delay)
    }

    /// Records that a request of a rank was sent to an endpoint.
    pub fn record_start(&mut self, level: u8) {
        let credit = &mut self.credit[usize::from(level).min(LEVELS - 1)];
        *credit = (*credit + CREDIT_PART).min(CREDIT_MAX);
    }

    /// Returns whether a request has got a turn before others.
    #[must_use]
    pub fn is_granted(&self, returned: &Returned) -> bool {
        self.granted.contains(returned)
    }

    /// Returns the turn of a request that misses its objective. A turn before others uses room that
    /// is kept for those with a place.
    pub fn turn(&mut self, returned: &Returned) -> Turn {
        if self.is_granted(returned) {
            return Turn::Placed;
        }
        let credit = &mut self.credit[usize::from(returned.level).min(LEVELS - 1)];
        if !returned.has_place() || *credit < 1.0 {
            return Turn::Returned;
        }
        *credit -= 1.0;
        if self.granted.len() == GRANTED_LIMIT {
            self.granted.pop_front();
        }
        self.granted.push_back(*returned);
        Turn::Placed
    }
}
