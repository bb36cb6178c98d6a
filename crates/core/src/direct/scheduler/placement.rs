//! Chooses the endpoint for a request.
//!
//! The cost of an endpoint is its expected time to first byte, estimated from the prompt tokens
//! pending there and its measured speed, plus penalties for failures, for other data centres and
//! for long prompts that would delay running answers. The cheapest endpoint with a free slot is
//! chosen. Endpoints differ in speed, some are full, cold or failing, and the peers' reports of
//! their load lag.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::slot_shares::Pressure;
use super::{Outcome, Placement, PlacementRequest, Scheduler};
use crate::direct::digest::digest;
use crate::direct::endpoint_table::EndpointState;
use crate::direct::members::ASSUMED_MEMBERS;
use crate::direct::plan::EndpointId;
use crate::direct::send_window::split_limit;
use crate::time::Timestamp;

/// Requests without a streamed answer that an endpoint receives at once, per slot.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;

/// Part of all slots that is reserved for requests of higher rank, per rank below the highest.
const RANK_RESERVE: f64 = 0.04;

/// One request in this many does not yield its slot to urgent requests that wait at peers.
const NO_YIELD_EVERY: u64 = 4;

/// Part of all slots that is reserved for requests that can still meet their objective.
const LATE_RESERVE: f64 = 0.12;

/// Range of the factor by which costs vary at random.
const COST_NOISE: Range<f64> = 0.92..1.08;

/// Cost of an endpoint in another data centre, in milliseconds.
const REMOTE_MS: f64 = 6.0;

/// Cost of an endpoint that fails every request, in milliseconds.
const FAILURE_MS: f64 = 1_500.0;

/// Cost of an endpoint that is no longer listed, in milliseconds.
const UNLISTED_MS: f64 = 60.0;

/// Cost of the last free slot of an endpoint relative to the first, in milliseconds.
const FILL_MS: f64 = 25.0;

/// Part of the longest acceptable event gap that the prefill of prompts may take at no cost.
const PREFILL_GAP_PART: f64 = 0.6;

/// Safety factor on the expected time to first byte.
const ESTIMATE_FACTOR: f64 = 1.25;

/// Safety factor on the expected length of an answer.
const LENGTH_FACTOR: f64 = 2.5;

/// Cost of each millisecond by which an answer would exceed its deadline, in milliseconds.
const OVERTIME_COST: f64 = 0.5;

/// Part of an endpoint's slots that is filled without reservations.
const UNRESERVED_PART: f64 = 0.5;

/// Time for which a slot is reserved, until the request arrives.
const RESERVATION_TIME: Duration = Duration::from_millis(400);

/// Part of a cold endpoint's capacity that is used.
const COLD_USED_PART: f64 = 0.8;

impl Scheduler {
    /// Returns whether a request would miss its objective even at an idle endpoint.
    pub(super) fn is_late(&self, request: &PlacementRequest, now: Timestamp) -> bool {
        let left = request.objective.since(now).as_secs_f64() * 1_000.0;
        if !request.streaming {
            return left <= 0.0;
        }
        left < self.idle_first_byte_ms(request)
    }

    /// Returns the expected time to first byte of a request at the best endpoint if that were idle,
    /// in milliseconds.
    pub(super) fn idle_first_byte_ms(&self, request: &PlacementRequest) -> f64 {
        let idle = |state: &EndpointState| state.idle_first_byte_ms(request.prompt);
        let best = self
            .endpoints
            .of_service(&request.service)
            .filter(|state| has_build(state, request.build.as_deref()))
            .map(idle)
            .min_by(f64::total_cmp);
        best.unwrap_or(0.0)
    }

    /// Returns whether the service has no usable endpoint.
    pub(super) fn has_no_endpoint(&self, request: &PlacementRequest, now: Timestamp) -> bool {
        self.usable(request, now).next().is_none()
    }

    /// Returns the endpoints that a request may go to, including avoided ones.
    pub(super) fn usable<'a>(
        &'a self,
        request: &'a PlacementRequest,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let endpoints = self.endpoints.of_service(&request.service);
        endpoints.filter(move |state| self.is_available_to(request, state, now))
    }

    fn is_available(&self, state: &EndpointState, excluded: &[EndpointId], now: Timestamp) -> bool {
        let record = state.record();
        state.is_usable(now)
            && !self.closed.contains(&record.centre)
            && !excluded.contains(&record.id)
    }

    fn is_available_to(
        &self,
        request: &PlacementRequest,
        state: &EndpointState,
        now: Timestamp,
    ) -> bool {
        has_build(state, request.build.as_deref())
            && self.is_available(state, &request.excluded, now)
    }

    /// Returns whether an endpoint of the required build that is neither excluded nor avoided has
    /// a free slot.
    pub(super) fn has_alternative(
        &self,
        service: &str,
        build: Option<&str>,
        excluded: &[EndpointId],
        streaming: bool,
        now: Timestamp,
    ) -> bool {
        self.endpoints.of_service(service).any(|state| {
            has_build(state, build)
                && self.is_available(state, excluded, now)
                && !state.is_avoided(now)
                && self.is_allowed(state, now)
                && state.load().running < Self::slots(state, streaming)
        })
    }

    /// Returns the endpoints that a request may go to. Avoided endpoints are used only if there is
    /// no other.
    pub(super) fn available<'a>(
        &'a self,
        request: &'a PlacementRequest,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let all_avoided = self.usable(request, now).all(|state| state.is_avoided(now));
        self.usable(request, now)
            .filter(move |state| all_avoided || !state.is_avoided(now))
    }

    pub(super) fn slots(state: &EndpointState, streaming: bool) -> u32 {
        let slots = state.record().slots.max(1);
        if streaming {
            slots
        } else {
            slots * PLAIN_REQUESTS_PER_SLOT
        }
    }

    /// Sends a request to the cheapest endpoint, if a slot is free for it now.
    pub(super) fn place(
        &mut self,
        request: &PlacementRequest,
        late: bool,
        now: Timestamp,
    ) -> Option<Outcome> {
        if !self.has_room(request, late, now) {
            return None;
        }
        let (id, expected) = self.cheapest(request, late, now)?;
        let placement = self.placement_at(&id, expected, request, now)?;
        Some(Outcome::Placed(placement))
    }

    /// Records that a request is sent to an endpoint whose first byte is expected after `expected`
    /// milliseconds.
    pub(super) fn placement_at(
        &mut self,
        id: &EndpointId,
        expected: f64,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Option<Box<Placement>> {
        let state = self.endpoints.get(id)?;
        let last_byte = expected + state.stream_ms(self.events(request));
        let record = state.record().clone();
        let reservation = self.reservation(request, state, now);
        self.charge_limit(id, now);
        let held = self.charged_memory(request);
        let mut run = self.endpoints.record_send(id, request.prompt, held, now)?;
        self.start_work(request, &mut run, now);
        Some(Box::new(Placement {
            run,
            record,
            first_byte: expected as u64,
            last_byte: last_byte as u64,
            reservation,
        }))
    }

    /// Returns the time for which a slot is reserved before the request is sent. Several entries may
    /// send to an endpoint that they all believe to have a slot, so where few are free, the endpoint
    /// is asked. Elsewhere the call would only cost time. An endpoint that is cold or limits its
    /// requests is not asked, as the call would count as one of the few that it takes.
    fn reservation(
        &self,
        request: &PlacementRequest,
        state: &EndpointState,
        now: Timestamp,
    ) -> Duration {
        let slots = f64::from(Self::slots(state, request.streaming));
        let service = self.plan.services.get(&request.service);
        match service {
            Some(service)
                if request.streaming
                    && !state.is_cold(now)
                    && state.availability().limit(now).is_none()
                    && (f64::from(state.load().running) >= slots * UNRESERVED_PART
                        || self.fills_memory(state, request, UNRESERVED_PART)) =>
            {
                service.reservation.min(RESERVATION_TIME)
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether there are free slots beyond those reserved for other requests.
    fn has_room(&self, request: &PlacementRequest, late: bool, now: Timestamp) -> bool {
        if self.has_place(request) {
            return true;
        }
        if let Some(has_room) = self.shared_room(request, now) {
            return has_room;
        }
        let (mut free, mut all) = (0, 0);
        for state in self.available(request, now) {
            if !self.is_allowed(state, now) {
                continue;
            }
            let slots = Self::slots(state, request.streaming);
            all += slots;
            free += slots.saturating_sub(state.load().running);
        }
        if free == 0 {
            return false;
        }
        // A stream that has begun takes precedence over all that have not.
        if request.build.is_some() {
            return true;
        }
        let reserved = match (request.is_short(), late) {
            (true, _) => 0.0,
            (false, true) if !self.is_returning(request) => LATE_RESERVE,
            (false, _) => RANK_RESERVE * f64::from(request.rank.min(2)),
        };
        if f64::from(free) <= reserved * f64::from(all) {
            return false;
        }
        self.is_within_share(request, free, all, now)
    }

    /// Returns whether this entry stays within its share of the slots while requests wait at peers.
    fn is_within_share(
        &self,
        request: &PlacementRequest,
        free: u32,
        slots: u32,
        now: Timestamp,
    ) -> bool {
        let (running, waiting, urgent) = self.peer_demand(digest(&request.service));
        if waiting == 0 {
            return true;
        }
        // A slot that is free here is left to the peer whose urgent request waits for it. Some
        // requests do not yield, as a large fleet would otherwise serve urgent requests only.
        let yields = !request.ticket.0.is_multiple_of(NO_YIELD_EVERY);
        if urgent >= free && request.rank > 0 && yields && !request.is_short() {
            return false;
        }
        if let Some(allowed) = self.share_claim(request, free, now) {
            return allowed;
        }
        let own_running: u32 = self
            .endpoints
            .of_service(&request.service)
            .map(|state| state.own().running)
            .sum();
        let own_waiting = self
            .queues
            .get(&request.service)
            .map_or(0, |queue| queue.timely());
        let own = f64::from(own_running) + own_waiting as f64 + 1.0;
        let total = own + f64::from(running + waiting);
        f64::from(own_running) < f64::from(slots) * own / total + 1.0
    }

    /// Returns the endpoint of least cost and the expected time to first byte there, in
    /// milliseconds.
    fn cheapest(
        &mut self,
        request: &PlacementRequest,
        late: bool,
        now: Timestamp,
    ) -> Option<(EndpointId, f64)> {
        let left = request.objective.since(now).as_secs_f64() * 1_000.0;
        let pressure = self.pressure(request);
        let limit = self.pause_limit(request, now);
        let mut candidates = Vec::new();
        for state in self.available(request, now) {
            let has_slot = self.has_slot(state, request, pressure.as_ref(), now);
            if !has_slot || self.interrupts(limit, state, request) {
                continue;
            }
            let (expected, cost) = self.cost(state, request, now);
            if late || !request.streaming || expected <= left {
                candidates.push((Arc::clone(&state.record().id), expected, cost));
            }
        }
        self.draw_cheapest(candidates)
    }

    /// Returns the endpoint of least cost, and the expected time to first byte there, among candidates
    /// with that time and their costs. The costs vary a little, so that entries which know the same do
    /// not all choose the same endpoint.
    pub(super) fn draw_cheapest(
        &mut self,
        candidates: Vec<(EndpointId, f64, f64)>,
    ) -> Option<(EndpointId, f64)> {
        let random = &mut self.random;
        let drawn = candidates.into_iter().map(|(id, expected, cost)| {
            let cost = cost * random.random_range(COST_NOISE);
            (id, expected, cost)
        });
        let least = drawn.min_by(|(_, _, one), (_, _, other)| one.total_cmp(other));
        least.map(|(id, expected, _)| (id, expected))
    }

    /// Returns whether an endpoint has a slot that this entry may use now.
    pub(super) fn has_slot(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        pressure: Option<&Pressure>,
        now: Timestamp,
    ) -> bool {
        let may_ask = || self.may_ask(state, request, now) && !state.is_full(now);
        (self.has_free_slot(state, request, pressure, now) || may_ask())
            && !self.fills_memory(state, request, 1.0)
            && self.may_return(state, request.streaming, now)
            && self.may_warm_up(state, now)
            && self.is_allowed(state, now)
    }

    /// Returns whether this entry stays within its part of what a cold endpoint receives in a second.
    fn may_warm_up(&self, state: &EndpointState, now: Timestamp) -> bool {
        let service = self.plan.services.get(&state.record().service);
        let capacity = service.map_or(0.0, |service| service.cold_capacity);
        if capacity <= 0.0 || !state.is_cold(now) {
            return true;
        }
        let limit = capacity * self.bounds.cold_factor + self.bounds.cold_extra;
        state.sends().recent(now) < self.own_part(state, limit * COLD_USED_PART, now)
    }

    /// Returns this entry's part of a limit on the requests of all entries to an endpoint. Each
    /// endpoint ranks the entries in an order of its own, so that two entries that know different
    /// members seldom both count themselves in.
    pub(super) fn own_part(&self, state: &EndpointState, limit: f64, now: Timestamp) -> usize {
        let limit = limit * self.seen_part(now);
        if self.is_discovering(now) {
            let rank = self.members.estimated_rank(state.digest(), ASSUMED_MEMBERS);
            return split_limit(limit, ASSUMED_MEMBERS, rank);
        }
        split_limit(limit, self.members.count(), state.rank(&self.members))
    }

    /// Returns the estimated number of events of the answer.
    fn events(&self, request: &PlacementRequest) -> f64 {
        let service = self.plan.services.get(&request.service);
        let event_tokens = service.map_or(1.0, |service| service.event_tokens.max(1.0));
        if request.streaming {
            request.length as f64 / event_tokens
        } else {
            0.0
        }
    }

    /// Returns the expected time to a request's first byte at an endpoint and the cost of the
    /// endpoint, both in milliseconds.
    pub(super) fn cost(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> (f64, f64) {
        let expected = state.first_byte_ms(request.prompt) * ESTIMATE_FACTOR;
        let filled =
            f64::from(state.load().running) / f64::from(Self::slots(state, request.streaming));
        let mut cost = expected + FILL_MS * filled + FAILURE_MS * state.failure_rate(now);
        if state.is_unlisted() {
            cost += UNLISTED_MS;
        }
        cost += self
            .peer_notices
            .cost(state.digest(), state.record().started_ms, now);
        if state.record().centre != self.centre {
            cost += REMOTE_MS;
        }
        if request.streaming {
            let last_byte = expected + state.stream_ms(self.events(request)) * LENGTH_FACTOR;
            let left = request.deadline.since(now).as_secs_f64() * 1_000.0;
            cost += OVERTIME_COST * (last_byte - left).max(0.0);
        }
        if let Some(event_gap) = request.event_gap {
            let allowed = event_gap.as_secs_f64() * 1_000.0 * PREFILL_GAP_PART;
            cost += 2.0 * (state.prefill_ms(request.prompt) - allowed).max(0.0);
        }
        (expected, cost)
    }
}

/// Returns whether an endpoint is of the required build, if one is required.
pub(super) fn has_build(state: &EndpointState, required: Option<&str>) -> bool {
    required.is_none_or(|build| *state.record().build == *build)
}
