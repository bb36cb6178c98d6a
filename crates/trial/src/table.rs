//! Counts of the verdicts, and the table of the main job by team and tier.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::{Outcome, Verdict};

/// Number of requests by verdict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// All requests.
    pub sent: usize,
    /// Requests that got their own complete answer.
    pub complete: usize,
    /// Requests that were refused with the statement that they did not run.
    pub refused: usize,
    /// Requests with neither a complete answer nor such a refusal.
    pub unknown: usize,
    /// Requests that got the answer to another request.
    pub wrong: usize,
}

impl Summary {
    /// Counts the verdicts of the outcomes.
    pub fn new<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> Self {
        let mut summary = Self::default();
        for outcome in outcomes {
            summary.sent += 1;
            match outcome.verdict {
                Verdict::Whole => summary.complete += 1,
                Verdict::Refused(_) => summary.refused += 1,
                Verdict::Unknown => summary.unknown += 1,
                Verdict::Wrong => summary.wrong += 1,
            }
        }
        summary
    }

    /// Returns whether every request got its own complete answer.
    #[must_use]
    pub fn all_complete(&self) -> bool {
        self.complete == self.sent
    }
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "summary sent={} whole={} refused={} unknown={} wrong={}",
            self.sent, self.complete, self.refused, self.unknown, self.wrong
        )
    }
}

/// Returns the quantile of the times in milliseconds, or NaN if the histogram cannot be created.
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

/// Formats a table with one line for each team and tier.
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
        let rank = rank(outcome.request.route.tier);
        let key = (outcome.request.record.team.as_str(), rank);
        groups.entry(key).or_default().push(outcome);
    }
    for ((team, _), group) in groups {
        let summary = Summary::new(group.iter().copied());
        let complete = || {
            group
                .iter()
                .filter(|outcome| outcome.verdict == Verdict::Whole)
        };
        let first = |quantile| quantile_ms(complete().map(|outcome| outcome.first_byte), quantile);
        let total = |quantile| quantile_ms(complete().map(|outcome| outcome.total()), quantile);
        let _ = writeln!(
            text,
            "{team:<10} {:<5} {:>5} {:>6} {:>8} {:>8} {:>6.1} ms {:>6.1} ms {:>6.0} ms {:>6.0} ms",
            group[0].request.route.tier,
            summary.sent,
            summary.complete,
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
