//! Sums of the loads that several entries reported.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use super::report::{EndpointLoad, ServiceLoad};

/// Endpoints in one report at most, so that it fits into a datagram.
const ENDPOINTS_LIMIT: usize = 2_000;

/// Sum of loads by endpoint and by service.
#[derive(Debug, Default)]
pub(super) struct LoadSum {
    endpoints: HashMap<u64, EndpointLoad>,
    services: BTreeMap<u64, ServiceLoad>,
}

impl LoadSum {
    /// Adds the load of one or several entries. Of several event intervals for one endpoint, the
    /// one from the larger load stays, since it was observed in more answers.
    pub(super) fn add(&mut self, endpoints: &[EndpointLoad], services: &[ServiceLoad]) {
        for load in endpoints {
            let sum = self.endpoints.entry(load.endpoint).or_insert(EndpointLoad {
                endpoint: load.endpoint,
                ..EndpointLoad::default()
            });
            if load.event_interval > 0 && (sum.event_interval == 0 || load.running > sum.running) {
                sum.event_interval = load.event_interval;
            }
            sum.running = sum.running.saturating_add(load.running);
            sum.pending = sum.pending.saturating_add(load.pending);
            sum.held = sum.held.saturating_add(load.held);
        }
        for load in services {
            let sum = self.services.entry(load.service).or_insert(ServiceLoad {
                service: load.service,
                ..ServiceLoad::default()
            });
            sum.running = sum.running.saturating_add(load.running);
            sum.waiting = sum.waiting.saturating_add(load.waiting);
            sum.urgent = sum.urgent.saturating_add(load.urgent);
        }
    }

    /// Returns the loads by endpoint, less a part of the sum. Of very many endpoints, those with the
    /// largest loads are returned.
    pub(super) fn endpoints_without(&self, part: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let mut rest = self.endpoints.clone();
        for load in part {
            if let Some(sum) = rest.get_mut(&load.endpoint) {
                sum.running = sum.running.saturating_sub(load.running);
                sum.pending = sum.pending.saturating_sub(load.pending);
                sum.held = sum.held.saturating_sub(load.held);
            }
        }
        let is_known = |load: &EndpointLoad| load.running > 0 || load.event_interval > 0;
        let mut loads: Vec<_> = rest.into_values().filter(is_known).collect();
        if loads.len() > ENDPOINTS_LIMIT {
            loads.sort_unstable_by_key(|load| Reverse(load.running));
            loads.truncate(ENDPOINTS_LIMIT);
        }
        loads
    }

    /// Returns the loads by service, less a part of the sum.
    pub(super) fn services_without(&self, part: &[ServiceLoad]) -> Vec<ServiceLoad> {
        let mut rest = self.services.clone();
        for load in part {
            if let Some(sum) = rest.get_mut(&load.service) {
                sum.running = sum.running.saturating_sub(load.running);
                sum.waiting = sum.waiting.saturating_sub(load.waiting);
                sum.urgent = sum.urgent.saturating_sub(load.urgent);
            }
        }
        let is_busy = |load: &ServiceLoad| load.running > 0 || load.waiting > 0;
        rest.into_values().filter(is_busy).collect()
    }
}
