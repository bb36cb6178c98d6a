//! What endpoints have said of themselves to other entries.
//!
//! A peer's word neither removes an endpoint nor forbids its use: it is a cost in the choice of an
//! endpoint. An entry that uses the endpoint all the same learns the truth from its answer.

use std::collections::HashMap;

use super::report::{EndpointNotice, Scope, Source};

/// Most notices in one report.
const REPORTED_LIMIT: usize = 64;

/// Cost of an endpoint that has said to a peer that it leaves, in milliseconds.
const LEAVING_MS: f64 = 400.0;

/// Identifies an incarnation: the digest of the endpoint's id, and its start time.
type Incarnation = (u64, u64);

/// The notices of all sources. A newer report replaces the notices of its source.
#[derive(Debug, Default)]
pub(super) struct PeerNotices {
    sources: HashMap<Source, Vec<EndpointNotice>>,
    /// Whether the endpoint leaves, according to any source.
    leaving: HashMap<Incarnation, bool>,
}

impl PeerNotices {
    /// Replaces the notices of a source.
    pub(super) fn apply_report(&mut self, source: Source, mut notices: Vec<EndpointNotice>) {
        notices.truncate(REPORTED_LIMIT);
        let before = if notices.is_empty() {
            self.sources.remove(&source)
        } else {
            self.sources.insert(source, notices)
        };
        if before.is_some() || self.sources.contains_key(&source) {
            self.merge();
        }
    }

    fn merge(&mut self) {
        self.leaving.clear();
        for notice in self.sources.values().flatten() {
            let incarnation = (notice.endpoint, notice.started_ms);
            *self.leaving.entry(incarnation).or_default() |= notice.leaving;
        }
    }

    /// Returns the notices for a report of the given scope: `own`, and those that were reported by
    /// the entries of the scope other than `recipient`.
    pub(super) fn reported(
        &self,
        own: Vec<EndpointNotice>,
        scope: Scope,
        recipient: Option<Source>,
    ) -> Vec<EndpointNotice> {
        let mut reported = own;
        for (source, notices) in &self.sources {
            if source.is_within(scope) && Some(*source) != recipient {
                reported.extend_from_slice(notices);
            }
        }
        reported.sort_unstable_by_key(|notice| (notice.endpoint, notice.started_ms));
        reported.dedup();
        reported.truncate(REPORTED_LIMIT);
        reported
    }

    /// Returns the cost of an endpoint's incarnation, in milliseconds.
    pub(super) fn cost(&self, endpoint: u64, started_ms: u64) -> f64 {
        match self.leaving.get(&(endpoint, started_ms)) {
            Some(true) => LEAVING_MS,
            Some(false) | None => 0.0,
        }
    }
}
