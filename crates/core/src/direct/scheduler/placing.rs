//! Load pattern: endpoints of unlike speed, some full, some cold, some failing, and reports that lag.
//!
//! A request goes where its first byte is expected soonest. Expected time counts the prompts that are
//! still to be read there, at the endpoint's own learnt speed; to this come a price for endpoints that
//! fail, for other data centres, and for long prompts that hold running answers up.

use rand::Rng;

use super::{Ask, Outcome, Placement, Scheduler};
use crate::direct::book::{Candidate, digest};
use crate::direct::pace::part;
use crate::direct::plan::EndpointId;
use crate::time::Timestamp;

/// Requests that a plain service's endpoint is given at once, for each place.
const PLAIN_FILL: u32 = 2;

/// Part of all places that is kept free for requests of a higher rank, for each rank below it.
const RESERVE: f64 = 0.04;

/// One request of so many does not leave its place to urgent ones at peers.
const YIELD_LOTTERY: u64 = 4;

/// Part of all places that is kept free for requests that can still be on time.
const LATE_RESERVE: f64 = 0.12;

/// Price of another data centre, in milliseconds.
const REMOTE_MS: f64 = 6.0;

/// Price of an endpoint that fails every request, in milliseconds.
const FAILURE_MS: f64 = 1_500.0;

/// Price of an endpoint that is no longer listed, in milliseconds.
const LAPSED_MS: f64 = 60.0;

/// Price of the last free place against the first, in milliseconds.
const FILL_MS: f64 = 25.0;

/// Part of the longest pause that reading prompts may take before it is priced.
const READING_PART: f64 = 0.6;

/// Factor on the expected time by which it may prove wrong.
const DOUBT: f64 = 1.25;

/// Factor on the expected length of an answer by which it may prove longer.
const LENGTH_DOUBT: f64 = 2.5;

/// Price of a millisecond by which an answer would outlast its deadline, in milliseconds.
const OVERTIME_PRICE: f64 = 0.5;

/// Part of what a cold endpoint bears that is used.
const COLD_CAUTION: f64 = 0.8;

impl Scheduler {
    /// Whether a request could no longer be on time even at an idle endpoint.
    pub(super) fn is_late(&self, ask: &Ask, now: Timestamp) -> bool {
        let left = ask.objective.since(now).as_secs_f64() * 1_000.0;
        if !ask.streaming {
            return left <= 0.0;
        }
        let idle = |known: &Candidate| known.idle_byte(ask.prompt);
        let best = self.book.of(&ask.service).map(idle).min_by(f64::total_cmp);
        left < best.unwrap_or(0.0)
    }

    /// Whether no endpoint of the service may be used at all.
    pub(super) fn is_empty(&self, ask: &Ask, now: Timestamp) -> bool {
        let mut endpoints = self.book.of(&ask.service);
        !endpoints.any(|known| self.is_open(known, &ask.excluded, now))
    }

    fn is_open(&self, known: &Candidate, excluded: &[EndpointId], now: Timestamp) -> bool {
        let listing = known.listing();
        known.is_usable(now)
            && !self.closed.contains(&listing.centre)
            && !excluded.contains(&listing.id)
    }

    /// Whether a sound endpoint that is not excluded has a place free.
    pub(super) fn has_other(
        &self,
        service: &str,
        excluded: &[EndpointId],
        streaming: bool,
        now: Timestamp,
    ) -> bool {
        self.book.of(service).any(|known| {
            self.is_open(known, excluded, now)
                && !known.is_suspect(now)
                && known.load().running < Self::places(known, streaming)
        })
    }

    /// The endpoints that a request may go to: suspected ones only where there is no other.
    fn open<'a>(&'a self, ask: &'a Ask, now: Timestamp) -> impl Iterator<Item = &'a Candidate> {
        let open = move |known: &&Candidate| self.is_open(known, &ask.excluded, now);
        let endpoints = || self.book.of(&ask.service).filter(open);
        let suspects = endpoints().all(|known| known.is_suspect(now));
        endpoints().filter(move |known| suspects || !known.is_suspect(now))
    }

    fn places(known: &Candidate, streaming: bool) -> u32 {
        let slots = known.listing().slots.max(1);
        if streaming { slots } else { slots * PLAIN_FILL }
    }

    /// Finds an endpoint that a request may go to now.
    pub(super) fn place(&mut self, ask: &Ask, late: bool, now: Timestamp) -> Option<Outcome> {
        if !self.has_room(ask, late, now) {
            return None;
        }
        let (id, expected) = self.best(ask, late, now)?;
        let known = self.book.get(&id)?;
        let whole = expected + known.streaming(self.events(ask));
        let listing = known.listing().clone();
        let run = self.book.send(&id, ask.prompt, now)?;
        Some(Outcome::Placed(Box::new(Placement {
            run,
            listing,
            expected: expected as u64,
            whole: whole as u64,
        })))
    }

    /// Whether the places that are free are not kept for others.
    fn has_room(&self, ask: &Ask, late: bool, now: Timestamp) -> bool {
        let (mut free, mut all) = (0, 0);
        for known in self.open(ask, now) {
            let places = Self::places(known, ask.streaming);
            all += places;
            free += places.saturating_sub(known.load().running);
        }
        if free == 0 {
            return false;
        }
        let kept = match (ask.is_short(), late) {
            (true, _) => 0.0,
            (false, true) => LATE_RESERVE,
            (false, false) => RESERVE * f64::from(ask.rank.min(2)),
        };
        if f64::from(free) <= kept * f64::from(all) {
            return false;
        }
        self.is_fair(ask, free, all, now)
    }

    /// Whether this entry has not more than its part of the places while others wait.
    fn is_fair(&self, ask: &Ask, free: u32, places: u32, now: Timestamp) -> bool {
        let (running, waiting, urgent) = self.members.demand(digest(&ask.service), now);
        if waiting == 0 {
            return true;
        }
        // A place that is free here goes to the peer whose urgent request waits for it, but for some,
        // or a large fleet would never serve anything else.
        let yields = !ask.ticket.0.is_multiple_of(YIELD_LOTTERY);
        if urgent >= free && ask.rank > 0 && yields && !ask.is_short() {
            return false;
        }
        let own_running: u32 = self
            .book
            .of(&ask.service)
            .map(|known| known.own().running)
            .sum();
        let own_waiting = self
            .lines
            .get(&ask.service)
            .map_or(0, |line| line.hopeful());
        let own = f64::from(own_running) + own_waiting as f64 + 1.0;
        let total = own + f64::from(running + waiting);
        f64::from(own_running) < f64::from(places) * own / total + 1.0
    }

    /// The endpoint with the least expected time, and that time.
    fn best(&mut self, ask: &Ask, late: bool, now: Timestamp) -> Option<(EndpointId, f64)> {
        let service = self.plan.services.get(&ask.service);
        let bearing = service.map_or(0.0, |service| service.cold);
        let cold = bearing * self.bounds.overage + self.bounds.extra;
        let (members, place) = (self.members.count(), self.members.place(self.own));
        let left = ask.objective.since(now).as_secs_f64() * 1_000.0;
        let mut found: Option<(EndpointId, f64, f64)> = None;
        let room = |known: &&Candidate| known.load().running < Self::places(known, ask.streaming);
        let open = self.open(ask, now).filter(room);
        let ids: Vec<_> = open.map(|known| known.listing().id.clone()).collect();
        for id in ids {
            let known = self.book.get(&id)?;
            let is_cold = known.is_cold(now);
            let (expected, price) = self.price(known, ask, now);
            if !late && ask.streaming && expected > left {
                continue;
            }
            if bearing > 0.0 && is_cold {
                // Each endpoint deals the parts from another entry on, so that none is left out.
                let dealt = (place + digest(&id) as usize % members) % members;
                let cold = part(cold * COLD_CAUTION, members, dealt);
                if self.book.get_mut(&id)?.recent(now) >= cold {
                    continue;
                }
            }
            let price = price * self.random.random_range(0.92..1.08);
            if found.as_ref().is_none_or(|(_, _, least)| price < *least) {
                found = Some((id, expected, price));
            }
        }
        found.map(|(id, expected, _)| (id, expected))
    }

    /// Events that an answer is guessed to have.
    fn events(&self, ask: &Ask) -> f64 {
        let service = self.plan.services.get(&ask.service);
        let stride = service.map_or(1.0, |service| service.stride.max(1.0));
        if ask.streaming {
            ask.length as f64 / stride
        } else {
            0.0
        }
    }

    /// The expected time to a request's first byte at an endpoint, and the same with prices.
    fn price(&self, known: &Candidate, ask: &Ask, now: Timestamp) -> (f64, f64) {
        let expected = known.first_byte(ask.prompt) * DOUBT;
        let filled =
            f64::from(known.load().running) / f64::from(Self::places(known, ask.streaming));
        let mut price = expected + FILL_MS * filled + FAILURE_MS * known.failures(now);
        if known.is_lapsed() {
            price += LAPSED_MS;
        }
        if known.listing().centre != self.centre {
            price += REMOTE_MS;
        }
        if ask.streaming {
            let whole = expected + known.streaming(self.events(ask)) * LENGTH_DOUBT;
            let left = ask.deadline.since(now).as_secs_f64() * 1_000.0;
            price += OVERTIME_PRICE * (whole - left).max(0.0);
        }
        if let Some(pause) = ask.pause {
            let allowed = pause.as_secs_f64() * 1_000.0 * READING_PART;
            price += 2.0 * (known.reading(ask.prompt) - allowed).max(0.0);
        }
        (expected, price)
    }
}
