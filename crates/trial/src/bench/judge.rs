//! From what callers got and endpoints counted to measures.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_standin::answer_text;

use super::account::{self, Standing};
use super::capacity::{self, BYTES_PER_TOKEN, number};
use super::measure::Measure;
use super::scenario::{FAULT_AT, LOAD_TIME, MENDED_AT, Scenario, WARM_TIME};
use super::system::Evidence;
use crate::fleet::{Deployed, ENGINES, Limits};
use crate::load::{Outcome, Verdict};
use crate::trace::Ask;

/// Bytes of prompt that engines cache as one block.
const BLOCK_BYTES: usize = 256;

/// Time in which a withdrawn key must stop working.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(2);

/// Time after a fault is mended that still counts as the fault's.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Everything known of one run.
#[derive(Debug)]
pub(super) struct Trial<'a> {
    pub(super) deployed: Deployed,
    pub(super) scenario: Scenario,
    pub(super) limits: Limits,
    pub(super) outcomes: &'a [Outcome],
    pub(super) evidence: &'a Evidence,
}

/// A request of the measured load.
#[derive(Debug, Clone, Copy)]
struct Measured<'a> {
    outcome: &'a Outcome,
    standing: Standing,
}

/// Works out every measure.
pub(super) fn judge(trial: &Trial<'_>) -> BTreeMap<Measure, f64> {
    let measured = measured(trial);
    let offered: Vec<_> = measured
        .iter()
        .filter(|one| one.standing != Standing::Over)
        .copied()
        .collect();
    let tier = |name| {
        let of_tier = |one: &&Measured<'_>| one.outcome.shot.route.tier == name;
        goodput(offered.iter().filter(of_tier))
    };
    let during =
        |one: &&Measured<'_>| (FAULT_AT..MENDED_AT + RECOVERY_TIME).contains(&one.outcome.shot.at);
    let refused = |one: &&Measured<'_>| matches!(one.outcome.verdict, Verdict::Refused(_));
    let verdict = |verdict| {
        measured
            .iter()
            .filter(|one| one.outcome.verdict == verdict)
            .count()
    };
    let wrongful = |one: &&Measured<'_>| one.standing == Standing::Wrongful;
    let sent = measured.len();
    let mut values = BTreeMap::from([
        (Measure::GoodputHigh, tier("high")),
        (Measure::GoodputMid, tier("mid")),
        (Measure::GoodputLow, tier("low")),
        (Measure::WorstTeam, worst_team(trial, &offered)),
        (Measure::WastedPrefill, wasted(trial)),
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
            100.0 * account::excess(trial.outcomes, trial.limits),
        ),
        (Measure::WithdrawnServed, number(withdrawn_served(trial))),
        (
            Measure::ShedHigh,
            number(offered.iter().filter(is_shed_high).count()),
        ),
        (Measure::Unknown, number(verdict(Verdict::Unknown))),
        (Measure::Wrong, number(verdict(Verdict::Wrong))),
        (Measure::Crashes, trial.evidence.totals.crashes as f64),
        (Measure::Overruns, trial.evidence.totals.overruns as f64),
        (Measure::Sent, number(sent)),
    ]);
    values.extend(runs(trial));
    let standings = account::standings(trial.outcomes, trial.limits);
    let window = (WARM_TIME, LOAD_TIME);
    if let Some(used) = account::rate_use(trial.outcomes, &standings, trial.limits, window) {
        values.insert(Measure::RateUse, 100.0 * used);
    }
    if trial.scenario.is_fault() {
        let goodput = goodput(offered.iter().filter(during));
        values.insert(Measure::GoodputFault, goodput);
    }
    values
}

/// Requests of the measured load, without those whose key has been withdrawn.
fn measured<'a>(trial: &Trial<'a>) -> Vec<Measured<'a>> {
    let standings = account::standings(trial.outcomes, trial.limits);
    let pairs = trial.outcomes.iter().zip(standings);
    pairs
        .map(|(outcome, standing)| Measured { outcome, standing })
        .filter(|one| one.outcome.shot.at >= WARM_TIME && !is_withdrawn(trial, one.outcome))
        .collect()
}

fn is_withdrawn(trial: &Trial<'_>, outcome: &Outcome) -> bool {
    trial.scenario == Scenario::KeyWithdrawn
        && outcome.shot.record.team == trial.deployed.teams()[0]
        && outcome.shot.at >= FAULT_AT
}

fn withdrawn_served(trial: &Trial<'_>) -> usize {
    let late = |outcome: &&Outcome| {
        is_withdrawn(trial, outcome)
            && outcome.shot.at >= FAULT_AT + WITHDRAWAL_TIME
            && outcome.verdict == Verdict::Whole
    };
    trial.outcomes.iter().filter(late).count()
}

/// Whether a request of the top tier was refused for want of capacity.
fn is_shed_high(one: &&Measured<'_>) -> bool {
    let shed = matches!(
        one.outcome.verdict,
        Verdict::Refused(
            RefusalKind::Overloaded | RefusalKind::DeadlineExceeded | RefusalKind::NoEndpoint
        )
    );
    shed && one.outcome.shot.route.tier == "high"
}

fn goodput<'a>(offered: impl Iterator<Item = &'a Measured<'a>>) -> f64 {
    let (mut good, mut all) = (0, 0);
    for one in offered {
        all += 1;
        good += usize::from(one.outcome.is_good());
    }
    percent(good, all)
}

/// The least part of its fair share that a team got in engine time. A team's fair share is what it
/// offers within its rate, or an even part of the capacity if that is less.
fn worst_team(trial: &Trial<'_>, offered: &[Measured<'_>]) -> f64 {
    let mut teams: HashMap<&str, (f64, f64)> = HashMap::new();
    for one in offered {
        let work = capacity::work(&one.outcome.shot.record.ask);
        let team = teams.entry(one.outcome.shot.record.team.as_str());
        let (good, all) = team.or_default();
        *all += work;
        *good += if one.outcome.is_good() { work } else { 0.0 };
    }
    let even = number(ENGINES) * LOAD_TIME.as_secs_f64() / number(trial.deployed.teams().len());
    let part = |(good, all): (f64, f64)| 100.0 * (good / all.min(even)).min(1.0);
    teams.into_values().map(part).fold(100.0, f64::min)
}

/// Prefill beyond what the whole answers needed: each distinct block once, and the rest of each
/// prompt that fills no block.
fn wasted(trial: &Trial<'_>) -> f64 {
    let mut blocks: HashSet<&[u8]> = HashSet::new();
    let mut needed = 0;
    for outcome in trial.outcomes {
        let Ask::Chat { prompt, .. } = &outcome.shot.record.ask else {
            continue;
        };
        if outcome.verdict != Verdict::Whole {
            continue;
        }
        let bytes = prompt.as_bytes();
        let filled = bytes.len() / BLOCK_BYTES;
        let new = (1..=filled).filter(|&end| blocks.insert(&bytes[..end * BLOCK_BYTES]));
        let new = new.count() * BLOCK_BYTES / BYTES_PER_TOKEN;
        needed += new + bytes.len() % BLOCK_BYTES / BYTES_PER_TOKEN;
    }
    let needed = number(needed);
    100.0 * (trial.evidence.totals.prefill as f64 - needed) / needed.max(1.0)
}

/// Measures of how often requests ran.
fn runs(trial: &Trial<'_>) -> [(Measure, f64); 4] {
    let (mut doubled, mut twice, mut lost, mut untrue) = (0, 0, 0, 0);
    for outcome in trial.outcomes {
        let (count, booking) = match &outcome.shot.record.ask {
            Ask::Chat { prompt, .. } => {
                let name = answer_text::prompt_key(prompt);
                (trial.evidence.prompts.get(&name), false)
            }
            Ask::Call { method, target } => {
                let name = format!("{method} {target}");
                let booking = !outcome.shot.route.idempotent;
                (trial.evidence.calls.get(&name), booking)
            }
        };
        let count = count.copied().unwrap_or_default();
        doubled += usize::from(count > 1);
        twice += usize::from(booking && count > 1);
        lost += usize::from(booking && count == 0 && outcome.verdict == Verdict::Whole);
        untrue += usize::from(count > 0 && matches!(outcome.verdict, Verdict::Refused(_)));
    }
    [
        (Measure::DoubledRuns, number(doubled)),
        (Measure::DoubledBookings, number(twice)),
        (Measure::LostBookings, number(lost)),
        (Measure::FalseRefusals, number(untrue)),
    ]
}

fn percent(part: usize, whole: usize) -> f64 {
    100.0 * number(part) / number(whole.max(1))
}
