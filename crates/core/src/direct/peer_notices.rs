//! What endpoints have said of themselves to other entries.
//!
//! A peer's word neither removes an endpoint nor forbids its use: it is a cost in the choice of an
//! endpoint. An entry that uses the endpoint all the same learns the truth from its answer.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::report::{EndpointNotice, Incarnation};
use super::request_limit::{LimitStatement, RequestLimit};
use super::source::{Scope, Source};
use crate::time::{Timestamp, whole_millis};

/// Most notices in one report.
const REPORTED_LIMIT: usize = 256;

/// Cost of an endpoint that has said to a peer that it leaves, in milliseconds.
const LEAVING_MS: f64 = 400.0;

/// Cost of an endpoint that has asked a peer for a pause, in milliseconds.
const PAUSED_MS: f64 = 120.0;

/// What an endpoint has said to a peer.
#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    leaving: bool,
    paused_until: Timestamp,
    /// The limit, or its end, and when it was stated.
    limit: Option<(Timestamp, Option<RequestLimit>)>,
}

impl Heard {
    fn new(notice: &EndpointNotice, now: Timestamp) -> Self {
        Self {
            leaving: notice.leaving,
            paused_until: now + Duration::from_millis(notice.pause.into()),
            limit: notice.limit.map(|said| (said.stated(now), said.limit)),
        }
    }

    fn merge(&mut self, other: &Self) {
        self.leaving |= other.leaving;
        self.paused_until = self.paused_until.max(other.paused_until);
        self.limit = self.limit.max(other.limit);
    }

    fn limit_statement(&self, now: Timestamp) -> Option<LimitStatement> {
        let (stated, limit) = self.limit?;
        Some(LimitStatement {
            limit,
            age: whole_millis(now.since(stated)),
        })
    }
}

/// The notices of all sources. A newer report replaces the notices of its source.
#[derive(Debug, Default)]
pub(super) struct PeerNotices {
    sources: HashMap<Source, Vec<(Incarnation, Heard)>>,
    merged: HashMap<Incarnation, Heard>,
}

impl PeerNotices {
    /// Replaces the notices of a source.
    pub(super) fn apply_report(
        &mut self,
        source: Source,
        notices: &[EndpointNotice],
        now: Timestamp,
    ) {
        let before = self.sources.remove(&source);
        if before.is_none() && notices.is_empty() {
            return;
        }
        if !notices.is_empty() {
            let notices = notices.iter().take(REPORTED_LIMIT);
            let heard = notices.map(|notice| (notice.incarnation(), Heard::new(notice, now)));
            self.sources.insert(source, heard.collect());
        }
        self.merged.clear();
        for (incarnation, heard) in self.sources.values().flatten() {
            self.merged.entry(*incarnation).or_default().merge(heard);
        }
    }

    /// Returns the notices for a report of the given scope: `own`, and those that were reported by
    /// the entries of the scope other than `recipient`.
    pub(super) fn reported(
        &self,
        own: &[EndpointNotice],
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Vec<EndpointNotice> {
        let own = own
            .iter()
            .map(|notice| (notice.incarnation(), Heard::new(notice, now)));
        let mut merged: BTreeMap<Incarnation, Heard> = own.collect();
        for (source, notices) in &self.sources {
            if source.is_within(scope) && Some(*source) != recipient {
                for (incarnation, heard) in notices {
                    merged.entry(*incarnation).or_default().merge(heard);
                }
            }
        }
        let notice = |((endpoint, started_ms), heard): (Incarnation, Heard)| EndpointNotice {
            endpoint,
            started_ms,
            leaving: heard.leaving,
            pause: whole_millis(heard.paused_until.since(now)),
            limit: heard.limit_statement(now),
        };
        let current = merged
            .into_iter()
            .map(notice)
            .filter(|notice| !notice.is_empty());
        current.take(REPORTED_LIMIT).collect()
    }

    /// Returns the cost of an endpoint's incarnation, in milliseconds.
    pub(super) fn cost(&self, endpoint: u64, started_ms: u64, now: Timestamp) -> f64 {
        match self.merged.get(&(endpoint, started_ms)) {
            Some(heard) if heard.leaving => LEAVING_MS,
            Some(heard) if now < heard.paused_until => PAUSED_MS,
            Some(_) | None => 0.0,
        }
    }
}

impl EndpointNotice {
    const fn incarnation(&self) -> Incarnation {
        (self.endpoint, self.started_ms)
    }
}
