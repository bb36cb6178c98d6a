//! Units that teams have spent at other entries, as learned from the counters in their reports.
//!
//! Each counter counts from the start of its reporter, so only its increase matters. A data centre
//! has several aggregators, whose counters cover the same entries. They are aligned when first seen,
//! and the highest one counts, so that units are counted once whichever aggregator reports them
//! first.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::source::{Scope, Source};

/// Largest counter that is taken over from a report. No fleet spends as much; a larger one is damaged,
/// and sums of it would overflow.
const COUNTER_MAX: i64 = 1 << 48;

/// Counters by digest of the team.
type Counters = HashMap<u64, i64>;

/// The counter of one reporter of a source.
#[derive(Debug)]
struct Reporter {
    boot: u64,
    /// Difference between the source's count and the reporter's counter.
    offsets: Counters,
}

/// What one source has spent.
#[derive(Debug, Default)]
struct SourceCount {
    /// Units counted since this entry first learned of the source.
    counted: Counters,
    reporters: HashMap<SocketAddr, Reporter>,
}

/// A report's counters and what they mean.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedCounters<'a> {
    /// The entries that the counters are of.
    pub(super) source: Source,
    /// The reporter's address.
    pub(super) from: SocketAddr,
    /// The reporter's process.
    pub(super) boot: u64,
    /// Whether the reporter started so recently that all its units count.
    pub(super) young: bool,
    /// Units by digest of the team.
    pub(super) spent: &'a [(u64, i64)],
}

/// Units spent by this entry and by all others.
#[derive(Debug, Default)]
pub(super) struct Spending {
    own: Counters,
    sources: HashMap<Source, SourceCount>,
    /// Sum of what all single entries have spent, including those that are gone.
    entries: Counters,
    /// Sum of what other data centres have spent.
    centres: Counters,
}

impl Spending {
    /// Adds units that this entry admitted; negative units were returned.
    pub(super) fn add_own(&mut self, team: u64, units: i64) {
        *self.own.entry(team).or_default() += units;
    }

    /// Applies a report's counters. Returns the units that were spent since the last one, by team.
    pub(super) fn apply(&mut self, report: &ReportedCounters<'_>) -> Vec<(u64, i64)> {
        let source = self.sources.entry(report.source).or_default();
        let known = source.reporters.get(&report.from);
        if known.is_none_or(|reporter| reporter.boot != report.boot) {
            let reporter = source.align(report);
            source.reporters.insert(report.from, reporter);
        }
        let Some(reporter) = source.reporters.get(&report.from) else {
            return Vec::new();
        };
        let single = matches!(report.source, Source::Entry(_));
        let mut changes = Vec::new();
        for (team, value) in report.spent {
            let count = source.counted.entry(*team).or_default();
            let aligned = bounded(*value) + reporter.offsets.get(team).copied().unwrap_or(0);
            let change = aligned - *count;
            // Aggregators lag behind each other, so a lower counter may only be an older one.
            if change > 0 || (single && change < 0) {
                *count = aligned;
                changes.push((*team, change));
            }
        }
        let total = match report.source {
            Source::Entry(_) => Some(&mut self.entries),
            Source::Centre(_) => Some(&mut self.centres),
            Source::Fleet => None,
        };
        if let Some(total) = total {
            for (team, change) in &changes {
                *total.entry(*team).or_default() += change;
            }
        }
        changes
    }

    /// Returns the counters for a report of the given scope to `to`.
    pub(super) fn counters(&self, scope: Scope, to: SocketAddr) -> Vec<(u64, i64)> {
        let mut sum = self.own.clone();
        let mut add = |counters: &Counters, sign: i64| {
            for (team, units) in counters {
                *sum.entry(*team).or_default() += sign * units;
            }
        };
        if scope != Scope::Entry {
            add(&self.entries, 1);
        }
        if scope == Scope::Fleet {
            add(&self.centres, 1);
            if let Some(recipient) = self.sources.get(&Source::Entry(to)) {
                add(&recipient.counted, -1);
            }
        }
        sum.into_iter().collect()
    }

    /// Forgets the counters of a reporter that is gone.
    pub(super) fn forget(&mut self, from: SocketAddr) {
        self.sources.remove(&Source::Entry(from));
        for source in self.sources.values_mut() {
            source.reporters.remove(&from);
        }
    }
}

/// Returns a reported counter, or the largest one that is taken over.
fn bounded(units: i64) -> i64 {
    units.clamp(-COUNTER_MAX, COUNTER_MAX)
}

impl SourceCount {
    /// Returns a new reporter whose counters continue the source's count.
    fn align(&self, report: &ReportedCounters<'_>) -> Reporter {
        let reported = report.spent.iter();
        let reported: Counters = reported
            .map(|(team, units)| (*team, bounded(*units)))
            .collect();
        let teams = self.counted.keys().chain(reported.keys());
        let offset = |team: &u64| {
            let counted = self.counted.get(team).copied().unwrap_or(0);
            match (report.young, report.source) {
                // The count continues with all that the restarted entry has spent.
                (true, Source::Entry(_)) => counted,
                // Aggregators that started together have counted the same units.
                (true, _) if self.counts_from_zero(*team) => 0,
                _ => counted - reported.get(team).copied().unwrap_or(0),
            }
        };
        Reporter {
            boot: report.boot,
            offsets: teams.map(|team| (*team, offset(team))).collect(),
        }
    }

    /// Returns whether the counters of all reporters so far are the source's count itself.
    fn counts_from_zero(&self, team: u64) -> bool {
        let mut reporters = self.reporters.values();
        reporters.all(|reporter| {
            reporter
                .offsets
                .get(&team)
                .is_none_or(|offset| *offset == 0)
        })
    }
}
