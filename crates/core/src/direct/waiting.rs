//! Load pattern: more requests than places, of unlike urgency, for a few seconds.
//!
//! Requests that can still be on time go before those that cannot, urgent teams before others, then urgent
//! routes, then earlier ones before later ones. Routes below the highest rank share one line, so that short work
//! is not kept behind long work of a rank between.

use std::collections::BTreeMap;

use crate::time::Timestamp;

use super::scheduler::{Ask, Ticket};

/// Ranks from this on share one line.
const SHARED_RANK: u8 = 1;

/// Place of a request in the line. The least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    late: bool,
    standing: u8,
    rank: u8,
    arrived: Timestamp,
    ticket: Ticket,
}

impl Place {
    pub(super) fn new(ask: &Ask, late: bool) -> Self {
        Self {
            late,
            standing: ask.standing,
            rank: ask.rank.min(SHARED_RANK),
            arrived: ask.arrived,
            ticket: ask.ticket,
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

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Place, &Ask)> {
        self.asks.iter()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }

    /// Requests that wait and may still be on time.
    pub(super) fn hopeful(&self) -> usize {
        self.asks.keys().filter(|place| !place.late).count()
    }

    /// Requests that would be served before one at `place`.
    pub(super) fn ahead(&self, place: &Place) -> usize {
        self.asks.range(..*place).count()
    }
}
