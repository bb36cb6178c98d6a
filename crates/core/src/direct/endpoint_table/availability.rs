//! What endpoints say of themselves in their answers: whether they take requests of this entry.
//!
//! An endpoint's own word binds this entry, and belongs to one incarnation: it outlives the
//! endpoint's record, and does not concern another incarnation under the same id.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::{EndpointId, EndpointRecord, EndpointState, EndpointTable};
use crate::direct::report::EndpointNotice;
use crate::direct::request_limit::{
    LIMIT_RETENTION, LimitChange, LimitNotice, RequestLimit, StatedLimit,
};
use crate::time::{Timestamp, whole_millis};

/// Number of removed endpoints whose own word is remembered.
const FORMER_LIMIT: usize = 1_024;

/// Longest pause of an endpoint that an entry keeps.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(24 * 3_600);

/// Time after a pause in which requests return to the endpoint by and by.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// Part of an endpoint's slots that may be filled at once when its pause ends.
const RETURN_START: f64 = 0.25;

/// What one answer of an endpoint says of the endpoint itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the endpoint leaves and takes no new requests.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests of this entry.
    pub pause: Option<Duration>,
    /// Whether the answer states a pause that cannot be read.
    pub malformed: bool,
    /// The requests that the endpoint takes from all entries together.
    pub limit: LimitNotice,
    /// Whether the answer states a limit that cannot be read.
    pub malformed_limit: bool,
}

/// A pause that an endpoint has asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// Length that is kept, at most [`PAUSE_LIMIT`].
    pub span: Duration,
    /// Whether the endpoint asked for a longer one.
    pub bounded: bool,
}

/// What a [`Notice`] changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeEffect {
    /// Whether the endpoint said for the first time that it leaves.
    pub leaves: bool,
    /// The pause that began, or that is longer than the one before.
    pub paused: Option<Pause>,
    /// Whether a pause could not be read, for the first time at this endpoint.
    pub malformed: bool,
    /// How the endpoint's limit changed.
    pub limit: Option<LimitChange>,
    /// Whether a limit could not be read, for the first time at this endpoint.
    pub malformed_limit: bool,
}

/// What an endpoint's incarnation has said of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Availability {
    leaving: bool,
    paused_until: Timestamp,
    /// Time at which requests have returned after the pause.
    return_end: Timestamp,
    malformed: bool,
    limit: StatedLimit,
    malformed_limit: bool,
}

impl Availability {
    /// Returns whether the endpoint has said that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the time until which the endpoint wants no requests; it may have passed.
    #[must_use]
    pub const fn paused_until(&self) -> Timestamp {
        self.paused_until
    }

    /// Returns whether the endpoint takes requests, as far as it has said.
    #[must_use]
    pub fn takes_requests(&self, now: Timestamp) -> bool {
        !self.leaving && self.paused_until <= now
    }

    /// Returns the requests that the endpoint takes from all entries together, if it names a limit.
    #[must_use]
    pub fn limit(&self, now: Timestamp) -> Option<RequestLimit> {
        self.limit.limit(now)
    }

    /// Returns whether the endpoint has said something that matters if it is listed again.
    fn has_spoken(&self) -> bool {
        self.leaving || self.paused_until > Timestamp::ZERO || self.limit.is_named()
    }

    /// Returns the part of its slots that may be filled while requests return after a pause.
    #[must_use]
    pub fn return_part(&self, now: Timestamp) -> Option<f64> {
        if self.return_end <= now {
            return None;
        }
        let whole = self.return_end.since(self.paused_until).as_secs_f64();
        let passed = now.since(self.paused_until).as_secs_f64() / whole;
        Some(RETURN_START + (1.0 - RETURN_START) * passed)
    }

    fn apply(&mut self, notice: &Notice, now: Timestamp) -> NoticeEffect {
        let effect = NoticeEffect {
            leaves: notice.leaving && !self.leaving,
            paused: notice.pause.and_then(|asked| self.pause(asked, now)),
            malformed: notice.malformed && !self.malformed,
            limit: self.limit.apply(notice.limit, now),
            malformed_limit: notice.malformed_limit && !self.malformed_limit,
        };
        self.leaving |= notice.leaving;
        self.malformed |= notice.malformed;
        self.malformed_limit |= notice.malformed_limit;
        effect
    }

    /// Keeps the pause that ends last.
    fn pause(&mut self, asked: Duration, now: Timestamp) -> Option<Pause> {
        let span = asked.min(PAUSE_LIMIT);
        let until = now + span;
        if span.is_zero() || until <= self.paused_until {
            return None;
        }
        self.paused_until = until;
        self.return_end = until + span.min(RETURN_TIME);
        Some(Pause {
            span,
            bounded: span < asked,
        })
    }
}

/// Incarnations that were removed from the table, with what they had said, oldest first. Their
/// records may be listed again.
#[derive(Debug, Default)]
pub(super) struct FormerEndpoints(VecDeque<(EndpointId, u64, Availability)>);

impl FormerEndpoints {
    /// Remembers what a removed endpoint had said.
    pub(super) fn keep(&mut self, record: &EndpointRecord, availability: Availability) {
        if !availability.has_spoken() {
            return;
        }
        if self.0.len() >= FORMER_LIMIT {
            self.0.pop_front();
        }
        self.0
            .push_back((Arc::clone(&record.id), record.started_ms, availability));
    }

    /// Returns what an endpoint had said before it was removed.
    pub(super) fn take(&mut self, record: &EndpointRecord) -> Availability {
        self.position(record)
            .and_then(|position| self.0.remove(position))
            .map_or_else(Availability::default, |(_, _, availability)| availability)
    }

    /// Returns whether a removed endpoint had said that it leaves.
    pub(super) fn has_left(&self, record: &EndpointRecord) -> bool {
        self.get(record).is_some_and(Availability::is_leaving)
    }

    fn get(&self, record: &EndpointRecord) -> Option<&Availability> {
        self.0
            .get(self.position(record)?)
            .map(|(_, _, found)| found)
    }

    fn position(&self, record: &EndpointRecord) -> Option<usize> {
        self.0
            .iter()
            .position(|(id, started, _)| *id == record.id && *started == record.started_ms)
    }
}

impl EndpointTable {
    /// Records what the endpoint of `record` said of itself. It concerns that incarnation only.
    pub fn record_notice(
        &mut self,
        record: &EndpointRecord,
        notice: &Notice,
        now: Timestamp,
    ) -> NoticeEffect {
        if matches!(notice.limit, LimitNotice::Named(_)) {
            self.limits_until = now + LIMIT_RETENTION;
        }
        match self.endpoints.get_mut(&record.id) {
            Some(state) if state.record.started_ms == record.started_ms => {
                state.availability.apply(notice, now)
            }
            _ => {
                let mut availability = self.former.take(record);
                let effect = availability.apply(notice, now);
                self.former.keep(record, availability);
                effect
            }
        }
    }

    /// Returns what the listed endpoints have said of themselves, for this entry's report.
    #[must_use]
    pub fn notices(&self, now: Timestamp) -> Vec<EndpointNotice> {
        let notice = |state: &EndpointState| EndpointNotice {
            endpoint: state.digest,
            started_ms: state.record.started_ms,
            leaving: state.availability.leaving,
            pause: whole_millis(state.availability.paused_until.since(now)),
            limit: state.availability.limit.reported(now),
        };
        let notices = self.endpoints.values().map(notice);
        notices.filter(|notice| !notice.is_empty()).collect()
    }

    /// Returns whether some endpoint may have a limit in force.
    #[must_use]
    pub fn has_limits(&self, now: Timestamp) -> bool {
        now < self.limits_until
    }

    /// Applies the limits that endpoints have named to peers.
    pub fn learn_limits(&mut self, notices: &[EndpointNotice], now: Timestamp) {
        for notice in notices {
            if notice
                .limit
                .is_some_and(|statement| statement.limit.is_some())
            {
                self.limits_until = now + LIMIT_RETENTION;
            }
            if let Some(statement) = notice.limit
                && let Some(state) = self.incarnation_mut((notice.endpoint, notice.started_ms))
            {
                state.availability.limit.learn(statement, now);
            }
        }
    }

    /// Returns what the incarnation of `record` has said of itself.
    #[must_use]
    pub fn availability(&self, record: &EndpointRecord) -> Availability {
        let state = self.endpoints.get(&record.id);
        let listed = state.filter(|state| state.record.started_ms == record.started_ms);
        let known = listed.map(EndpointState::availability);
        known
            .or_else(|| self.former.get(record))
            .copied()
            .unwrap_or_default()
    }
}
