//! The recorded load, drawn again at a given rate: each team's requests arrive at random times that
//! depend only on the seed.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::capacity::Capacity;
use super::scenario::{LOAD_TIME, Scenario, WARM_TIME};
use crate::fleet::Deployed;
use crate::load::Shot;
use crate::trace::{Ask, Record};

/// Load in the warming time, as a part of the capacity.
const WARM_LOAD: f64 = 0.2;

/// The requests of a scenario, in order of arrival.
pub(super) fn shots(
    deployed: Deployed,
    records: &[Record],
    capacity: &Capacity,
    scenario: Scenario,
    seed: u64,
) -> Vec<Shot> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (team, share) in deployed.teams().into_iter().zip(scenario.shares()) {
        let rate = capacity.requests() * share;
        let warm = times(Duration::ZERO, WARM_TIME, rate * WARM_LOAD, &mut random);
        let end = WARM_TIME + LOAD_TIME;
        let load = times(WARM_TIME, end, rate * scenario.load(), &mut random);
        let drawn = draw(records, warm.len() + load.len(), &mut random);
        arrivals.extend(
            warm.into_iter()
                .chain(load)
                .zip(drawn)
                .map(|(at, record)| (at, team, record)),
        );
    }
    arrivals.sort_by_key(|(at, ..)| *at);
    let numbered = arrivals.into_iter().enumerate();
    numbered
        .filter_map(|(number, (at, team, record))| shot(deployed, at, team, record, number))
        .collect()
}

fn times(start: Duration, end: Duration, rate: f64, random: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = start;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        at += Duration::from_secs_f64(gap);
        if at >= end {
            return times;
        }
        times.push(at);
    }
}

/// Draws records so that each comes as often as any other.
fn draw<'a>(records: &'a [Record], count: usize, random: &mut ChaCha8Rng) -> Vec<&'a Record> {
    let mut drawn = Vec::new();
    while drawn.len() < count {
        let mut round: Vec<_> = records.iter().collect();
        round.shuffle(random);
        drawn.extend(round);
    }
    drawn.truncate(count);
    drawn
}

/// A record as another team sends it, told from all others by its number.
fn shot(
    deployed: Deployed,
    at: Duration,
    team: &str,
    record: &Record,
    number: usize,
) -> Option<Shot> {
    let ask = match &record.ask {
        Ask::Chat {
            prompt,
            shared,
            tokens,
        } => Ask::Chat {
            prompt: format!("{prompt} ({number})"),
            shared: *shared,
            tokens: *tokens,
        },
        Ask::Call { method, target } => {
            let mark = if target.contains('?') { '&' } else { '?' };
            let target = format!("{target}{mark}number={number}");
            let method = method.clone();
            Ask::Call { method, target }
        }
    };
    Some(Shot {
        at,
        route: deployed.route(&record.route)?,
        record: Record {
            at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            team: team.to_owned(),
            route: record.route.clone(),
            ask,
        },
    })
}

#[cfg(test)]
mod tests;
