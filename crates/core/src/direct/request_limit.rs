//! The limit on requests that an endpoint names in its answers.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::{Timestamp, whole_millis};

/// Number of the smallest steps of a limit in one request per second.
const STEPS: f64 = 1_000.0;

/// Time after which a limit that no answer names again is forgotten. An entry that may send nothing
/// to the endpoint gets no answers of it, and may have missed its end while cut off from its peers.
pub(super) const LIMIT_RETENTION: Duration = Duration::from_secs(120);

/// Time for which peers are told of the end of a limit.
const END_REPORT_TIME: Duration = Duration::from_secs(60);

/// Time by which a peer's word that there is no limit has to be newer than an answer that names one,
/// as the time that the word has travelled is not known.
const END_MARGIN: Duration = Duration::from_secs(1);

/// Requests per second that an endpoint takes from all entries together.
///
/// ```
/// use comfreyhaven_core::direct::RequestLimit;
/// use std::time::Duration;
///
/// let limit = RequestLimit::new(2.5);
/// assert_eq!(limit.per_second(), 2.5);
/// assert_eq!(limit.within(Duration::from_secs(4)), 10.0);
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{}", self.per_second())]
pub struct RequestLimit(u32);

impl RequestLimit {
    /// Creates a limit of `per_second` requests per second, rounded to thousandths. A number that is
    /// too large to be kept becomes the highest limit, and one below zero the lowest.
    #[must_use]
    pub const fn new(per_second: f64) -> Self {
        Self((per_second * STEPS).round() as u32)
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / STEPS
    }

    /// Returns the requests that the limit allows within `span`.
    #[must_use]
    pub fn within(self, span: Duration) -> f64 {
        self.per_second() * span.as_secs_f64()
    }
}

/// What one answer states about the endpoint's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// The answer does not tell whether there is a limit.
    #[default]
    Unstated,
    /// The endpoint names a limit.
    Named(RequestLimit),
    /// The endpoint names no limit in the answer to a request that was sent at this time. The answer
    /// may have been made before another one that names a limit and arrived earlier.
    Absent(Timestamp),
}

/// A change of an endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// The endpoint names a limit that differs from the one before.
    Named(RequestLimit),
    /// The endpoint no longer names a limit.
    Lifted,
}

/// What an endpoint's answers have stated about its limit, in a report between entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// The limit, or none if it has ended.
    pub limit: Option<RequestLimit>,
    /// Milliseconds since the newest answer that states it.
    pub age: u32,
}

impl LimitStatement {
    /// Returns when the newest answer arrived that states it.
    pub(super) fn stated(&self, now: Timestamp) -> Timestamp {
        now - Duration::from_millis(self.age.into())
    }
}

/// The limit that an endpoint's incarnation has named last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct StatedLimit {
    limit: Option<RequestLimit>,
    /// When the newest answer that counts was made: at the latest for a limit, at the earliest for
    /// none.
    stated: Timestamp,
    /// Whether that answer was one to this entry.
    own: bool,
    /// When an answer to this entry ended a limit.
    ended: Option<Timestamp>,
}

impl StatedLimit {
    /// Returns the limit in force.
    pub(super) fn limit(&self, now: Timestamp) -> Option<RequestLimit> {
        self.limit.filter(|_| now < self.stated + LIMIT_RETENTION)
    }

    /// Applies what an answer to this entry states that arrived at `now`.
    pub(super) fn apply(&mut self, notice: LimitNotice, now: Timestamp) -> Option<LimitChange> {
        match notice {
            LimitNotice::Named(limit) => {
                let before = self.limit(now);
                self.limit = Some(limit);
                (self.stated, self.own) = (self.stated.max(now), true);
                (before != Some(limit)).then_some(LimitChange::Named(limit))
            }
            LimitNotice::Absent(sent) if self.stated <= sent => {
                let before = self.limit.take();
                (self.stated, self.own) = (sent, true);
                before?;
                self.ended = Some(now);
                Some(LimitChange::Lifted)
            }
            LimitNotice::Absent(_) | LimitNotice::Unstated => None,
        }
    }

    /// Applies what an answer to a peer stated, if it is newer.
    pub(super) fn learn(&mut self, statement: LimitStatement, now: Timestamp) {
        let stated = statement.stated(now);
        let margin = match statement.limit {
            Some(_) => Duration::ZERO,
            None => END_MARGIN,
        };
        if stated > self.stated + margin {
            self.limit = statement.limit;
            (self.stated, self.own) = (stated, false);
        }
    }

    /// Returns what answers to this entry have stated, for its report. What only peers were told is
    /// left out, so that it does not return to them as something newer.
    pub(super) fn reported(&self, now: Timestamp) -> Option<LimitStatement> {
        let ended = self
            .ended
            .is_some_and(|ended| now < ended + END_REPORT_TIME);
        let known = self.limit(now).is_some() || (self.limit.is_none() && ended);
        (self.own && known).then(|| LimitStatement {
            limit: self.limit,
            age: whole_millis(now.since(self.stated)),
        })
    }

    /// Returns whether the endpoint has named a limit that may matter if it is listed again.
    pub(super) const fn is_named(&self) -> bool {
        self.limit.is_some()
    }
}
