//! What requests are expected to take, learnt from runs that ended whole.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::RouteName;
use crate::request::Cost;

/// Share of an earlier average that one observation replaces, as a divisor.
const DECAY: u64 = 16;

/// A moving average of a total per unit, weighted by units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Ratio {
    total: u64,
    units: u64,
}

impl Ratio {
    pub(super) fn observe(&mut self, total: u64, units: u64) {
        self.total = (self.total - self.total / DECAY).saturating_add(total);
        self.units = (self.units - self.units / DECAY).saturating_add(units.max(1));
    }

    /// The expected total of `units`, or `None` before the first observation.
    pub(super) fn of(&self, units: u64) -> Option<u64> {
        let total = u128::from(self.total) * u128::from(units);
        let expected = total.checked_div(u128::from(self.units))?;
        Some(u64::try_from(expected).unwrap_or(u64::MAX))
    }
}

/// Averages of one endpoint.
#[derive(Debug, Default)]
pub(super) struct Estimator {
    /// Microseconds to the first token per prompt token.
    first: Ratio,
    /// Microseconds per token after the first.
    gap: Ratio,
    /// Tokens generated per token allowed, by route.
    answers: HashMap<RouteName, Ratio>,
}

/// A run that ended whole.
#[derive(Debug, Clone, Copy)]
pub(super) struct Completion {
    pub(super) cost: Cost,
    /// From the start to the first token.
    pub(super) first: Duration,
    /// From the first token to the last.
    pub(super) rest: Duration,
    /// Tokens generated.
    pub(super) output: u32,
}

impl Estimator {
    pub(super) fn observe(&mut self, route: &RouteName, run: Completion) {
        self.first
            .observe(micros(run.first), u64::from(run.cost.prompt));
        self.gap.observe(micros(run.rest), u64::from(run.output));
        let answers = self.answers.entry(route.clone()).or_default();
        answers.observe(u64::from(run.output), u64::from(run.cost.output));
    }

    /// Forgets routes that are no longer declared.
    pub(super) fn retain(&mut self, declared: impl Fn(&RouteName) -> bool) {
        self.answers.retain(|route, _| declared(route));
    }

    /// Tokens that an answer is expected to have.
    pub(super) fn output(&self, route: &RouteName, cost: Cost) -> u64 {
        let allowed = u64::from(cost.output);
        let learnt = self.answers.get(route).and_then(|ratio| ratio.of(allowed));
        learnt.unwrap_or(allowed)
    }

    /// Time that a request is expected to take once it runs; zero before anything was learnt.
    pub(super) fn service(&self, route: &RouteName, cost: Cost) -> Duration {
        let first = self.first.of(u64::from(cost.prompt)).unwrap_or(0);
        let rest = self.gap.of(self.output(route, cost)).unwrap_or(0);
        Duration::from_micros(first.saturating_add(rest))
    }

    /// Time per token after the first, as last learnt.
    pub(super) fn gap(&self) -> Option<Duration> {
        self.gap.of(1).map(Duration::from_micros)
    }
}

pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
