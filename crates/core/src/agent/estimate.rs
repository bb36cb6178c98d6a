//! Estimates of output length and service time, from complete runs.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::RouteName;
use crate::request::Cost;

/// Inverse weight of a new observation in the moving average.
const DECAY_DIVISOR: u64 = 16;

/// Moving average of a total per unit, weighted by units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Ratio {
    total: u64,
    units: u64,
}

impl Ratio {
    pub(super) fn observe(&mut self, total: u64, units: u64) {
        self.total = (self.total - self.total / DECAY_DIVISOR).saturating_add(total);
        self.units = (self.units - self.units / DECAY_DIVISOR).saturating_add(units.max(1));
    }

    /// Returns the expected total for `units`, or `None` before the first observation.
    pub(super) fn expected_total(&self, units: u64) -> Option<u64> {
        let total = u128::from(self.total) * u128::from(units);
        let expected = total.checked_div(u128::from(self.units))?;
        Some(u64::try_from(expected).unwrap_or(u64::MAX))
    }
}

/// Moving averages for one endpoint.
#[derive(Debug, Default)]
pub(super) struct Estimator {
    /// Time to first token per prompt token, in microseconds.
    first_token: Ratio,
    /// Interval between tokens after the first, in microseconds.
    token_gap: Ratio,
    /// Tokens generated per token allowed, by route.
    output_ratios: HashMap<RouteName, Ratio>,
}

/// A complete run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Completion {
    pub(super) cost: Cost,
    /// Time from the start to the first token.
    pub(super) first_token: Duration,
    /// Time from the first token to the last one.
    pub(super) decode: Duration,
    /// Number of tokens generated.
    pub(super) output: u32,
}

impl Estimator {
    pub(super) fn observe(&mut self, route: &RouteName, run: Completion) {
        self.first_token
            .observe(micros(run.first_token), u64::from(run.cost.prompt));
        self.token_gap
            .observe(micros(run.decode), u64::from(run.output));
        let ratio = self.output_ratios.entry(route.clone()).or_default();
        ratio.observe(u64::from(run.output), u64::from(run.cost.output));
    }

    /// Drops routes that are no longer declared.
    pub(super) fn retain(&mut self, declared: impl Fn(&RouteName) -> bool) {
        self.output_ratios.retain(|route, _| declared(route));
    }

    /// Returns the expected number of tokens in an answer. It is the number allowed while the route
    /// has no observations.
    pub(super) fn expected_output(&self, route: &RouteName, cost: Cost) -> u64 {
        let allowed = u64::from(cost.output);
        let learned = self
            .output_ratios
            .get(route)
            .and_then(|ratio| ratio.expected_total(allowed));
        learned.unwrap_or(allowed)
    }

    /// Returns the expected run time of a request, or zero before the first observation.
    pub(super) fn service_time(&self, route: &RouteName, cost: Cost) -> Duration {
        let first = self
            .first_token
            .expected_total(u64::from(cost.prompt))
            .unwrap_or(0);
        let decode = self
            .token_gap
            .expected_total(self.expected_output(route, cost))
            .unwrap_or(0);
        Duration::from_micros(first.saturating_add(decode))
    }

    /// Returns the mean interval between tokens after the first, if known.
    pub(super) fn token_gap(&self) -> Option<Duration> {
        self.token_gap.expected_total(1).map(Duration::from_micros)
    }
}

pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
