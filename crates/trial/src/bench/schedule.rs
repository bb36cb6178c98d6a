//! Draws the load of a scenario from a recorded trace: each team sends recorded requests at random
//! times with a given mean rate. The result depends only on the seed.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::capacity::Capacity;
use super::scenario::{LOAD_TIME, Scenario, WARM_UP_TIME};
use crate::fleet::SampleFleet;
use crate::load::ScheduledRequest;
use crate::trace::{Record, RequestKind};

/// Load during the warm-up, as a fraction of the capacity.
const WARM_UP_LOAD: f64 = 0.2;

/// Draws the requests of a scenario, in order of arrival.
pub(super) fn requests(
    fleet: SampleFleet,
    records: &[Record],
    capacity: &Capacity,
    scenario: Scenario,
    seed: u64,
) -> Vec<ScheduledRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (team, share) in fleet.teams().into_iter().zip(scenario.shares()) {
        let rate = capacity.requests() * share;
        let warm_up = arrival_times(
            Duration::ZERO,
            WARM_UP_TIME,
            rate * WARM_UP_LOAD,
            &mut random,
        );
        let end = WARM_UP_TIME + LOAD_TIME;
        let load = arrival_times(WARM_UP_TIME, end, rate * scenario.load(), &mut random);
        let drawn = draw_records(records, warm_up.len() + load.len(), &mut random);
        arrivals.extend(
            warm_up
                .into_iter()
                .chain(load)
                .zip(drawn)
                .map(|(at, record)| (at, team, record)),
        );
    }
    arrivals.sort_by_key(|(at, ..)| *at);
    let numbered = arrivals.into_iter().enumerate();
    numbered
        .filter_map(|(number, (at, team, record))| schedule_record(fleet, at, team, record, number))
        .collect()
}

fn arrival_times(
    start: Duration,
    end: Duration,
    rate: f64,
    random: &mut ChaCha8Rng,
) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = start;
    loop {
        let interval = -(1.0 - random.random::<f64>()).ln() / rate;
        at += Duration::from_secs_f64(interval);
        if at >= end {
            return times;
        }
        times.push(at);
    }
}

/// Draws records in shuffled rounds, so that all of them occur equally often.
fn draw_records<'a>(
    records: &'a [Record],
    count: usize,
    random: &mut ChaCha8Rng,
) -> Vec<&'a Record> {
    let mut drawn = Vec::new();
    while drawn.len() < count {
        let mut round: Vec<_> = records.iter().collect();
        round.shuffle(random);
        drawn.extend(round);
    }
    drawn.truncate(count);
    drawn
}

/// Schedules a record for another team. Its number makes the request distinct from all others.
fn schedule_record(
    fleet: SampleFleet,
    at: Duration,
    team: &str,
    record: &Record,
    number: usize,
) -> Option<ScheduledRequest> {
    let kind = match &record.kind {
        RequestKind::Chat {
            prompt,
            shared,
            tokens,
        } => RequestKind::Chat {
            prompt: format!("{prompt} ({number})"),
            shared: *shared,
            tokens: *tokens,
        },
        RequestKind::Call { method, target } => {
            let separator = if target.contains('?') { '&' } else { '?' };
            let target = format!("{target}{separator}number={number}");
            let method = method.clone();
            RequestKind::Call { method, target }
        }
    };
    Some(ScheduledRequest {
        at,
        route: fleet.route(&record.route)?,
        record: Record {
            at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            team: team.to_owned(),
            route: record.route.clone(),
            kind,
        },
    })
}

#[cfg(test)]
mod tests;
