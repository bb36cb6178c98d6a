//! Times to the first answer, by kind of request, over the recent past of the whole fleet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::WaitEnd;
use crate::direct::source::Source;
use crate::time::Timestamp;

/// Buckets in which a time doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets; the last one holds all times from 27 s.
const BUCKETS: u8 = 60;

/// Length of a step of the window.
const STEP: Duration = Duration::from_secs(5);

/// Number of steps in the window.
const STEPS: usize = 6;

/// Length of the window.
const WINDOW: Duration = STEP.saturating_mul(STEPS as u32);

/// Age at which a source's times are no longer used.
const REPORT_AGE_LIMIT: Duration = Duration::from_secs(10);

/// Kinds of requests in one report at most, so that it fits into a datagram.
const KINDS_LIMIT: usize = 16;

/// Answers whose times lie in one bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeCount {
    /// Number of the bucket.
    pub bucket: u8,
    /// Answers that came.
    pub answered: u32,
    /// Waits that were ended before the answer came.
    pub cancelled: u32,
}

/// Times of one kind of request in a report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindTimes {
    /// Digest of the route and size class.
    pub kind: u64,
    /// Counts by bucket.
    pub counts: Vec<TimeCount>,
}

/// Returns the bucket of a time.
fn bucket(time: Duration) -> u8 {
    let millis = time.as_secs_f64() * 1_000.0;
    let index = (millis.max(1.0).log2() * BUCKETS_PER_DOUBLING).ceil();
    index.min(f64::from(BUCKETS - 1)) as u8
}

/// Returns the longest time of a bucket.
fn upper_bound(bucket: u8) -> Duration {
    Duration::from_secs_f64((f64::from(bucket) / BUCKETS_PER_DOUBLING).exp2() / 1_000.0)
}

/// Counts of times in buckets, each of which is a constant factor above the one before.
///
/// ```
/// use std::time::Duration;
/// use comfreyhaven_core::direct::{TimeHistogram, WaitEnd};
///
/// let mut times = TimeHistogram::default();
/// for millis in 1..=100 {
///     times.record(Duration::from_millis(millis), WaitEnd::Answered);
/// }
/// let median = times.percentile(0.5).expect("there are times");
/// assert!((50..=60).contains(&median.as_millis()));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TimeHistogram {
    counts: BTreeMap<u8, TimeCount>,
}

impl TimeHistogram {
    fn count(&mut self, bucket: u8) -> &mut TimeCount {
        self.counts.entry(bucket).or_insert(TimeCount {
            bucket,
            ..TimeCount::default()
        })
    }

    /// Counts a time.
    pub fn record(&mut self, time: Duration, end: WaitEnd) {
        let count = self.count(bucket(time));
        match end {
            WaitEnd::Answered => count.answered += 1,
            WaitEnd::Cancelled => count.cancelled += 1,
        }
    }

    /// Adds counts.
    pub fn add<'a>(&mut self, counts: impl IntoIterator<Item = &'a TimeCount>) {
        for count in counts {
            let sum = self.count(count.bucket.min(BUCKETS - 1));
            sum.answered = sum.answered.saturating_add(count.answered);
            sum.cancelled = sum.cancelled.saturating_add(count.cancelled);
        }
    }

    /// Returns the number of answers.
    #[must_use]
    pub fn answered(&self) -> u32 {
        let answered = self.counts.values().map(|count| count.answered);
        answered.fold(0, u32::saturating_add)
    }

    /// Returns a percentile of the times to the first answer, by the product-limit estimate: an answer
    /// that was cancelled would have come later. If too many of the long waits were cancelled, the
    /// longest wait is returned. Without times there is none.
    #[must_use]
    pub fn percentile(&self, percentile: f64) -> Option<Duration> {
        let all = |count: &TimeCount| f64::from(count.answered) + f64::from(count.cancelled);
        let mut at_risk: f64 = self.counts.values().map(all).sum();
        let mut unanswered = 1.0;
        for count in self.counts.values() {
            unanswered *= 1.0 - f64::from(count.answered) / at_risk.max(1.0);
            if 1.0 - unanswered >= percentile {
                return Some(upper_bound(count.bucket));
            }
            at_risk -= all(count);
        }
        self.counts.keys().last().copied().map(upper_bound)
    }
}

/// Times of one kind of request at this entry over a sliding window.
#[derive(Debug, Default)]
struct TimeWindow {
    steps: VecDeque<(Timestamp, TimeHistogram)>,
}

impl TimeWindow {
    fn record(&mut self, time: Duration, end: WaitEnd, now: Timestamp) {
        let is_over = |(start, _): &(Timestamp, TimeHistogram)| *start + STEP <= now;
        if self.steps.back().is_none_or(is_over) {
            self.steps.push_back((now, TimeHistogram::default()));
            let excess = self.steps.len().saturating_sub(STEPS);
            self.steps.drain(..excess);
        }
        if let Some((_, histogram)) = self.steps.back_mut() {
            histogram.record(time, end);
        }
    }

    /// Returns whether all times are older than the window.
    fn is_over(&self, now: Timestamp) -> bool {
        let newest = self.steps.back();
        newest.is_none_or(|(start, _)| *start + WINDOW <= now)
    }

    fn histogram(&self, now: Timestamp) -> TimeHistogram {
        let mut sum = TimeHistogram::default();
        for (start, step) in &self.steps {
            if now < *start + WINDOW {
                sum.add(step.counts.values());
            }
        }
        sum
    }
}

/// Times that a source has reported.
#[derive(Debug)]
struct ReportedTimes {
    received: Timestamp,
    kinds: Vec<KindTimes>,
}

/// Times to the first answer at this entry and at others.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    own: HashMap<u64, TimeWindow>,
    reported: HashMap<Source, ReportedTimes>,
}

impl AnswerTimes {
    /// Counts a time of this entry. Kinds of requests that no longer come are forgotten.
    pub fn record(&mut self, kind: u64, time: Duration, end: WaitEnd, now: Timestamp) {
        if !self.own.contains_key(&kind) {
            self.own.retain(|_, window| !window.is_over(now));
        }
        self.own.entry(kind).or_default().record(time, end, now);
    }

    /// Replaces the times of a source.
    pub fn apply_report(&mut self, source: Source, kinds: Vec<KindTimes>, now: Timestamp) {
        let received = now;
        self.reported
            .insert(source, ReportedTimes { received, kinds });
    }

    /// Forgets the times of a source.
    pub fn forget_source(&mut self, source: Source) {
        self.reported.remove(&source);
    }

    fn recent(&self, now: Timestamp) -> impl Iterator<Item = (&Source, &KindTimes)> {
        let sources = self.reported.iter();
        let recent = sources.filter(move |(_, times)| now < times.received + REPORT_AGE_LIMIT);
        recent.flat_map(|(source, times)| times.kinds.iter().map(move |kind| (source, kind)))
    }

    /// Returns the times of one kind of request at all entries.
    #[must_use]
    pub fn histogram(&self, kind: u64, now: Timestamp) -> TimeHistogram {
        let own = self.own.get(&kind).map(|window| window.histogram(now));
        let mut sum = own.unwrap_or_default();
        for (_, times) in self.recent(now).filter(|(_, times)| times.kind == kind) {
            sum.add(&times.counts);
        }
        sum
    }

    /// Returns the times of this entry and of the sources that `includes` selects. Of very many kinds,
    /// those with the most answers are returned.
    #[must_use]
    pub fn sum(&self, includes: impl Fn(&Source) -> bool, now: Timestamp) -> Vec<KindTimes> {
        let mut sums: BTreeMap<u64, TimeHistogram> = BTreeMap::new();
        for (kind, window) in &self.own {
            sums.insert(*kind, window.histogram(now));
        }
        for (_, times) in self.recent(now).filter(|(source, _)| includes(source)) {
            sums.entry(times.kind).or_default().add(&times.counts);
        }
        sums.retain(|_, sum| !sum.counts.is_empty());
        let mut sums: Vec<_> = sums.into_iter().collect();
        if sums.len() > KINDS_LIMIT {
            sums.sort_by_key(|(_, sum)| Reverse(sum.answered()));
            sums.truncate(KINDS_LIMIT);
        }
        let reported = |(kind, sum): (u64, TimeHistogram)| KindTimes {
            kind,
            counts: sum.counts.into_values().collect(),
        };
        sums.into_iter().map(reported).collect()
    }
}
