//! Places for callers that are refused: a time at which to return, and precedence then.
//!
//! The load: callers that were refused return once, at any entry, while newcomers still ask for
//! all the room. Entries share nothing about a place. The deadline of a request shows the time that
//! its caller has spent, so a place is given at a time at which the deadline is within a part of
//! the longest one of its kind that no caller without a place reaches: that one returns after a
//! third of its time.

use std::time::Duration;

use super::drain::{LEVELS, Turn};
use crate::time::Timestamp;

/// Part of the starts of a rank that is room for callers that return with a place.
const PLACE_PART: f64 = 0.2;

/// Requests with a place that may start at once.
const CREDIT_MAX: f64 = 6.0;

/// Part of its time after which a caller returns that was told a later time.
const HONOURED_PART: f64 = 1.0 / 3.0;

/// Range of the time that callers with a place have left when they return, as parts of the longest
/// deadline of the kind. Callers without a place have less.
const PLACE_RANGE: (f64, f64) = (0.69, 0.785);

/// Range in which a caller that returns is taken to have a place: it may arrive a little late.
const ACCEPTED_RANGE: (f64, f64) = (0.67, 0.8);

/// What is known of a refused request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refused {
    /// Rank in the queue.
    pub level: u8,
    /// Time until the deadline.
    pub left: Duration,
    /// Longest deadline of the kind.
    pub longest: Duration,
    /// Time that the request needs before its deadline.
    pub need: Duration,
    /// Starts of the rank in a second.
    pub rate: f64,
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
/// let delays = [0; 4].map(|_| places.give(&refused, Timestamp::ZERO));
/// assert_eq!(delays[0], Some(Duration::from_millis(2_580)));
/// assert_eq!(delays[1], Some(Duration::from_millis(3_080)));
/// // The room is used up before the caller would honour a time.
/// assert_eq!(delays[3], None);
/// ```
#[derive(Debug, Default)]
pub struct ReturnPlaces {
    /// Places for which there has not been room yet, by rank.
    outstanding: [f64; LEVELS],
    /// When the places were counted.
    counted: [Timestamp; LEVELS],
    /// Requests with a place that may start before others now, by rank.
    credit: [f64; LEVELS],
}

impl ReturnPlaces {
    /// Returns after which delay the caller of a refused request has a place, or none if there is
    /// no room at a time that it will honour.
    pub fn give(&mut self, refused: &Refused, now: Timestamp) -> Option<Duration> {
        let level = usize::from(refused.level).min(LEVELS - 1);
        let room = refused.rate * PLACE_PART;
        let elapsed = now.since(self.counted[level]).as_secs_f64();
        let outstanding = (self.outstanding[level] - elapsed * room).max(0.0);
        self.outstanding[level] = outstanding;
        self.counted[level] = now;

        let (least, most) = PLACE_RANGE;
        let earliest = refused.left.saturating_sub(refused.longest.mul_f64(most));
        let latest = refused.left.saturating_sub(refused.longest.mul_f64(least));
        let latest = latest
            .min(refused.left.mul_f64(HONOURED_PART))
            .min(refused.left.saturating_sub(refused.need));
        let wait = Duration::try_from_secs_f64(outstanding / room).ok()?;
        let delay = earliest.checked_add(wait)?;
        if latest.is_zero() || delay > latest {
            return None;
        }
        self.outstanding[level] += 1.0;
        Some(delay)
    }

    /// Records that a request of a rank was sent to an endpoint.
    pub fn record_start(&mut self, level: u8) {
        let credit = &mut self.credit[usize::from(level).min(LEVELS - 1)];
        *credit = (*credit + PLACE_PART).min(CREDIT_MAX);
    }

    /// Returns the turn of a request that misses its objective, whose caller has spent `elapsed`
    /// and has `left`. A turn before others uses room that is kept for those with a place.
    pub fn turn(&mut self, level: u8, elapsed: Duration, left: Duration) -> Turn {
        let part = left.as_secs_f64() / (elapsed + left).as_secs_f64().max(f64::EPSILON);
        let (least, most) = ACCEPTED_RANGE;
        let credit = &mut self.credit[usize::from(level).min(LEVELS - 1)];
        if elapsed.is_zero() || !(least..most).contains(&part) || *credit < 1.0 {
            return Turn::Returned;
        }
        *credit -= 1.0;
        Turn::Placed
    }
}
