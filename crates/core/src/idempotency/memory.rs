//! The record of idempotency keys that an owner keeps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::{CallKey, is_owner_bound, pick_owner};
use crate::agent::RunEnd;
use crate::fleet::{Fleet, Service};
use crate::id::RequestId;
use crate::name::{EndpointName, RouteName};
use crate::time::Timestamp;

/// Time for which a key is remembered after its call ended.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of remembered keys. The oldest is dropped first.
const RECORD_LIMIT: usize = 65_536;

/// Reason why a call with a key may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyUse {
    /// A call with the key is running.
    Running,
    /// A call with the key ran to completion.
    Complete,
    /// A call with the key may have run, partly or completely.
    Unknown,
    /// Another endpoint owns the key.
    Elsewhere,
}

#[derive(Debug)]
struct Record {
    request: RequestId,
    state: KeyUse,
    since: Timestamp,
}

/// The keys for which one agent process has run calls, bounded in number and age.
#[derive(Debug, Default)]
pub struct KeyMemory {
    records: HashMap<CallKey, Record>,
    order: VecDeque<(Timestamp, CallKey)>,
    /// Start of the record. Keys used before this time are unknown.
    start: Timestamp,
    candidates: Candidates,
    /// Earlier candidates, with the time at which each set was replaced.
    earlier: VecDeque<(Timestamp, Candidates)>,
}

/// Endpoints among which the owner of each key is picked, by route.
type Candidates = BTreeMap<RouteName, Vec<EndpointName>>;

impl KeyMemory {
    /// Applies the fleet that comes into force. The record starts with the first one.
    pub fn configure(&mut self, fleet: &Fleet, now: Timestamp) {
        let candidates = candidates(fleet);
        if self.candidates.is_empty() {
            self.start = now;
        } else if candidates != self.candidates {
            let earlier = std::mem::take(&mut self.candidates);
            self.earlier.push_back((now, earlier));
        }
        self.candidates = candidates;
        while let Some((until, _)) = self.earlier.front()
            && now.since(*until) >= RETENTION * 2
        {
            self.earlier.pop_front();
        }
    }

    /// Checks whether the endpoint `own` may run a request with a key.
    ///
    /// # Errors
    /// Returns the reason why it may not.
    pub fn check(
        &self,
        own: &EndpointName,
        fleet: &Fleet,
        route: &RouteName,
        key: CallKey,
        now: Timestamp,
    ) -> Result<(), KeyUse> {
        if let Some(record) = self.records.get(&key) {
            return Err(record.state);
        }
        let is_owner = |candidates: &Candidates| {
            let names = candidates.get(route).into_iter().flatten();
            pick_owner(names, key) == Some(own)
        };
        if !is_owner(&self.candidates) {
            return Err(KeyUse::Elsewhere);
        }
        // An earlier owner may run calls until it receives the change, which is assumed to take at
        // most one window. Each of these calls may be resent for one more window.
        let uncertain = resend_window(fleet.routes.get(route).map(|route| &route.service)) * 2;
        let recent = |since: Timestamp| now.since(since) < uncertain;
        let earlier = self.earlier.iter().filter(|(until, _)| recent(*until));
        let moved = earlier
            .into_iter()
            .any(|(_, candidates)| !is_owner(candidates));
        if moved || recent(self.start) {
            return Err(KeyUse::Unknown);
        }
        Ok(())
    }

    /// Records that a request with a key has started to run.
    pub fn record_start(&mut self, key: CallKey, request: RequestId, now: Timestamp) {
        let record = Record {
            request,
            state: KeyUse::Running,
            since: now,
        };
        self.records.insert(key, record);
        self.order.push_back((now, key));
        self.drop_old(now);
    }

    /// Records the end of a request with a key. A request that was not run frees its key.
    pub fn record_end(&mut self, key: CallKey, request: RequestId, end: RunEnd, now: Timestamp) {
        let record = self.records.get_mut(&key);
        let Some(record) = record.filter(|record| record.request == request) else {
            return;
        };
        record.since = now;
        record.state = match end {
            RunEnd::Whole { .. } => KeyUse::Complete,
            RunEnd::Cancelled | RunEnd::Broken => KeyUse::Unknown,
            RunEnd::NotRun(_) => {
                self.records.remove(&key);
                return;
            }
        };
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops old keys. When a key is dropped early because the record is full, every key of its
    /// time becomes unknown.
    fn drop_old(&mut self, now: Timestamp) {
        while let Some(&(_, key)) = self.order.front() {
            let Some(record) = self.records.get(&key) else {
                self.order.pop_front();
                continue;
            };
            let (state, since) = (record.state, record.since);
            let old = state != KeyUse::Running && now.since(since) >= RETENTION;
            if !old && self.order.len() <= RECORD_LIMIT {
                return;
            }
            self.order.pop_front();
            if state == KeyUse::Running {
                self.order.push_back((now, key));
                return;
            }
            self.records.remove(&key);
            if !old {
                self.start = self.start.max(since);
            }
        }
    }
}

fn candidates(fleet: &Fleet) -> Candidates {
    let bound = fleet
        .routes
        .keys()
        .filter(|route| is_owner_bound(fleet, route));
    let candidates = bound.map(|route| {
        let names = fleet.eligible(route).map(|endpoint| endpoint.name.clone());
        (route.clone(), names.collect())
    });
    candidates.collect()
}

/// Returns the time within which callers may resend a call to a service.
fn resend_window(service: Option<&Service>) -> Duration {
    match service {
        Some(Service::Plain { window, .. }) => *window,
        Some(Service::Model(_)) | None => Duration::ZERO,
    }
}
