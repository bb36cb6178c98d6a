//! Requests that are suspected of crashing endpoints.
//!
//! Requests are identified by team, path and body. A request whose endpoint breaks off before it
//! answers is suspected of having crashed it. After several crashes, counted over all entries, it is
//! refused for a time, so that a caller's own resends do not crash every endpoint.
//!
//! A crash ends an incarnation. Several breaks of one incarnation are therefore one crash at most,
//! and none if the endpoint answers a request that was sent right after the break: it may break off
//! for other reasons, and equal requests of many callers must not be refused for that. A request that
//! has run to its end crashes no endpoint by itself.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::report::{CrashReport, Scope, Source};
use crate::request::BodyDigest;
use crate::time::Timestamp;

/// Crashes over all entries after which a request is refused.
const CRASH_LIMIT: usize = 3;

/// Time for which a crash is counted.
const RETENTION: Duration = Duration::from_secs(60);

/// Time for which a crash, or that there was none, is reported to peers.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Time after a break in which an answer proves that the endpoint has not crashed. Later ones may come
/// from its next incarnation.
const PROOF_TIME: Duration = Duration::from_secs(1);

/// Number of remembered requests at which those with expired crashes are removed.
const SUSPECT_LIMIT: usize = 4_096;

/// Maximum number of requests in one report.
const REPORTED_LIMIT: usize = 64;

/// Maximum number of crashes of one request in a report. More change nothing.
const REPORTED_CRASHES: usize = 2 * CRASH_LIMIT;

/// Breaks of one request that this entry has seen.
#[derive(Debug)]
struct OwnBreaks {
    /// Time of the last break by incarnation of the endpoint.
    incarnations: HashMap<u64, Timestamp>,
    /// When a break was recorded or withdrawn.
    changed: Timestamp,
    /// Whether the request has run to its end since.
    completed: bool,
}

/// Breaks of one request that were reported of a source.
#[derive(Debug)]
struct ReportedBreaks {
    incarnations: Vec<u64>,
    reported: Timestamp,
    /// Whether the request has run to its end since earlier breaks.
    completed: bool,
}

impl ReportedBreaks {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now < self.reported + REPORT_TIME
    }
}

/// Crashes by request.
#[derive(Debug, Default)]
pub struct Suspects {
    own: HashMap<BodyDigest, OwnBreaks>,
    /// Time of the last break of each incarnation, for [`PROOF_TIME`].
    recent: HashMap<u64, Timestamp>,
    peers: HashMap<(BodyDigest, Source), ReportedBreaks>,
}

impl Suspects {
    /// Records that an endpoint closed the connection before it answered a request. `incarnation`
    /// identifies the endpoint's incarnation. Returns the request's crashes over all entries.
    pub fn record_break(&mut self, request: BodyDigest, incarnation: u64, now: Timestamp) -> usize {
        self.observe_break(incarnation, now);
        if self.own.len() >= SUSPECT_LIMIT {
            self.own
                .retain(|_, breaks| now < breaks.changed + RETENTION);
        }
        let breaks = self.own.entry(request).or_insert_with(|| OwnBreaks {
            incarnations: HashMap::new(),
            changed: now,
            completed: false,
        });
        breaks.incarnations.retain(|_, at| now < *at + RETENTION);
        breaks.incarnations.insert(incarnation, now);
        (breaks.changed, breaks.completed) = (now, false);
        self.crashes(request, now)
    }

    /// Records that an endpoint's incarnation broke off, whatever it ran. Returns whether it had not
    /// done so a moment ago.
    pub fn observe_break(&mut self, incarnation: u64, now: Timestamp) -> bool {
        self.recent.retain(|_, at| now < *at + PROOF_TIME);
        self.recent.insert(incarnation, now).is_none()
    }

    /// Records that an endpoint's incarnation answers a request, or accepts a connection, that was
    /// sent or opened at `sent`. It has not crashed at a break shortly before that. Returns whether
    /// there was such a break.
    pub fn record_answer(&mut self, incarnation: u64, sent: Timestamp, now: Timestamp) -> bool {
        let is_proof = |at: &Timestamp| *at <= sent && sent < *at + PROOF_TIME;
        if !self.recent.get(&incarnation).is_some_and(is_proof) {
            return false;
        }
        for breaks in self.own.values_mut() {
            if breaks.incarnations.get(&incarnation).is_some_and(is_proof) {
                breaks.incarnations.remove(&incarnation);
                breaks.changed = now;
            }
        }
        true
    }

    /// Applies the crashes that were reported of a source.
    pub fn apply_report(&mut self, source: Source, reported: &[CrashReport], now: Timestamp) {
        if self.peers.len() >= SUSPECT_LIMIT {
            self.peers
                .retain(|_, breaks| now < breaks.reported + RETENTION);
        }
        for report in reported {
            let key = (report.request, source);
            let before = self.peers.get(&key).filter(|breaks| breaks.is_fresh(now));
            // Further reports of the same completion do not clear what has happened since.
            if report.completed && !before.is_some_and(|breaks| breaks.completed) {
                self.forget_request(report.request);
            }
            let breaks = ReportedBreaks {
                incarnations: report.incarnations.clone(),
                reported: now,
                completed: report.completed,
            };
            self.peers.insert(key, breaks);
        }
    }

    /// Returns the crashes for a report of the given scope, without those of `recipient`.
    #[must_use]
    pub fn reported(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Vec<CrashReport> {
        let mut crashes: HashMap<BodyDigest, (BTreeSet<u64>, bool)> = HashMap::new();
        for (request, breaks) in &self.own {
            if now < breaks.changed + REPORT_TIME {
                let (incarnations, completed) = crashes.entry(*request).or_default();
                incarnations.extend(breaks.incarnations.keys());
                *completed |= breaks.completed;
            }
        }
        for ((request, source), breaks) in &self.peers {
            if breaks.is_fresh(now) && source.is_within(scope) && Some(*source) != recipient {
                let (incarnations, completed) = crashes.entry(*request).or_default();
                incarnations.extend(&breaks.incarnations);
                *completed |= breaks.completed;
            }
        }
        let reports = crashes
            .into_iter()
            .map(|(request, (incarnations, completed))| CrashReport {
                request,
                incarnations: incarnations.into_iter().take(REPORTED_CRASHES).collect(),
                completed,
            });
        reports.take(REPORTED_LIMIT).collect()
    }

    /// Forgets the crashes of a source that reports no longer.
    pub fn forget(&mut self, source: Source) {
        self.peers.retain(|(_, other), _| *other != source);
    }

    /// Clears the crashes of a request that ran to its end, at all entries.
    pub fn clear(&mut self, request: BodyDigest, now: Timestamp) {
        if self.crashes(request, now) > 0 {
            self.forget_request(request);
            let cleared = OwnBreaks {
                incarnations: HashMap::new(),
                changed: now,
                completed: true,
            };
            self.own.insert(request, cleared);
        }
    }

    fn forget_request(&mut self, request: BodyDigest) {
        self.own.remove(&request);
        self.peers.retain(|(other, _), _| *other != request);
    }

    /// Returns the number of incarnations that a request may have crashed.
    fn crashes(&self, request: BodyDigest, now: Timestamp) -> usize {
        let mut crashed: BTreeSet<u64> = BTreeSet::new();
        if let Some(breaks) = self.own.get(&request) {
            let live = breaks.incarnations.iter();
            let live = live.filter(|(_, at)| now < **at + RETENTION);
            crashed.extend(live.map(|(incarnation, _)| incarnation));
        }
        for ((other, _), breaks) in &self.peers {
            if *other == request && now < breaks.reported + RETENTION {
                crashed.extend(&breaks.incarnations);
            }
        }
        crashed.len()
    }

    /// Returns whether a request is refused.
    #[must_use]
    pub fn is_refused(&self, request: BodyDigest, now: Timestamp) -> bool {
        self.crashes(request, now) >= CRASH_LIMIT
    }
}
