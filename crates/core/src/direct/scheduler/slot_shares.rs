//! Divides the slots of endpoints among the entries while requests wait, if the settings ask for
//! it: an entry uses the slots again that its own requests leave, up to its share by demand, and
//! probes others only in its turn.

use std::time::Duration;

use super::{Ending, PlacementRequest, Scheduler};
use crate::direct::digest::digest;
use crate::direct::endpoint_table::{EndpointState, Run};
use crate::direct::freed_slots::Probe;
use crate::time::Timestamp;

/// Part of its share by which an entry may exceed it with slots that it has already, so that they do
/// not change hands with every arrival.
const SHARE_MARGIN: f64 = 0.25;

/// Requests that ask for a service's slots, at one entry or several.
#[derive(Debug, Clone, Copy)]
struct Demand {
    running: u32,
    waiting: u32,
    /// Waiting requests of the highest rank among these. They count twice, so that slots move to the
    /// entries where urgent requests wait.
    urgent: u32,
}

impl Demand {
    fn weight(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting) + f64::from(self.urgent)
    }
}

/// The demand at this entry and at its peers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pressure {
    own: Demand,
    peers: Demand,
}

impl Pressure {
    /// Returns whether the entry uses one more of `slots` slots.
    fn is_within_share(&self, slots: u32) -> bool {
        let total = self.own.weight() + self.peers.weight();
        let share = f64::from(slots) * self.own.weight() / total.max(1.0);
        f64::from(self.own.running) < share * (1.0 + SHARE_MARGIN) + 1.0
    }
}

impl Scheduler {
    /// Records that a run has left a slot which this entry may use again.
    pub(super) fn keep_slot(&mut self, run: &Run, ending: Ending, now: Timestamp) {
        if self.policies.slot_shares && matches!(ending, Ending::Complete | Ending::Failed) {
            self.endpoints.record_freed(run, now);
        }
    }

    /// Returns how old the reports of an endpoint's load are that is full now.
    pub(super) fn full_lag(&self, now: Timestamp) -> Duration {
        if self.policies.slot_shares {
            self.report_lag(now)
        } else {
            Duration::ZERO
        }
    }

    /// Returns what is asked of a service, if slots are divided and requests wait. The request itself
    /// counts as waiting.
    pub(super) fn pressure(&self, request: &PlacementRequest) -> Option<Pressure> {
        if !self.policies.slot_shares || !request.streaming {
            return None;
        }
        let (running, waiting, urgent) = self.peer_demand(digest(&request.service));
        let peers = Demand {
            running,
            waiting,
            urgent,
        };
        let queue = self.queues.get(&request.service);
        let waiting = queue.map_or(0, |queue| queue.timely());
        if waiting == 0 && peers.waiting == 0 {
            return None;
        }
        let endpoints = self.endpoints.of_service(&request.service);
        let urgent = queue.map_or(0, |queue| queue.urgent());
        let own = Demand {
            running: endpoints.map(|state| state.own().running).sum(),
            waiting: u32::try_from(waiting.max(1)).unwrap_or(u32::MAX),
            urgent: u32::try_from(urgent).unwrap_or(u32::MAX),
        };
        Some(Pressure { own, peers })
    }

    /// Returns whether a request may use a slot now: one that this entry knows to be free, or one
    /// that it may probe. Returns `None` if the slots are not divided now.
    pub(super) fn shared_room(&self, request: &PlacementRequest, now: Timestamp) -> Option<bool> {
        let pressure = self.pressure(request)?;
        let states = || {
            let available = self.available(request, now);
            available.filter(|state| self.is_allowed(state, now))
        };
        if !states().any(|state| self.may_take(state, request, &pressure, now)) {
            return Some(false);
        }
        if request.build.is_some() {
            return Some(true);
        }
        let slots = states().map(|state| Self::slots(state, true)).sum();
        Some(pressure.is_within_share(slots))
    }

    /// Returns the tokens of an endpoint's memory that a request is charged for.
    pub(super) const fn charged_memory(&self, request: &PlacementRequest) -> u64 {
        if self.policies.slot_shares {
            request.memory
        } else {
            0
        }
    }

    /// Returns whether a request and those at the endpoint may need more than `part` of its memory. An
    /// endpoint crashes beyond it.
    pub(super) fn fills_memory(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        part: f64,
    ) -> bool {
        let service = self.plan.services.get(&request.service);
        let memory = service.map_or(0, |service| service.memory_tokens);
        let needed = state.load().held + self.charged_memory(request);
        memory > 0 && needed as f64 > memory as f64 * part
    }

    /// Returns whether an endpoint has a slot that is free, as far as this entry knows.
    pub(super) fn has_free_slot(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        pressure: Option<&Pressure>,
        now: Timestamp,
    ) -> bool {
        match pressure {
            Some(pressure) => self.may_take(state, request, pressure, now),
            None => {
                state.load().running < Self::slots(state, request.streaming) && !state.is_full(now)
            }
        }
    }

    fn may_take(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        pressure: &Pressure,
        now: Timestamp,
    ) -> bool {
        if state.freed().count(now) > 0 {
            return true;
        }
        let slots = Self::slots(state, request.streaming);
        let probe = Probe {
            endpoint: state.digest(),
            entry: digest(&self.own),
            free: slots.saturating_sub(state.load().running),
            own_waiting: pressure.own.waiting,
            peers_waiting: pressure.peers.waiting,
        };
        let is_turn = probe.is_due(now) || (probe.free > 0 && is_divided(state, now));
        !state.is_full(now) && is_turn
    }
}

/// Returns whether each entry has a part of the requests that the endpoint takes. Turns would leave
/// the parts of entries unused that have none.
fn is_divided(state: &EndpointState, now: Timestamp) -> bool {
    state.is_cold(now) || state.availability().limit(now).is_some()
}
