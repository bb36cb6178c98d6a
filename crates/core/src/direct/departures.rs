//! Endpoints that have left, and records of them that a restored store shows again.
//!
//! A copy of the store may hold an endpoint as it was before it left. Its record is withheld if it
//! says nothing newer of the same incarnation. A running endpoint whose record was removed by
//! mistake may be shown in the same way, so the record is admitted if it is still listed after a
//! time in which the record of an endpoint that has ended expires.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::plan::{EndpointId, EndpointRecord};
use crate::time::Timestamp;

/// Time for which a departure is remembered. Copies are seconds old.
const MEMORY_TIME: Duration = Duration::from_secs(60);

/// Greatest number of departures that are remembered.
const MEMORY_LIMIT: usize = 2_048;

/// The last record of an endpoint that has left, as one entry tells it another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedEndpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Start time of the incarnation that left.
    pub started_ms: u64,
    /// Sequence of its last record.
    pub sequence: u64,
}

impl DepartedEndpoint {
    /// Creates the departure of the endpoint whose last record is `record`.
    pub(super) fn new(record: &EndpointRecord) -> Self {
        Self {
            id: Arc::clone(&record.id),
            started_ms: record.started_ms,
            sequence: record.sequence,
        }
    }

    /// Returns whether `record` says nothing newer of the endpoint.
    pub(super) fn covers(&self, record: &EndpointRecord) -> bool {
        (record.started_ms, record.sequence) <= (self.started_ms, self.sequence)
    }
}

/// A departure and when it became known.
#[derive(Debug, Clone)]
struct Departure {
    last: DepartedEndpoint,
    /// Era in which the departure became known.
    era: u64,
    at: Timestamp,
}

/// The endpoints that have left, and the withheld records.
#[derive(Debug, Default)]
pub(super) struct Departures {
    departed: BTreeMap<EndpointId, Departure>,
    /// Withheld records and when they are admitted.
    withheld: BTreeMap<EndpointId, (EndpointRecord, Timestamp)>,
}

impl Departures {
    /// Records that an endpoint has left.
    pub(super) fn record(&mut self, last: DepartedEndpoint, era: u64, now: Timestamp) {
        if self.departed.len() >= MEMORY_LIMIT {
            self.departed.retain(|_, left| now < left.at + MEMORY_TIME);
        }
        if self.departed.len() >= MEMORY_LIMIT {
            return;
        }
        let id = Arc::clone(&last.id);
        let departure = Departure { last, era, at: now };
        self.departed.insert(id, departure);
    }

    /// Returns whether `record` says nothing newer than the departure of its endpoint, which became
    /// known before `era`.
    pub(super) fn covers(&self, record: &EndpointRecord, era: u64, now: Timestamp) -> bool {
        self.departed.get(&record.id).is_some_and(|left| {
            left.era < era && now < left.at + MEMORY_TIME && left.last.covers(record)
        })
    }

    /// Returns the endpoints whose departure became known before `era`.
    pub(super) fn known_before(&self, era: u64, now: Timestamp) -> Vec<DepartedEndpoint> {
        let departed = self.departed.values();
        let before = departed.filter(|left| left.era < era && now < left.at + MEMORY_TIME);
        before.map(|left| left.last.clone()).collect()
    }

    /// Withholds a record until `until`.
    pub(super) fn withhold(&mut self, record: EndpointRecord, until: Timestamp) {
        self.withheld
            .insert(Arc::clone(&record.id), (record, until));
    }

    /// Forgets what is withheld of an endpoint that is no longer listed.
    pub(super) fn drop_withheld(&mut self, id: &str) {
        self.withheld.remove(id);
    }

    /// Forgets the departure of an endpoint that has written a newer record.
    pub(super) fn forget(&mut self, id: &str) {
        self.departed.remove(id);
        self.withheld.remove(id);
    }

    /// Returns the ids of the withheld records.
    pub(super) fn withheld(&self) -> Vec<EndpointId> {
        self.withheld.keys().cloned().collect()
    }

    /// Returns the records that are admitted now.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<EndpointRecord> {
        let due = self.withheld.values().filter(|(_, until)| *until <= now);
        let due: Vec<_> = due.map(|(record, _)| record.clone()).collect();
        for record in &due {
            self.forget(&record.id);
        }
        due
    }
}
