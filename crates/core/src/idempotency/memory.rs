//! What a home remembers of keys.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::{CallKey, is_homed, pick};
use crate::agent::RunEnd;
use crate::fleet::{Fleet, Service};
use crate::id::RequestId;
use crate::name::{EndpointName, RouteName};
use crate::time::Timestamp;

/// How long a key is remembered after its call ended.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Keys remembered at most; the oldest is forgotten first.
const RECORDS_LIMIT: usize = 65_536;

/// Why a call with a key may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyUse {
    /// A call with the key is running.
    Running,
    /// A call with the key ran to its end.
    Complete,
    /// A call with the key may have run, in part or whole.
    Unknown,
    /// Another endpoint is the key's home.
    Elsewhere,
}

#[derive(Debug)]
struct Record {
    request: RequestId,
    state: KeyUse,
    since: Timestamp,
}

/// The keys that one agent process has run calls for, bounded in number and age.
#[derive(Debug, Default)]
pub struct KeyMemory {
    records: HashMap<CallKey, Record>,
    order: VecDeque<(Timestamp, CallKey)>,
    /// Nothing is known of keys before this time.
    start: Timestamp,
    homes: Homes,
    /// What the homes were chosen from before, and until when.
    earlier: VecDeque<(Timestamp, Homes)>,
}

/// Endpoints from which the home of each key is chosen, by route.
type Homes = BTreeMap<RouteName, Vec<EndpointName>>;

impl KeyMemory {
    /// Takes the fleet that comes in force. The memory starts with the first one.
    pub fn configure(&mut self, fleet: &Fleet, now: Timestamp) {
        let homes = homes(fleet);
        if self.homes.is_empty() {
            self.start = now;
        } else if homes != self.homes {
            let earlier = std::mem::take(&mut self.homes);
            self.earlier.push_back((now, earlier));
        }
        self.homes = homes;
        while let Some((until, _)) = self.earlier.front()
            && now.since(*until) >= RETENTION * 2
        {
            self.earlier.pop_front();
        }
    }

    /// Whether the endpoint `own` may run a request with a key.
    ///
    /// # Errors
    /// Returns why it may not.
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
        let is_home = |homes: &Homes| {
            let names = homes.get(route).into_iter().flatten();
            pick(names, key) == Some(own)
        };
        if !is_home(&self.homes) {
            return Err(KeyUse::Elsewhere);
        }
        // An earlier home may run calls until it learns of the change, which is taken to be one
        // window at most, and each of them may be sent again for one window more.
        let blind = window(fleet.routes.get(route).map(|route| &route.service)) * 2;
        let recent = |since: Timestamp| now.since(since) < blind;
        let earlier = self.earlier.iter().filter(|(until, _)| recent(*until));
        let moved = earlier.into_iter().any(|(_, homes)| !is_home(homes));
        if moved || recent(self.start) {
            return Err(KeyUse::Unknown);
        }
        Ok(())
    }

    /// A request with a key begins to run.
    pub fn begin(&mut self, key: CallKey, request: RequestId, now: Timestamp) {
        let record = Record {
            request,
            state: KeyUse::Running,
            since: now,
        };
        self.records.insert(key, record);
        self.order.push_back((now, key));
        self.forget(now);
    }

    /// A request with a key ended.
    pub fn end(&mut self, key: CallKey, request: RequestId, end: RunEnd, now: Timestamp) {
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

    /// Number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets old keys. One that is forgotten early, for want of room, makes every key of its
    /// time unknown.
    fn forget(&mut self, now: Timestamp) {
        while let Some(&(_, key)) = self.order.front() {
            let Some(record) = self.records.get(&key) else {
                self.order.pop_front();
                continue;
            };
            let (state, since) = (record.state, record.since);
            let old = state != KeyUse::Running && now.since(since) >= RETENTION;
            if !old && self.order.len() <= RECORDS_LIMIT {
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

fn homes(fleet: &Fleet) -> Homes {
    let homed = fleet.routes.keys().filter(|route| is_homed(fleet, route));
    let homes = homed.map(|route| {
        let names = fleet.eligible(route).map(|endpoint| endpoint.name.clone());
        (route.clone(), names.collect())
    });
    homes.collect()
}

/// Time in which callers may send a call of a service again.
fn window(service: Option<&Service>) -> Duration {
    match service {
        Some(Service::Plain { window, .. }) => *window,
        Some(Service::Model(_)) | None => Duration::ZERO,
    }
}
