//! What an agent shows of itself on request.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Agent;
use crate::agent::queue::QueueDepth;
use crate::agent::slots::{LimitCause, Slots};
use crate::id::Generation;
use crate::refusal::{NotRunReason, ReturnReason};

/// Counts of events by reason since the process started.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Tally<R: Ord>(BTreeMap<R, u64>);

impl<R: Ord> Default for Tally<R> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<R: Ord> Tally<R> {
    pub(super) fn count(&mut self, reason: R) {
        *self.0.entry(reason).or_default() += 1;
    }
}

/// The state of an agent, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct AgentState {
    boot: String,
    generations: BTreeMap<String, Generation>,
    configured: bool,
    /// Requests that the endpoint bears now.
    limit: u32,
    /// Why the limit is where it is.
    cause: Option<LimitCause>,
    warm: bool,
    running: usize,
    /// Runs at the endpoint that this process did not start.
    inherited: u32,
    offers: usize,
    /// KV tokens that runs and offers hold at most.
    held: u64,
    queue: Vec<QueueDepth>,
    /// Mean time of recent runs, in microseconds.
    service: Option<u64>,
    /// Mean time between tokens, in microseconds.
    gap: Option<u64>,
    returns: Tally<ReturnReason>,
    rejections: Tally<NotRunReason>,
    endpoint: Option<u64>,
    leaving: bool,
}

impl Agent {
    /// The agent's state for operators.
    #[must_use]
    pub fn state(&self) -> AgentState {
        let gap = self.estimator.gap();
        AgentState {
            boot: self.offers.boot().to_string(),
            generations: self.fleet.generations.clone(),
            configured: self.slots.is_some(),
            limit: self.slots.as_ref().map_or(0, Slots::limit),
            cause: self.slots.as_ref().map(Slots::cause),
            warm: self.slots.as_ref().is_some_and(Slots::is_warm),
            running: self.running.len(),
            inherited: self.inherited.runs(),
            offers: self.offers.len(),
            held: self.held_tokens(),
            queue: self.queue.depths(),
            service: self.served.of(1),
            gap: gap.and_then(|gap| u64::try_from(gap.as_micros()).ok()),
            returns: self.returns.clone(),
            rejections: self.rejections.clone(),
            endpoint: self.endpoint,
            leaving: self.leaving || self.listed,
        }
    }
}
