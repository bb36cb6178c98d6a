//! Load pattern: more requests than places, of unlike urgency, for a few seconds.
//!
//! Requests that can still be on time go before those that cannot, urgent teams before others, then urgent
//! routes, then earlier ones before later ones. Routes below the highest rank share one line, so that short work
//! is not kept behind long work of a rank between; short work goes with the highest rank, since it
//! hardly keeps anything waiting.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Timestamp;

use super::scheduler::{Ask, Ticket};

/// Ranks from this on share one line.
const SHARED_RANK: u8 = 1;

/// Time that a token of an answer is expected to take a place for.
const TOKEN_TIME: Duration = Duration::from_micros(4_200);

/// Time that a token of a prompt is expected to take a place for.
const PROMPT_TIME: Duration = Duration::from_micros(10);

/// A request that holds a place for less is short.
const SHORT_TIME: Duration = Duration::from_millis(350);

/// Part of the expected time of a request by which its turn comes later.
const LENGTH_PART: f64 = 0.1;

/// Longest time by which a turn comes later: what waits in time waits little longer.
const PENALTY_MAX: Duration = Duration::from_millis(60);

/// One request of so many keeps its turn whatever its length, so that long ones are not starved.
const LOTTERY: u64 = 2;

impl Ask {
    /// How long the request is expected to hold a place.
    #[must_use]
    pub fn hold(&self) -> Duration {
        let tokens = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
        let answer = TOKEN_TIME.saturating_mul(tokens(self.length));
        answer.saturating_add(PROMPT_TIME.saturating_mul(tokens(self.prompt)))
    }

    /// Whether requests of this kind hold a place for so short a time that they hardly keep others
    /// waiting. All of a kind are treated alike, so that its long ones are not starved by its short
    /// ones.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.typical < SHORT_TIME
    }

    /// How much later a long request's turn comes: what a place can do meanwhile is worth more.
    fn penalty(&self) -> Duration {
        if self.ticket.0.is_multiple_of(LOTTERY) {
            return Duration::ZERO;
        }
        self.hold().mul_f64(LENGTH_PART).min(PENALTY_MAX)
    }
}

/// Place of a request in the line. The least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// Whether it comes after all that can still be on time.
    last: bool,
    standing: u8,
    rank: u8,
    turn: Timestamp,
    ticket: Ticket,
    late: bool,
}

impl Place {
    pub(super) fn new(ask: &Ask, late: bool) -> Self {
        let short = ask.is_short();
        let rank = match (short, late) {
            (true, false) => 0,
            (true, true) => SHARED_RANK,
            (false, _) => ask.rank.min(SHARED_RANK),
        };
        Self {
            last: late && !short,
            standing: ask.standing,
            rank,
            turn: ask.arrived + ask.penalty(),
            ticket: ask.ticket,
            late,
        }
    }

    pub(super) const fn is_late(&self) -> bool {
        self.late
    }
}

/// The requests that wait for one service.
#[derive(Debug, Default)]
pub(super) struct Line {
    asks: BTreeMap<Place, Ask>,
}

impl Line {
    pub(super) fn add(&mut self, ask: Ask, late: bool) {
        self.asks.insert(Place::new(&ask, late), ask);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Ask> {
        let place = *self.asks.keys().find(|place| place.ticket == ticket)?;
        self.asks.remove(&place)
    }

    pub(super) fn take(&mut self, place: &Place) -> Option<Ask> {
        self.asks.remove(place)
    }

    /// The places in the order in which they are served.
    pub(super) fn places(&self) -> Vec<Place> {
        self.asks.keys().copied().collect()
    }

    pub(super) fn get(&self, place: &Place) -> Option<&Ask> {
        self.asks.get(place)
    }

    /// Requests that wait.
    pub(super) fn len(&self) -> usize {
        self.asks.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    /// Requests that wait and may still be on time.
    pub(super) fn hopeful(&self) -> usize {
        self.asks.keys().filter(|place| !place.late).count()
    }

    /// Those of the highest rank among them.
    pub(super) fn urgent(&self) -> usize {
        self.asks
            .keys()
            .filter(|place| !place.late && place.rank == 0)
            .count()
    }

    /// Requests that would be served before one at `place`.
    pub(super) fn ahead(&self, place: &Place) -> usize {
        self.asks.range(..*place).count()
    }
}
