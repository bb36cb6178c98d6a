//! The state that an agent shows to operators.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Agent;
use crate::agent::concurrency::{ConcurrencyLimit, LimitCause};
use crate::agent::queue::QueueDepth;
use crate::id::Generation;
use crate::refusal::{NotRunReason, ReturnReason};

/// Number of events by reason since the process started.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ReasonCounts<R: Ord>(BTreeMap<R, u64>);

impl<R: Ord> Default for ReasonCounts<R> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<R: Ord> ReasonCounts<R> {
    pub(super) fn count(&mut self, reason: R) {
        *self.0.entry(reason).or_default() += 1;
    }
}

/// Snapshot of an agent's state, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct AgentState {
    boot: String,
    generations: BTreeMap<String, Generation>,
    configured: bool,
    /// Number of concurrent requests that the endpoint can currently handle.
    limit: u32,
    /// Why the limit has its present value.
    cause: Option<LimitCause>,
    warm: bool,
    running: usize,
    /// Requests running at the endpoint that this process did not start.
    inherited: u32,
    offers: usize,
    /// Upper bound on the KV tokens held by running and offered requests.
    held: u64,
    queue: Vec<QueueDepth>,
    /// Mean duration of recent complete runs, in microseconds.
    service: Option<u64>,
    /// Mean time between tokens, in microseconds.
    gap: Option<u64>,
    returns: ReasonCounts<ReturnReason>,
    rejections: ReasonCounts<NotRunReason>,
    endpoint: Option<u64>,
    leaving: bool,
}

impl Agent {
    /// Takes a snapshot of the agent's state for operators.
    #[must_use]
    pub fn state(&self) -> AgentState {
        let gap = self.estimator.token_gap();
        AgentState {
            boot: self.offers.boot().to_string(),
            generations: self.fleet.generations.clone(),
            configured: self.limiter.is_some(),
            limit: self.limiter.as_ref().map_or(0, ConcurrencyLimit::limit),
            cause: self.limiter.as_ref().map(ConcurrencyLimit::cause),
            warm: self.limiter.as_ref().is_some_and(ConcurrencyLimit::is_warm),
            running: self.running.len(),
            inherited: self.untracked.runs(),
            offers: self.offers.len(),
            held: self.held_tokens(),
            queue: self.queue.depths(),
            service: self.run_time.expected_total(1),
            gap: gap.and_then(|gap| u64::try_from(gap.as_micros()).ok()),
            returns: self.returns.clone(),
            rejections: self.rejections.clone(),
            endpoint: self.endpoint_boot,
            leaving: self.leaving || self.host_leaving,
        }
    }
}
