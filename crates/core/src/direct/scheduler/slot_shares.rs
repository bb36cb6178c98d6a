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

/// The requests that ask for a service's slots, at this entry and at its peers.
#[derive(Debug, Clone, Copy)]
struct Demand {
    own_running: u32,
    own_waiting: u32,
    peers_running: u32,
    peers_waiting: u32,
}

impl Demand {
    /// Returns whether the entry keeps one more of `slots` slots that its own requests have left.
    fn keeps_slot(&self, slots: u32) -> bool {
        let own = f64::from(self.own_running + self.own_waiting);
        let total = own + f64::from(self.peers_running + self.peers_waiting);
        let share = f64::from(slots) * own / total.max(1.0);
        f64::from(self.own_running) < share * (1.0 + SHARE_MARGIN) + 1.0
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

    /// Returns what is asked of a service, with one request more at this entry, if slots are divided
    /// and requests wait.
    fn pressure(&self, request: &PlacementRequest) -> Option<Demand> {
        if !self.policies.slot_shares || !request.streaming {
            return None;
        }
        let (peers_running, peers_waiting, _) = self.peer_demand(digest(&request.service));
        let queue = self.queues.get(&request.service);
        let own_waiting = queue.map_or(0, |queue| queue.timely());
        if own_waiting == 0 && peers_waiting == 0 {
            return None;
        }
        let endpoints = self.endpoints.of_service(&request.service);
        Some(Demand {
            own_running: endpoints.map(|state| state.own().running).sum(),
            own_waiting: u32::try_from(own_waiting).unwrap_or(u32::MAX).max(1),
            peers_running,
            peers_waiting,
        })
    }

    /// Returns whether a request may use a slot now: one that this entry knows to be free, or one
    /// that it may probe. Returns `None` if the slots are not divided now.
    pub(super) fn shared_room(&self, request: &PlacementRequest, now: Timestamp) -> Option<bool> {
        let demand = self.pressure(request)?;
        let states = || {
            let available = self.available(request, now);
            available.filter(|state| self.is_allowed(state, now))
        };
        if !states().any(|state| self.may_take(state, request, &demand, now)) {
            return Some(false);
        }
        if request.build.is_some() {
            return Some(true);
        }
        let slots = states().map(|state| Self::slots(state, true)).sum();
        Some(demand.keeps_slot(slots))
    }

    /// Returns whether an endpoint has a slot that is free, as far as this entry knows.
    pub(super) fn has_free_slot(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> bool {
        match self.pressure(request) {
            Some(demand) => self.may_take(state, request, &demand, now),
            None => {
                state.load().running < Self::slots(state, request.streaming) && !state.is_full(now)
            }
        }
    }

    fn may_take(
        &self,
        state: &EndpointState,
        request: &PlacementRequest,
        demand: &Demand,
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
            own_waiting: demand.own_waiting,
            peers_waiting: demand.peers_waiting,
        };
        !state.is_full(now) && probe.is_due(now)
    }
}
