//! Averages over a service's endpoints, from which the estimates of a new endpoint start.

use super::super::event_interval::EventInterval;
use super::super::latency_model::LatencyModel;

/// Bounds of the factor by which an endpoint is assumed to be slower than its service's average.
const FACTOR_RANGE: (f64, f64) = (0.5, 6.0);

/// Initial estimate of an idle endpoint's time to first byte, in milliseconds.
const DEFAULT_FIRST_BYTE_MS: f64 = 30.0;

/// Initial estimate of the prefill time per prompt token, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 0.008;

/// Averages over all endpoints of a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceBaseline {
    /// Model of the time to first byte.
    pub(super) latency: LatencyModel,
    /// Average time between two events, in milliseconds, once one has been observed.
    pub(super) interval: Option<f64>,
}

impl Default for ServiceBaseline {
    fn default() -> Self {
        Self {
            latency: LatencyModel::new(DEFAULT_FIRST_BYTE_MS, DEFAULT_TOKEN_MS),
            interval: None,
        }
    }
}

impl ServiceBaseline {
    /// Returns the initial latency model of an endpoint with the given event interval.
    pub(super) fn latency(&self, event_interval: &EventInterval) -> LatencyModel {
        let factor = self
            .interval
            .map_or(1.0, |interval| event_interval.millis() / interval);
        self.latency
            .prior(factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1))
    }
}
