//! What one entry takes from another that knows something newer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Scheduler;
use crate::direct::book::digest;
use crate::direct::plan::{Listing, Plan};
use crate::direct::readings::Section;
use crate::time::Timestamp;

/// What an entry knows of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, if it is newer than the one that the asker holds.
    pub plan: Option<Plan>,
    /// The endpoints that changed since the asker's knowledge, with the milliseconds for which one is
    /// still used that is no longer listed.
    pub endpoints: Vec<(Listing, Option<u32>)>,
    /// Digests of all endpoints: others are gone.
    pub known: Vec<u64>,
    /// The data centres that are taken out.
    pub closed: Vec<Arc<str>>,
    /// The store's revision of the newest change known, by section.
    pub revisions: [u64; 2],
}

impl Scheduler {
    /// What a peer may take that holds the configuration `version` and knows the endpoints up to
    /// `revision` of the store.
    #[must_use]
    pub fn snapshot(&self, version: u64, revision: u64, now: Timestamp) -> Snapshot {
        Snapshot {
            plan: (self.plan.version > version).then(|| Plan::clone(&self.plan)),
            endpoints: self.book.listings(revision, now),
            known: self.book.digests(),
            closed: self.closed.iter().cloned().collect(),
            revisions: Section::ALL.map(|section| self.readings.revision(section)),
        }
    }

    /// Takes what is newer in a peer's snapshot. Returns whether the configuration is.
    pub fn take(&mut self, snapshot: Snapshot, now: Timestamp) -> bool {
        let mut configured = false;
        if let Some(plan) = snapshot.plan {
            let version = plan.version;
            configured = self.configure(Arc::new(plan), now);
            if configured {
                self.currency.adopt(version);
            }
        }
        let [configuration, endpoints] = snapshot.revisions;
        if self.readings.adopt(Section::Configuration, configuration) {
            self.close_only(snapshot.closed.into_iter().collect(), now);
        }
        if self.readings.adopt(Section::Endpoints, endpoints) || self.book.is_empty() {
            self.list_only(snapshot.endpoints, &snapshot.known, now);
            self.book.stamp(endpoints);
        }
        configured
    }

    /// Takes out just these data centres.
    pub fn close_only(&mut self, closed: BTreeSet<Arc<str>>, now: Timestamp) {
        let known = self.closed.clone();
        for centre in known.difference(&closed) {
            self.close(centre, false, now);
        }
        for centre in closed.difference(&known) {
            self.close(centre, true, now);
        }
    }

    fn list_only(&mut self, endpoints: Vec<(Listing, Option<u32>)>, known: &[u64], now: Timestamp) {
        let known: BTreeSet<_> = known.iter().copied().collect();
        for id in self.book.ids() {
            if !known.contains(&digest(&id)) {
                self.book.lapse(&id, now);
            }
        }
        for (listing, rest) in endpoints {
            let id = Arc::clone(&listing.id);
            self.book.list(listing, now);
            if let Some(rest) = rest {
                let until = now + Duration::from_millis(rest.into());
                self.book.lapse(&id, until);
            }
        }
    }
}
