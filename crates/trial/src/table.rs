//! The table of the main job, by deployment, team and tier.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::{Outcome, Verdict};

/// Counts of what callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// Requests sent.
    pub sent: usize,
    /// Whole answers to the caller's own request.
    pub whole: usize,
    /// Truthful refusals of requests that did not run.
    pub refused: usize,
    /// Requests without a whole answer or such a refusal.
    pub unknown: usize,
    /// Answers to something else.
    pub wrong: usize,
}

impl Summary {
    /// Counts outcomes.
    pub fn new<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> Self {
        let mut summary = Self::default();
        for outcome in outcomes {
            summary.sent += 1;
            match outcome.verdict {
                Verdict::Whole => summary.whole += 1,
                Verdict::Refused(_) => summary.refused += 1,
                Verdict::Unknown => summary.unknown += 1,
                Verdict::Wrong => summary.wrong += 1,
            }
        }
        summary
    }

    /// Whether every request got the whole answer to itself.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.whole == self.sent
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "summary sent={} whole={} refused={} unknown={} wrong={}",
            self.sent, self.whole, self.refused, self.unknown, self.wrong
        )
    }
}

/// A quantile of some times, in milliseconds.
pub fn quantile_ms(times: impl IntoIterator<Item = Duration>, quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return f64::NAN;
    };
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = histogram.record(micros.max(1));
    }
    let micros = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
    f64::from(micros) / 1_000.0
}

/// One line for each team and tier.
#[must_use]
pub fn render(name: &str, outcomes: &[Outcome]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{name}\n{:<10} {:<5} {:>5} {:>6} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "team",
        "tier",
        "sent",
        "whole",
        "refused",
        "unknown",
        "first p50",
        "first p95",
        "total p50",
        "total p95"
    );
    let mut groups: BTreeMap<(&str, u8), Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        let rank = rank(outcome.shot.route.tier);
        let key = (outcome.shot.record.team.as_str(), rank);
        groups.entry(key).or_default().push(outcome);
    }
    for ((team, _), group) in groups {
        let summary = Summary::new(group.iter().copied());
        let whole = || group.iter().filter(|one| one.verdict == Verdict::Whole);
        let first = |quantile| quantile_ms(whole().map(|one| one.first), quantile);
        let total = |quantile| quantile_ms(whole().map(|one| one.total()), quantile);
        let _ = writeln!(
            text,
            "{team:<10} {:<5} {:>5} {:>6} {:>8} {:>8} {:>6.1} ms {:>6.1} ms {:>6.0} ms {:>6.0} ms",
            group[0].shot.route.tier,
            summary.sent,
            summary.whole,
            summary.refused,
            summary.unknown + summary.wrong,
            first(0.5),
            first(0.95),
            total(0.5),
            total(0.95)
        );
    }
    text
}

fn rank(tier: &str) -> u8 {
    match tier {
        "high" => 0,
        "mid" => 1,
        _ => 2,
    }
}
