//! Computes the measures of a run from the outcomes of its requests and the counters of its
//! endpoints.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_standin::answer_text;

use super::accounting::{self, RateStatus};
use super::capacity::{self, BYTES_PER_TOKEN, to_f64};
use super::measure::Measure;
use super::scenario::{FAULT_END, FAULT_START, LOAD_TIME, Scenario, WARM_UP_TIME};
use super::system::EndpointCounts;
use crate::fleet::{ENGINES, Limits, SampleFleet};
use crate::load::{Outcome, Verdict};
use crate::trace::RequestKind;

/// Number of prompt bytes in one block of an engine's prefix cache.
const CACHE_BLOCK_BYTES: usize = 256;

/// Time after which a withdrawn key must be refused.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(2);

/// Time after the end of a fault that still counts as part of it.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Inputs and results of a run.
#[derive(Debug)]
pub(super) struct RunData<'a> {
    pub(super) fleet: SampleFleet,
    pub(super) scenario: Scenario,
    pub(super) limits: Limits,
    pub(super) outcomes: &'a [Outcome],
    pub(super) counts: &'a EndpointCounts,
}

/// A request of the measured load and its relation to the rate limit.
#[derive(Debug, Clone, Copy)]
struct MeasuredRequest<'a> {
    outcome: &'a Outcome,
    status: RateStatus,
}

/// Computes all measures that apply to the scenario.
pub(super) fn evaluate(data: &RunData<'_>) -> BTreeMap<Measure, f64> {
    let measured = measured(data);
    let offered: Vec<_> = measured
        .iter()
        .filter(|request| request.status != RateStatus::Over)
        .copied()
        .collect();
    let tier = |name| {
        let of_tier = |request: &&MeasuredRequest<'_>| request.outcome.request.route.tier == name;
        goodput(offered.iter().filter(of_tier))
    };
    let during = |request: &&MeasuredRequest<'_>| {
        (FAULT_START..FAULT_END + RECOVERY_TIME).contains(&request.outcome.request.at)
    };
    let refused =
        |request: &&MeasuredRequest<'_>| matches!(request.outcome.verdict, Verdict::Refused(_));
    let verdict = |verdict| {
        measured
            .iter()
            .filter(|request| request.outcome.verdict == verdict)
            .count()
    };
    let wrongful = |request: &&MeasuredRequest<'_>| request.status == RateStatus::WronglyRefused;
    let sent = measured.len();
    let mut values = BTreeMap::from([
        (Measure::GoodputHigh, tier("high")),
        (Measure::GoodputMid, tier("mid")),
        (Measure::GoodputLow, tier("low")),
        (Measure::WorstTeam, worst_team(data, &offered)),
        (Measure::WastedPrefill, wasted_prefill(data)),
        (
            Measure::WrongfulRefusals,
            percent(measured.iter().filter(wrongful).count(), sent),
        ),
        (
            Measure::RefusedWithin,
            percent(offered.iter().filter(refused).count(), offered.len()),
        ),
        (
            Measure::RateExcess,
            100.0 * accounting::rate_excess(data.outcomes, data.limits),
        ),
        (Measure::WithdrawnServed, to_f64(withdrawn_served(data))),
        (
            Measure::ShedHigh,
            to_f64(offered.iter().filter(is_shed_high).count()),
        ),
        (Measure::Unknown, to_f64(verdict(Verdict::Unknown))),
        (Measure::Wrong, to_f64(verdict(Verdict::Wrong))),
        (Measure::Crashes, data.counts.totals.crashes as f64),
        (Measure::Overruns, data.counts.totals.overruns as f64),
        (Measure::Sent, to_f64(sent)),
    ]);
    values.extend(run_measures(data));
    let rate_statuses = accounting::rate_statuses(data.outcomes, data.limits);
    let window = (WARM_UP_TIME, LOAD_TIME);
    if let Some(used) = accounting::rate_use(data.outcomes, &rate_statuses, data.limits, window) {
        values.insert(Measure::RateUse, 100.0 * used);
    }
    if data.scenario.is_fault() {
        let goodput = goodput(offered.iter().filter(during));
        values.insert(Measure::GoodputFault, goodput);
    }
    values
}

/// Returns the requests that were sent after the warm-up, without those that carry a withdrawn key.
fn measured<'a>(data: &RunData<'a>) -> Vec<MeasuredRequest<'a>> {
    let rate_statuses = accounting::rate_statuses(data.outcomes, data.limits);
    let pairs = data.outcomes.iter().zip(rate_statuses);
    pairs
        .map(|(outcome, status)| MeasuredRequest { outcome, status })
        .filter(|request| {
            request.outcome.request.at >= WARM_UP_TIME && !is_withdrawn(data, request.outcome)
        })
        .collect()
}

fn is_withdrawn(data: &RunData<'_>, outcome: &Outcome) -> bool {
    data.scenario == Scenario::KeyWithdrawn
        && outcome.request.record.team == data.fleet.teams()[0]
        && outcome.request.at >= FAULT_START
}

fn withdrawn_served(data: &RunData<'_>) -> usize {
    let late = |outcome: &&Outcome| {
        is_withdrawn(data, outcome)
            && outcome.request.at >= FAULT_START + WITHDRAWAL_TIME
            && outcome.verdict == Verdict::Whole
    };
    data.outcomes.iter().filter(late).count()
}

/// Returns whether a request of the top tier was refused for lack of capacity.
fn is_shed_high(request: &&MeasuredRequest<'_>) -> bool {
    let shed = matches!(
        request.outcome.verdict,
        Verdict::Refused(
            RefusalKind::Overloaded | RefusalKind::DeadlineExceeded | RefusalKind::NoEndpoint
        )
    );
    shed && request.outcome.request.route.tier == "high"
}

fn goodput<'a>(offered: impl Iterator<Item = &'a MeasuredRequest<'a>>) -> f64 {
    let (mut good, mut all) = (0, 0);
    for request in offered {
        all += 1;
        good += usize::from(request.outcome.is_good());
    }
    percent(good, all)
}

/// Returns the smallest fraction of its fair share of engine time that a team received, in percent.
/// The fair share is the smaller of the load that the team offers within its rate and an equal part
/// of the capacity.
fn worst_team(data: &RunData<'_>, offered: &[MeasuredRequest<'_>]) -> f64 {
    let mut teams: HashMap<&str, (f64, f64)> = HashMap::new();
    for request in offered {
        let work = capacity::engine_time(&request.outcome.request.record.kind);
        let team = teams.entry(request.outcome.request.record.team.as_str());
        let (good, all) = team.or_default();
        *all += work;
        *good += if request.outcome.is_good() { work } else { 0.0 };
    }
    let equal_share = to_f64(ENGINES) * LOAD_TIME.as_secs_f64() / to_f64(data.fleet.teams().len());
    let part = |(good, all): (f64, f64)| 100.0 * (good / all.min(equal_share)).min(1.0);
    teams.into_values().map(part).fold(100.0, f64::min)
}

/// Returns the prefill beyond the need of the complete answers, in percent of that need. The need
/// is each distinct cache block once, and the remainder of each prompt that does not fill a block.
fn wasted_prefill(data: &RunData<'_>) -> f64 {
    let mut blocks: HashSet<&[u8]> = HashSet::new();
    let mut needed = 0;
    for outcome in data.outcomes {
        let RequestKind::Chat { prompt, .. } = &outcome.request.record.kind else {
            continue;
        };
        if outcome.verdict != Verdict::Whole {
            continue;
        }
        let bytes = prompt.as_bytes();
        let filled = bytes.len() / CACHE_BLOCK_BYTES;
        let new = (1..=filled).filter(|&end| blocks.insert(&bytes[..end * CACHE_BLOCK_BYTES]));
        let new = new.count() * CACHE_BLOCK_BYTES / BYTES_PER_TOKEN;
        needed += new + bytes.len() % CACHE_BLOCK_BYTES / BYTES_PER_TOKEN;
    }
    let needed = to_f64(needed);
    100.0 * (data.counts.totals.prefill as f64 - needed) / needed.max(1.0)
}

/// Returns the measures of duplicate, lost and falsely refused runs.
fn run_measures(data: &RunData<'_>) -> [(Measure, f64); 4] {
    let (mut repeated, mut repeated_bookings, mut lost_bookings, mut false_refusals) = (0, 0, 0, 0);
    for outcome in data.outcomes {
        let (count, booking) = match &outcome.request.record.kind {
            RequestKind::Chat { prompt, .. } => {
                let name = answer_text::prompt_key(prompt);
                (data.counts.prompts.get(&name), false)
            }
            RequestKind::Call { method, target } => {
                let name = format!("{method} {target}");
                let booking = !outcome.request.route.idempotent;
                (data.counts.calls.get(&name), booking)
            }
        };
        let count = count.copied().unwrap_or_default();
        repeated += usize::from(count > 1);
        repeated_bookings += usize::from(booking && count > 1);
        lost_bookings += usize::from(booking && count == 0 && outcome.verdict == Verdict::Whole);
        false_refusals += usize::from(count > 0 && matches!(outcome.verdict, Verdict::Refused(_)));
    }
    [
        (Measure::DoubledRuns, to_f64(repeated)),
        (Measure::DoubledBookings, to_f64(repeated_bookings)),
        (Measure::LostBookings, to_f64(lost_bookings)),
        (Measure::FalseRefusals, to_f64(false_refusals)),
    ]
}

fn percent(part: usize, total: usize) -> f64 {
    100.0 * to_f64(part) / to_f64(total.max(1))
}
