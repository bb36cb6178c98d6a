//! The table of endpoints: the record, the load and the measured speed and failures of each.

mod availability;
mod endpoint_state;
mod observations;
mod service_baseline;

pub use availability::{Availability, Notice, NoticeEffect, PAUSE_LIMIT, Pause};
pub use endpoint_state::{EndpointState, Load};
pub use observations::Run;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::build_history::BuildHistory;
use super::digest::digest;
use super::event_interval::EventInterval;
use super::freed_slots::FreedSlots;
use super::plan::{EndpointId, EndpointRecord};
use super::report::{EndpointLoad, Incarnation};
use super::send_window::SendWindow;
use super::source::Source;
use super::store_revision::StoreRevision;
use crate::time::{Timestamp, whole_millis};
use availability::FormerEndpoints;
use service_baseline::ServiceBaseline;

/// The known endpoints.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, EndpointState>,
    services: HashMap<Arc<str>, Vec<EndpointId>>,
    digests: HashMap<u64, EndpointId>,
    /// The endpoint that started last at each address.
    addresses: HashMap<SocketAddr, EndpointId>,
    baselines: HashMap<Arc<str>, ServiceBaseline>,
    /// Endpoints without observed answers, by service. Their estimates follow the service's
    /// baseline.
    unobserved: HashMap<Arc<str>, BTreeSet<EndpointId>>,
    reports: HashMap<Source, Vec<EndpointLoad>>,
    incarnations: u64,
    builds: BuildHistory,
    former: FormerEndpoints,
    /// Until when some endpoint may have a limit in force.
    limits_until: Timestamp,
    /// Endpoints that changed at a revision of the store that is not known yet.
    changed: Vec<EndpointId>,
}

impl EndpointTable {
    /// Adds an endpoint or updates its record. A record of another incarnation under the same id
    /// replaces the state of the endpoint, unless that incarnation has said that it leaves: then the
    /// known one is the later one.
    pub fn upsert(&mut self, record: EndpointRecord, now: Timestamp) {
        let cold = now + record.cold;
        self.builds.record(&record.service, &record.build, now);
        if let Some(state) = self.endpoints.get_mut(&record.id)
            && state.record.started_ms == record.started_ms
            && state.record.service == record.service
            && state.record.build == record.build
            && state.record.address == record.address
        {
            if record.sequence < state.record.sequence {
                return;
            }
            if record.sequence > state.record.sequence || state.is_unlisted() {
                state.mark_changed(&mut self.changed);
            }
            state.cold_until = state.cold_until.max(cold);
            state.expires = Timestamp::NEVER;
            state.record = record;
            return;
        }
        if self.endpoints.contains_key(&record.id) && self.former.has_left(&record) {
            return;
        }
        self.remove(&record.id, now);
        if !self.take_address(&record, now) {
            return;
        }
        let id = Arc::clone(&record.id);
        let digest = digest(&id);
        self.incarnations += 1;
        let baseline = self
            .baselines
            .get(&record.service)
            .copied()
            .unwrap_or_default();
        let event_interval = EventInterval::new(baseline.interval);
        let mut state = EndpointState {
            digest,
            incarnation: self.incarnations,
            own: Load::default(),
            peers: Load::default(),
            sends: SendWindow::default(),
            charged: SendWindow::default(),
            rank: Cell::default(),
            lenders: RefCell::default(),
            last_sent: now,
            cold_until: cold,
            expires: Timestamp::NEVER,
            latency: baseline.latency(&event_interval),
            event_interval,
            failure_rate: 0.0,
            backoffs: 0,
            avoided_until: Timestamp::ZERO,
            full_until: Timestamp::ZERO,
            freed: FreedSlots::default(),
            revision: StoreRevision::LAST,
            availability: self.former.take(&record),
            record,
        };
        state.mark_changed(&mut self.changed);
        for load in self
            .reports
            .values()
            .flatten()
            .filter(|load| load.endpoint == digest)
        {
            state.peers.running += u32::from(load.running);
            state.peers.pending += u64::from(load.pending);
            state.peers.held += u64::from(load.held);
        }
        let service = Arc::clone(&state.record.service);
        let unobserved = self.unobserved.entry(Arc::clone(&service)).or_default();
        unobserved.insert(Arc::clone(&id));
        self.services
            .entry(service)
            .or_default()
            .push(Arc::clone(&id));
        self.digests.insert(digest, Arc::clone(&id));
        self.endpoints.insert(id, state);
    }

    /// Makes a new endpoint the one at its address, and removes the one that had it before: that has
    /// ended, although its record may still be listed. Returns false if a later one has it already.
    fn take_address(&mut self, record: &EndpointRecord, now: Timestamp) -> bool {
        let holder = self.addresses.get(&record.address).cloned();
        let started = holder
            .as_ref()
            .and_then(|holder| Some(self.endpoints.get(holder)?.record.started_ms));
        if started.is_some_and(|started| started > record.started_ms) {
            return false;
        }
        if let Some(holder) = holder.filter(|_| started < Some(record.started_ms)) {
            self.remove(&holder, now);
        }
        let id = Arc::clone(&record.id);
        self.addresses.insert(record.address, id);
        true
    }

    /// Removes an endpoint, which may have run requests until `until`, and its state.
    pub fn remove(&mut self, id: &str, until: Timestamp) {
        if let Some(state) = self.endpoints.remove(id) {
            let record = &state.record;
            self.builds.record(&record.service, &record.build, until);
            self.digests.remove(&state.digest);
            self.former.keep(&state.record, state.availability);
            let address = state.record.address;
            if self
                .addresses
                .get(&address)
                .is_some_and(|holder| **holder == *id)
            {
                self.addresses.remove(&address);
            }
            let service = &state.record.service;
            if let Some(ids) = self.services.get_mut(service) {
                ids.retain(|other| **other != *id);
            }
            if let Some(unobserved) = self.unobserved.get_mut(service) {
                unobserved.remove(id);
            }
        }
    }

    /// Marks an endpoint as no longer listed. It may be used until `until`; an endpoint that had
    /// announced that it leaves is removed at once.
    pub fn mark_unlisted(&mut self, id: &str, until: Timestamp) {
        match self.endpoints.get_mut(id) {
            Some(state) if state.record.leaving => self.remove(id, until),
            Some(state) => {
                state.expires = state.expires.min(until);
                state.mark_changed(&mut self.changed);
            }
            None => {}
        }
    }

    /// Removes the unlisted endpoints whose time has expired, and returns their ids.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let expired = self.endpoints.values().filter(|state| state.expires <= now);
        let ids: Vec<_> = expired.map(|state| Arc::clone(&state.record.id)).collect();
        for id in &ids {
            self.remove(id, now);
        }
        ids
    }

    /// Returns the builds that were listed in the recent past.
    #[must_use]
    pub const fn builds(&self) -> &BuildHistory {
        &self.builds
    }

    /// Returns the ids of all endpoints.
    #[must_use]
    pub fn ids(&self) -> Vec<EndpointId> {
        self.endpoints.keys().cloned().collect()
    }

    /// Assigns `revision` of the store to the changes that have none yet.
    pub fn set_revision(&mut self, revision: StoreRevision) {
        for id in std::mem::take(&mut self.changed) {
            if let Some(state) = self.endpoints.get_mut(&id) {
                state.revision = revision;
            }
        }
    }

    /// Returns the digests of all endpoint ids.
    #[must_use]
    pub fn digests(&self) -> Vec<u64> {
        self.endpoints.values().map(|state| state.digest).collect()
    }

    /// Returns the records that changed after `revision`. For an unlisted endpoint, the
    /// milliseconds for which it may still be used are added.
    #[must_use]
    pub fn records_since(
        &self,
        revision: StoreRevision,
        now: Timestamp,
    ) -> Vec<(EndpointRecord, Option<u32>)> {
        let current = |state: &EndpointState| {
            let remaining = whole_millis(state.expires.since(now));
            let record = EndpointRecord {
                cold: state.cold_until.since(now),
                ..state.record.clone()
            };
            (record, state.is_unlisted().then_some(remaining))
        };
        let newer = |state: &&EndpointState| state.revision > revision;
        self.endpoints.values().filter(newer).map(current).collect()
    }

    /// Returns the milliseconds in which an endpoint reads a token of a prompt. An entry that has seldom
    /// sent to the endpoint takes it to read as much slower than the average of its service as it
    /// writes.
    #[must_use]
    pub fn token_ms(&self, state: &EndpointState) -> f64 {
        let baseline = self.baselines.get(&state.record.service);
        let prior = baseline.map(|baseline| baseline.latency(&state.event_interval).slope());
        state.latency.slope().max(prior.unwrap_or_default())
    }

    /// Returns the state of an endpoint.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns the mutable state of an endpoint.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Returns the state of an endpoint's incarnation.
    pub(super) fn incarnation(&self, incarnation: Incarnation) -> Option<&EndpointState> {
        let state = self.endpoints.get(self.digests.get(&incarnation.0)?)?;
        (state.incarnation() == incarnation).then_some(state)
    }

    /// Returns the mutable state of an endpoint's incarnation.
    pub(super) fn incarnation_mut(
        &mut self,
        incarnation: Incarnation,
    ) -> Option<&mut EndpointState> {
        let state = self.endpoints.get_mut(self.digests.get(&incarnation.0)?)?;
        (state.incarnation() == incarnation).then_some(state)
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &EndpointState> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.endpoints.get(id))
    }

    /// Returns the load that was last reported of a source.
    #[must_use]
    pub fn reported(&self, source: &Source) -> &[EndpointLoad] {
        self.reports.get(source).map_or(&[], Vec::as_slice)
    }

    /// Replaces the load that was reported of a source. An empty report removes it.
    pub fn apply_report(&mut self, source: Source, loads: Vec<EndpointLoad>) {
        let before = self.reports.remove(&source).unwrap_or_default();
        for load in &before {
            if let Some(state) = self.by_digest(load.endpoint) {
                state.peers.running = state.peers.running.saturating_sub(load.running.into());
                state.peers.pending = state.peers.pending.saturating_sub(load.pending.into());
                state.peers.held = state.peers.held.saturating_sub(load.held.into());
            }
        }
        for load in &loads {
            let Some(id) = self.digests.get(&load.endpoint) else {
                continue;
            };
            let Some(state) = self.endpoints.get_mut(id) else {
                continue;
            };
            state.peers.running += u32::from(load.running);
            state.peers.pending += u64::from(load.pending);
            state.peers.held += u64::from(load.held);
            let service = &state.record.service;
            let unobserved = self.unobserved.get(service);
            if state.event_interval.accept_reported(load.event_interval)
                && unobserved.is_some_and(|unobserved| unobserved.contains(id))
                && let Some(baseline) = self.baselines.get(service)
            {
                state.latency = baseline.latency(&state.event_interval);
            }
        }
        if !loads.is_empty() {
            self.reports.insert(source, loads);
        }
    }

    fn by_digest(&mut self, digest: u64) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(self.digests.get(&digest)?)
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the number of requests that this entry runs at all endpoints.
    #[must_use]
    pub fn running(&self) -> usize {
        let running = self
            .endpoints
            .values()
            .map(|state| state.own.running as usize);
        running.sum()
    }

    /// Returns this entry's load at each endpoint, for its report.
    #[must_use]
    pub fn loads(&self) -> Vec<EndpointLoad> {
        let busy = self
            .endpoints
            .values()
            .filter(|state| state.own.running > 0);
        let load = |state: &EndpointState| EndpointLoad {
            endpoint: state.digest,
            running: u16::try_from(state.own.running).unwrap_or(u16::MAX),
            pending: u32::try_from(state.own.pending).unwrap_or(u32::MAX),
            event_interval: state.event_interval.reported(),
            held: u32::try_from(state.own.held).unwrap_or(u32::MAX),
        };
        busy.map(load).collect()
    }

    /// Marks an endpoint as cold for `span`.
    pub fn mark_cold(&mut self, id: &str, span: Duration, now: Timestamp) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.cold_until = state.cold_until.max(now + span);
        }
    }
}
