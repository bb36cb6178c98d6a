//! Capacity of the fleet, computed from the behaviour of its engines.
//!
//! A request occupies an engine for `own / prefill + output * step(batch) / batch`: the part of the
//! prompt after the shared prefix is prefilled alone, the prefix is cached, and the output is
//! decoded in full batches.

use comfreyhaven_standin::engine::Spec;
use derive_more::Display;

use crate::fleet::{ENGINES, SampleFleet, engine_spec};
use crate::trace::{Record, RequestKind};

/// Number of prompt bytes that count as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Mean length of an answer, as a fraction of the requested limit.
const MEAN_OUTPUT_PART: f64 = 0.75;

/// Throughput that the fleet can sustain with the request mix of a trace.
#[derive(Debug, Clone, Display)]
#[display("capacity {requests:.0} requests/s of {tokens:.0} tokens/s")]
pub(super) struct Capacity {
    requests: f64,
    tokens: f64,
}

impl Capacity {
    pub(super) fn new(fleet: SampleFleet, records: &[Record]) -> Self {
        let known = records
            .iter()
            .filter(|record| fleet.route(&record.route).is_some());
        let kinds: Vec<_> = known.map(|record| &record.kind).collect();
        let count = to_f64(kinds.len());
        let rate = |spec: &Spec| {
            let times = kinds.iter().map(|kind| engine_seconds(kind, spec));
            count / times.sum::<f64>()
        };
        let requests = (0..ENGINES).map(engine_spec).map(|spec| rate(&spec)).sum();
        let cost = kinds.iter().map(|kind| to_f64(cost(kind))).sum::<f64>() / count;
        Self {
            requests,
            tokens: requests * cost,
        }
    }

    /// Returns the requests per second.
    pub(super) fn requests(&self) -> f64 {
        self.requests
    }

    /// Returns the tokens per second, counted as rate limits count them.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens as u64
    }
}

/// Returns the tokens that a request is charged before it runs.
pub(super) fn cost(kind: &RequestKind) -> usize {
    match kind {
        RequestKind::Chat { prompt, tokens, .. } => {
            prompt.len().div_ceil(BYTES_PER_TOKEN) + *tokens as usize
        }
        RequestKind::Call { .. } => 1,
    }
}

/// Returns the mean engine time of a request in seconds: the harmonic mean over all engines.
pub(super) fn engine_time(kind: &RequestKind) -> f64 {
    let total: f64 = (0..ENGINES)
        .map(engine_spec)
        .map(|spec| 1.0 / engine_seconds(kind, &spec).max(f64::MIN_POSITIVE))
        .sum();
    to_f64(ENGINES) / total
}

/// Returns the time in seconds that a request occupies an engine.
fn engine_seconds(kind: &RequestKind, spec: &Spec) -> f64 {
    let RequestKind::Chat {
        prompt,
        shared,
        tokens,
    } = kind
    else {
        return 0.0;
    };
    let own = to_f64((prompt.len() - shared) / BYTES_PER_TOKEN);
    let step = spec.step_time(0, spec.batch_size).as_secs_f64();
    own / to_f64(usize::try_from(spec.prefill_rate).unwrap_or(usize::MAX))
        + f64::from(*tokens) * MEAN_OUTPUT_PART * step / to_f64(spec.batch_size)
}

/// Converts a count, which saturates at `u32::MAX`.
pub(super) fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

#[cfg(test)]
mod tests;
