//! Hedged requests: when a request whose answer is late is sent to a second endpoint.
//!
//! A hedge is sent at a percentile of the times to the first answer of the request's route and size,
//! within a part of the requests for its service, and never while the service is short of slots. It
//! answers loads of up to three quarters of the slots of which a few answers take far longer than the
//! others.

mod answer_times;
mod hedge_limit;

pub use answer_times::{AnswerTimes, KindTimes, TimeCount, TimeHistogram};
pub use hedge_limit::HedgeLimit;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use strum::IntoStaticStr;

use super::digest::digest;
use super::source::Source;
use crate::time::Timestamp;

/// Part of a service's slots that has to be free.
const FREE_PART: f64 = 0.25;

/// Range of the percentile at which a hedge is sent.
const PERCENTILE_RANGE: (f64, f64) = (0.9, 0.99);

/// Fewest answers from which a percentile is taken.
const ANSWERS_MIN: u32 = 40;

/// Time for which a percentile is used before it is computed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which the percentile of a kind that no longer comes is forgotten.
const FORGOTTEN_TIME: Duration = Duration::from_secs(30);

/// Shortest delay of a hedge; below it, the timers of a busy process decide.
const DELAY_MIN: Duration = Duration::from_millis(10);

/// Why a hedge is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Withheld {
    /// Requests of the service wait, or too few of its slots are free.
    Overload,
    /// No other endpoint may take the request now.
    NoEndpoint,
    /// The operators' limit is used up.
    Limit,
    /// The rest of the retry budget is kept for retries after failures.
    Budget,
}

/// How the wait for an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitEnd {
    /// The answer came.
    Answered,
    /// The wait was ended before the answer came.
    Cancelled,
}

/// What the fleet does for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceUse {
    /// Requests that wait for a slot, here and at peers.
    pub waiting: usize,
    /// Free slots of the endpoints in use.
    pub free: u32,
    /// All slots of these endpoints.
    pub slots: u32,
}

impl ServiceUse {
    /// Returns whether the service has no room for extra requests.
    ///
    /// ```
    /// use comfreyhaven_core::direct::ServiceUse;
    ///
    /// let use_of_half = ServiceUse { waiting: 0, free: 60, slots: 120 };
    /// assert!(!use_of_half.is_overloaded());
    /// assert!(ServiceUse { waiting: 1, ..use_of_half }.is_overloaded());
    /// ```
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.waiting > 0 || f64::from(self.free) < FREE_PART * f64::from(self.slots)
    }
}

/// A percentile and when it was computed.
#[derive(Debug, Clone, Copy)]
struct Computed {
    at: Timestamp,
    delay: Option<Duration>,
}

/// What one entry knows about hedges: the times to the first answer, and the limits.
#[derive(Debug, Default)]
pub struct Hedging {
    /// Hedges as a part of all requests; zero for none.
    part: f64,
    limits: HashMap<Arc<str>, HedgeLimit>,
    times: AnswerTimes,
    delays: HashMap<u64, Computed>,
}

impl Hedging {
    /// Sets the hedges that may be sent, as a part of all requests. A change discards what was saved.
    pub fn set_part(&mut self, part: f64) {
        let before = std::mem::replace(&mut self.part, part);
        if before.to_bits() != part.to_bits() {
            self.limits.clear();
        }
    }

    /// Returns whether hedges may be sent.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.part > 0.0
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &Arc<str>) {
        if self.is_enabled() {
            self.limit(service).record_request();
        }
    }

    /// Takes a hedge from the service's limit. Returns whether it allowed one.
    pub fn take(&mut self, service: &Arc<str>) -> bool {
        let part = self.part;
        self.limit(service).take(part)
    }

    fn limit(&mut self, service: &Arc<str>) -> &mut HedgeLimit {
        self.limits.entry(Arc::clone(service)).or_default()
    }

    /// Records how long a request waited for its first answer.
    pub fn record(&mut self, kind: u64, waited: Duration, end: WaitEnd, now: Timestamp) {
        if self.is_enabled() {
            self.times.record(kind, waited, end, now);
        }
    }

    /// Replaces the times that a source has reported. A report without times changes nothing.
    pub fn apply_report(&mut self, source: Source, times: Vec<KindTimes>, now: Timestamp) {
        if self.is_enabled() && !times.is_empty() {
            self.times.apply_report(source, times, now);
        }
    }

    /// Forgets the times of a source.
    pub fn forget_source(&mut self, source: Source) {
        self.times.forget_source(source);
    }

    /// Returns the times of this entry and of the sources that `includes` selects.
    #[must_use]
    pub fn reported(&self, includes: impl Fn(&Source) -> bool, now: Timestamp) -> Vec<KindTimes> {
        self.times.sum(includes, now)
    }

    /// Returns how long to wait for the first answer of a request before a hedge is sent, or `None` if
    /// none is.
    pub fn delay(&mut self, kind: u64, now: Timestamp) -> Option<Duration> {
        if !self.is_enabled() {
            return None;
        }
        let computed = self.delays.get(&kind);
        if let Some(computed) = computed.filter(|computed| now < computed.at + REFRESH_INTERVAL) {
            return computed.delay;
        }
        let (least, most) = PERCENTILE_RANGE;
        let percentile = (1.0 - self.part).clamp(least, most);
        let times = self.times.histogram(kind, now);
        let delay = (times.answered() >= ANSWERS_MIN)
            .then(|| times.percentile(percentile))
            .flatten()
            .map(|delay| delay.max(DELAY_MIN));
        self.delays
            .retain(|_, computed| now < computed.at + FORGOTTEN_TIME);
        self.delays.insert(kind, Computed { at: now, delay });
        delay
    }
}

/// Returns what requests of a route and prompt size have in common: their size class is a power of four
/// of the prompt's tokens.
///
/// ```
/// use comfreyhaven_core::direct::answer_kind;
///
/// assert_eq!(answer_kind("look", 1_100), answer_kind("look", 4_000));
/// assert_ne!(answer_kind("look", 1_100), answer_kind("look", 4_100));
/// ```
#[must_use]
pub fn answer_kind(route: &str, prompt: u64) -> u64 {
    let class = prompt.checked_ilog2().map_or(0, |power| power / 2 + 1);
    digest(&(route, class))
}
