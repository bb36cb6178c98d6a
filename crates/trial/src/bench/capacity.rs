//! The fleet's capacity, by formula from how its engines behave.
//!
//! A request takes an engine `own / prefill + output * step(batch) / batch`: its own part of the
//! prompt is prefilled alone, the shared prefix is cached, and its output is decoded in full
//! batches.

use comfreyhaven_standin::engine::Spec;
use derive_more::Display;

use crate::fleet::{Deployed, ENGINES, engine_spec};
use crate::trace::{Ask, Record};

/// Bytes of prompt in one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Part of the largest answer that an engine generates on average.
const OUTPUT_MEAN: f64 = 0.75;

/// What the fleet can do of a trace's mix.
#[derive(Debug, Clone, Display)]
#[display("capacity {requests:.0} requests/s of {tokens:.0} tokens/s")]
pub(super) struct Capacity {
    requests: f64,
    tokens: f64,
}

impl Capacity {
    pub(super) fn new(deployed: Deployed, records: &[Record]) -> Self {
        let known = records
            .iter()
            .filter(|record| deployed.route(&record.route).is_some());
        let asks: Vec<_> = known.map(|record| &record.ask).collect();
        let count = number(asks.len());
        let rate = |spec: &Spec| {
            let times = asks.iter().map(|ask| seconds(ask, spec));
            count / times.sum::<f64>()
        };
        let requests = (0..ENGINES).map(engine_spec).map(|spec| rate(&spec)).sum();
        let cost = asks.iter().map(|ask| number(cost(ask))).sum::<f64>() / count;
        Self {
            requests,
            tokens: requests * cost,
        }
    }

    /// Requests a second of the mix.
    pub(super) fn requests(&self) -> f64 {
        self.requests
    }

    /// Tokens a second of the mix, as rates count them.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens as u64
    }
}

/// Tokens that a team's rate is charged before a request runs.
pub(super) fn cost(ask: &Ask) -> usize {
    match ask {
        Ask::Chat { prompt, tokens, .. } => {
            prompt.len().div_ceil(BYTES_PER_TOKEN) + *tokens as usize
        }
        Ask::Call { .. } => 1,
    }
}

/// Engine time of a request in a fleet whose engines are all of the mean kind.
pub(super) fn work(ask: &Ask) -> f64 {
    let total: f64 = (0..ENGINES)
        .map(engine_spec)
        .map(|spec| 1.0 / seconds(ask, &spec).max(f64::MIN_POSITIVE))
        .sum();
    number(ENGINES) / total
}

/// Engine time of a request.
fn seconds(ask: &Ask, spec: &Spec) -> f64 {
    let Ask::Chat {
        prompt,
        shared,
        tokens,
    } = ask
    else {
        return 0.0;
    };
    let own = number((prompt.len() - shared) / BYTES_PER_TOKEN);
    let step = spec.step_time(0, spec.batch_size).as_secs_f64();
    own / number(usize::try_from(spec.prefill_rate).unwrap_or(usize::MAX))
        + f64::from(*tokens) * OUTPUT_MEAN * step / number(spec.batch_size)
}

/// A count as a number to calculate with.
pub(super) fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
