//! The limit on requests that an endpoint names in its answers.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Number of the smallest steps of a limit in one request per second.
const STEPS: f64 = 1_000.0;

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

/// The limit that an endpoint's incarnation has named last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct StatedLimit {
    limit: Option<RequestLimit>,
    /// When the newest answer that counts was made, at the latest for a limit, at the earliest for
    /// none.
    stated: Timestamp,
}

impl StatedLimit {
    /// Returns the limit in force.
    pub(super) const fn limit(&self) -> Option<RequestLimit> {
        self.limit
    }

    /// Applies what an answer that arrived at `now` states.
    pub(super) fn apply(&mut self, notice: LimitNotice, now: Timestamp) -> Option<LimitChange> {
        match notice {
            LimitNotice::Named(limit) => {
                self.stated = self.stated.max(now);
                let before = self.limit.replace(limit);
                (before != Some(limit)).then_some(LimitChange::Named(limit))
            }
            LimitNotice::Absent(sent) if self.limit.is_some() && self.stated <= sent => {
                *self = Self {
                    limit: None,
                    stated: sent,
                };
                Some(LimitChange::Lifted)
            }
            LimitNotice::Absent(_) | LimitNotice::Unstated => None,
        }
    }
}
