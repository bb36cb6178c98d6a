//! Snapshots that an entry fetches from a peer that knows a newer revision of the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Scheduler;
use crate::direct::departures::DepartedEndpoint;
use crate::direct::digest::digest;
use crate::direct::plan::{EndpointRecord, Plan};
use crate::direct::store_progress::Section;
use crate::direct::store_revision::StoreRevision;
use crate::time::{Timestamp, whole_millis};

/// The state of the store that an entry sends to a peer which knows less of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, if it is newer than the one that the requesting peer holds.
    pub plan: Option<Plan>,
    /// The endpoints that changed since the requesting peer's revision. For an unlisted endpoint,
    /// the milliseconds for which it may still be used.
    pub endpoints: Vec<(EndpointRecord, Option<u32>)>,
    /// Digests of the ids of all endpoints; any other endpoint has been removed.
    pub known: Vec<u64>,
    /// The endpoints that left before the store was restored, if the requesting peer's revision is of
    /// an earlier era.
    pub departed: Vec<DepartedEndpoint>,
    /// The data centres that the store shows as closed.
    pub closed: Vec<Arc<str>>,
    /// Data centres that were closed before the store was restored, and the milliseconds for which
    /// they stay closed.
    pub kept: Vec<(Arc<str>, u32)>,
    /// The store's revision of the newest known change, by section.
    pub revisions: [StoreRevision; 2],
    /// Version of the configuration in force.
    pub version: u64,
    /// Milliseconds since that version was last confirmed, if it ever was.
    pub age: Option<u32>,
    /// Version of the configuration that the store has shown since it was last restored.
    pub shown: u64,
}

impl Scheduler {
    /// Returns the snapshot for a peer that holds the configuration `version` and knows the
    /// endpoints up to `revision` of the store.
    #[must_use]
    pub fn snapshot(&self, version: u64, revision: StoreRevision, now: Timestamp) -> Snapshot {
        let newest = self.store_progress.revision(Section::Endpoints);
        let (since, departed) = if revision.era < newest.era {
            (StoreRevision::default(), self.departed_before_era(now))
        } else {
            (revision, Vec::new())
        };
        Snapshot {
            plan: (self.plan.version > version).then(|| Plan::clone(&self.plan)),
            endpoints: self.endpoints.records_since(since, now),
            known: self.endpoints.digests(),
            departed,
            closed: self.listed_closed(),
            kept: self.kept_closed(now),
            revisions: Section::ALL.map(|section| self.store_progress.revision(section)),
            version: self.confirmation.version(),
            age: self.confirmation.age(now).map(whole_millis),
            shown: self.restoration.shown(),
        }
    }

    /// Applies what is newer in a peer's snapshot, which this entry requested at `requested`. Returns
    /// whether the configuration was replaced.
    pub fn apply_snapshot(
        &mut self,
        snapshot: Snapshot,
        requested: Timestamp,
        now: Timestamp,
    ) -> bool {
        let [configuration, endpoints] = snapshot.revisions;
        let newest = configuration.max(endpoints);
        if !newest.is_unknown() {
            self.observe_era(newest.era, requested);
        }
        let is_newer = self
            .store_progress
            .adopt(Section::Configuration, configuration);
        if is_newer && configuration.era == self.restoration.era() {
            self.record_shown(snapshot.shown);
        }
        let mut configured = false;
        if let Some(plan) = snapshot.plan {
            configured = self.configure(Arc::new(plan), now);
        }
        if let Some(age) = snapshot.age {
            let age = Duration::from_millis(age.into());
            self.confirmation
                .confirm_by_peer(snapshot.version, age, requested);
        }
        if is_newer {
            self.set_closed_centres(snapshot.closed.into_iter().collect(), now);
            self.keep_closed(snapshot.kept, now);
        }
        let known = self.store_progress.revision(Section::Endpoints);
        let is_needed = self.endpoints.is_empty() && endpoints.era >= known.era;
        if self.store_progress.adopt(Section::Endpoints, endpoints) || is_needed {
            self.apply_departed(snapshot.departed, now);
            self.replace_endpoints(snapshot.endpoints, &snapshot.known, requested, now);
            self.endpoints.set_revision(endpoints);
        }
        configured
    }

    fn replace_endpoints(
        &mut self,
        endpoints: Vec<(EndpointRecord, Option<u32>)>,
        listed: &[u64],
        requested: Timestamp,
        now: Timestamp,
    ) {
        let listed: BTreeSet<_> = listed.iter().copied().collect();
        let returned = self.restoration.return_time();
        let until = returned.unwrap_or(now).max(now);
        for id in self.listed_endpoints() {
            if !listed.contains(&digest(&id)) {
                self.unlist_endpoint(&id, until, now);
            }
        }
        // A peer of an earlier build may list records that cannot be used.
        let endpoints = endpoints.into_iter();
        for (record, remaining) in endpoints.filter(|(record, _)| record.check().is_ok()) {
            let id = Arc::clone(&record.id);
            self.upsert_endpoint(record, now);
            if let Some(remaining) = remaining {
                // The peer answered after the request, and the answer may have been delayed.
                let until = requested + Duration::from_millis(remaining.into());
                let until = self.reported_unlisted_until(until, now);
                self.endpoints.mark_unlisted(&id, until);
            }
        }
    }
}
