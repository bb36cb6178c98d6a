//! What an entry keeps when the platform's store is restored from a copy.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::Scheduler;
use crate::direct::departures::DepartedEndpoint;
use crate::direct::plan::{EndpointId, EndpointRecord};
use crate::direct::restoration::Restoration;
use crate::direct::store_progress::Section;
use crate::time::{Timestamp, whole_millis};

/// Part of an endpoint's drain time in which it is used after the last read that listed it. The rest
/// is for requests on their way.
const UNLISTED_PART: f64 = 0.8;

/// A restoration of the store, and what this entry keeps from before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restored {
    /// The era before.
    pub before: u64,
    /// The new era.
    pub era: u64,
    /// Version of the configuration that stays in force.
    pub version: u64,
    /// Number of endpoints that are kept.
    pub endpoints: usize,
    /// Number of data centres that stay closed.
    pub closed: usize,
}

/// What an entry no longer keeps after a restoration.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Released {
    /// Data centres that were not closed again.
    pub reopened: Vec<Arc<str>>,
    /// Endpoints whose withheld records are still listed.
    pub admitted: Vec<EndpointId>,
}

impl Scheduler {
    /// Returns what this entry knows of the store's newest restoration.
    #[must_use]
    pub const fn restoration(&self) -> &Restoration {
        &self.restoration
    }

    /// Records the era of an answer or of a peer's snapshot.
    pub fn observe_era(&mut self, era: u64, now: Timestamp) {
        let Some(before) = self.restoration.observe(era, now) else {
            return;
        };
        if let Some(until) = self.restoration.operator_time() {
            let closed = self.closed.iter();
            self.kept_closed = closed.map(|centre| (Arc::clone(centre), until)).collect();
        }
        self.restored = Some(Restored {
            before,
            era,
            version: self.plan.version,
            endpoints: self.endpoints.len(),
            closed: self.closed.len(),
        });
    }

    /// Returns a restoration that has not been returned yet.
    pub const fn take_restored(&mut self) -> Option<Restored> {
        self.restored.take()
    }

    /// Records the version of the configuration that the store shows.
    pub const fn record_shown(&mut self, version: u64) {
        self.restoration.record_shown(version);
    }

    /// Records that a read of the store that was sent at `sent` found no newer configuration than
    /// the one in force. That confirms it, unless a restored store may have lost a newer one.
    pub fn confirm_read(&mut self, sent: Timestamp, now: Timestamp) {
        let version = self.plan.version;
        if version == 0 || !self.restoration.confirms(version, sent) {
            return;
        }
        let may_have_lost = self.restoration.era() > 0;
        if may_have_lost && self.is_alone_at_start(Section::Configuration, now) {
            self.unconfirmed_read = Some(sent);
            return;
        }
        self.confirmation.confirm(version, sent);
    }

    /// Lets the read of a starting entry confirm the configuration once a peer has reported.
    pub(super) fn confirm_after_report(&mut self, now: Timestamp) {
        if let Some(sent) = self.unconfirmed_read.take() {
            self.confirm_read(sent, now);
        }
    }

    /// Adds an endpoint or updates its record, unless a restored store shows it as it was before it
    /// left or restarted. Returns false in that case.
    pub fn upsert_endpoint(&mut self, record: EndpointRecord, now: Timestamp) -> bool {
        let era = self.restoration.era();
        let until = self.restoration.operator_time();
        let is_old = self.departures.covers(&record, era, now) || self.is_replaced(&record);
        if let Some(until) = until.filter(|until| is_old && now < *until) {
            self.departures.withhold(record, until);
            return false;
        }
        self.departures.forget(&record.id);
        self.endpoints.upsert(record, now);
        true
    }

    /// Returns whether the record is of an earlier incarnation than one known from an earlier era.
    fn is_replaced(&self, record: &EndpointRecord) -> bool {
        self.endpoints.get(&record.id).is_some_and(|state| {
            record.started_ms < state.record().started_ms
                && state.revision().era < self.restoration.era()
        })
    }

    /// Returns until when an endpoint may be used that is not listed in the answer to a read which was
    /// sent at `read_at`. Its record may have been removed right after the read before, or it may
    /// have expired in an outage of the store.
    #[must_use]
    pub fn unlisted_until(&self, read_at: Timestamp, now: Timestamp) -> Timestamp {
        let listed = self.store_progress.answered(Section::Endpoints);
        let drained = listed.map_or(now, |at| at + self.unlisted_time());
        let returned = self.store_progress.return_time(read_at);
        let restored = self.restoration.return_time();
        drained
            .max(returned.unwrap_or(now))
            .max(restored.unwrap_or(now))
    }

    /// Returns until when an endpoint may be used of which a peer says that it is not listed and may
    /// be used until `until`. A peer that alone had lost the store takes it for an outage. While a
    /// restored store is written again, the peer keeps what it knew.
    pub(super) fn reported_unlisted_until(&self, until: Timestamp, now: Timestamp) -> Timestamp {
        let restored = self.restoration.return_time();
        let is_restoring = restored.is_some_and(|time| now < time);
        let is_steady = self.store_progress.is_steady(now) && !is_restoring;
        let confirmed = self.store_progress.confirmed(Section::Endpoints);
        match confirmed.filter(|_| is_steady) {
            Some(listed) => until.min(listed + self.unlisted_time()),
            None => until,
        }
    }

    /// Returns the time for which an endpoint is used after the last read that listed it.
    fn unlisted_time(&self) -> Duration {
        self.bounds.drain.mul_f64(UNLISTED_PART)
    }

    /// Records that an endpoint is no longer listed. It may be used until `until`.
    pub fn unlist_endpoint(&mut self, id: &EndpointId, until: Timestamp, now: Timestamp) {
        self.departures.drop_withheld(id);
        let Some(state) = self.endpoints.get(id) else {
            return;
        };
        let returns = self.restoration.return_time();
        let may_return = returns.is_some_and(|time| now < time);
        if state.record().leaving || !may_return {
            let era = self.restoration.era();
            let last = DepartedEndpoint::new(state.record());
            self.departures.record(last, era, now);
        }
        self.endpoints.mark_unlisted(id, until);
    }

    /// Returns the endpoints that left before the store was restored, for a peer that may not know of
    /// the restoration yet.
    pub(super) fn departed_before_era(&self, now: Timestamp) -> Vec<DepartedEndpoint> {
        self.departures.known_before(self.restoration.era(), now)
    }

    /// Removes the endpoints of which a peer knows that they left before the store was restored, and
    /// about which nothing newer is known here.
    pub(super) fn apply_departed(&mut self, departed: Vec<DepartedEndpoint>, now: Timestamp) {
        let era = self.restoration.era().saturating_sub(1);
        for last in departed {
            let state = self.endpoints.get(&last.id);
            if state.is_some_and(|state| !last.covers(state.record())) {
                continue;
            }
            self.endpoints.remove(&last.id, now);
            self.departures.record(last, era, now);
        }
    }

    /// Returns the ids of all endpoints that the store lists, also of those that are not used because
    /// a restored store shows them as they were before they left.
    #[must_use]
    pub fn listed_endpoints(&self) -> Vec<EndpointId> {
        let mut ids = self.endpoints.ids();
        ids.extend(self.departures.withheld());
        ids
    }

    /// Returns the data centres that the store shows as closed.
    pub(super) fn listed_closed(&self) -> Vec<Arc<str>> {
        let closed = self.closed.iter();
        let listed = closed.filter(|centre| !self.kept_closed.contains_key(*centre));
        listed.cloned().collect()
    }

    /// Returns the data centres that were closed before the store was restored, and the milliseconds
    /// for which they stay closed.
    pub(super) fn kept_closed(&self, now: Timestamp) -> Vec<(Arc<str>, u32)> {
        let kept = self.kept_closed.iter();
        kept.map(|(centre, until)| (Arc::clone(centre), whole_millis(until.since(now))))
            .collect()
    }

    /// Closes the data centres that a peer keeps closed.
    pub(super) fn keep_closed(&mut self, kept: Vec<(Arc<str>, u32)>, now: Timestamp) {
        for (centre, remaining) in kept {
            if !self.closed.contains(&centre) {
                self.apply_closed(&centre, true, now);
                let until = now + Duration::from_millis(remaining.into());
                self.kept_closed.insert(centre, until);
            }
        }
    }

    /// Closes exactly these data centres, and those that were closed before the store was restored
    /// for as long as the operator needs to write that again.
    pub fn set_closed_centres(&mut self, mut closed: BTreeSet<Arc<str>>, now: Timestamp) {
        self.kept_closed
            .retain(|centre, until| now < *until && !closed.contains(centre));
        closed.extend(self.kept_closed.keys().cloned());
        let current = self.closed.clone();
        for centre in current.difference(&closed) {
            self.apply_closed(centre, false, now);
        }
        for centre in closed.difference(&current) {
            self.apply_closed(centre, true, now);
        }
    }

    /// Ends what was kept for a time after a restoration: reopens data centres whose closing was
    /// not written again, and admits records that are still listed.
    pub fn release_kept(&mut self, now: Timestamp) -> Released {
        let due = self.kept_closed.iter().filter(|(_, until)| **until <= now);
        let reopened: Vec<_> = due.map(|(centre, _)| Arc::clone(centre)).collect();
        for centre in &reopened {
            self.set_centre_closed(centre, false, now);
        }
        let mut admitted = Vec::new();
        for record in self.departures.take_due(now) {
            admitted.push(Arc::clone(&record.id));
            self.endpoints.upsert(record, now);
        }
        Released { reopened, admitted }
    }
}
