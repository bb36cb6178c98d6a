//! Adaptive limit on the number of requests that run at the endpoint at once.
//!
//! A cold endpoint fails under full load, so the limit starts at the declared cold capacity and
//! rises with completed runs up to the warm capacity. In between it follows the endpoint's speed:
//! it falls when a latency exceeds both its target and a multiple of the lowest average that the
//! endpoint has reached.

use std::time::Duration;

use serde::Serialize;
use strum::IntoStaticStr;

use super::estimate::micros;
use super::latency::LatencyAverage;
use super::policy::{Growth, Pacing, Policy};
use crate::fleet::Endpoint;

/// Token interval above which the endpoint may count as slow.
const TOKEN_GAP_TARGET: Duration = Duration::from_millis(77);

/// Time to first token above which the endpoint may count as slow.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(840);

/// Number of consecutive outliers in time to first token after which the endpoint counts as cold.
const OUTLIER_LIMIT: u32 = 3;

/// Tokens added to the length of each prompt when times to first token are scaled by prompt length,
/// for the part of the time that does not depend on the length.
const PROMPT_BASE_TOKENS: u64 = 64;

/// Completed runs required at the cold limit before it rises, as a multiple of that limit.
const COLD_ROUNDS: u32 = 4;

/// Largest multiple of [`COLD_ROUNDS`], reached by repeated failures while the limit rose.
const COLD_FACTOR_LIMIT: u32 = 16;

/// Percentage of the limit that remains when the endpoint is slow.
const BACKOFF_PERCENT: u32 = 80;

/// Reason for the present value of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum LimitCause {
    /// The endpoint or its agent has just started.
    Started,
    /// The endpoint's boot identifier changed.
    Restarted,
    /// The endpoint does not answer probes.
    Unreachable,
    /// A run ended with a broken connection or an incomplete answer.
    Broken,
    /// The endpoint rejected a request.
    Refused,
    /// Times to first token were several times longer than before.
    SlowStart,
    /// Completed runs are raising the limit.
    Rising,
    /// Tokens arrive too slowly.
    Slow,
    /// The limit is at the declared warm capacity.
    Warm,
}

/// Limit on concurrent requests, by number and by KV tokens.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    policy: Policy,
    cold: u32,
    warm: u32,
    tokens: u64,
    limit: u32,
    cause: LimitCause,
    /// Completed runs since the limit changed.
    completions: u32,
    /// Speed samples since the limit was lowered.
    samples: u32,
    /// Completed runs still required before the cold limit rises.
    cold_runs: u32,
    /// Multiple of the runs required at the cold limit. Doubles with each failure while the limit
    /// was rising.
    cold_factor: u32,
    token_gap: LatencyAverage,
    first_token: LatencyAverage,
    outliers: u32,
}

impl ConcurrencyLimit {
    /// Creates the limit of an endpoint that has just started.
    #[must_use]
    pub fn new(endpoint: &Endpoint, policy: Policy) -> Self {
        let cold = endpoint.cold.min(endpoint.warm).max(1);
        let mut limiter = Self {
            policy,
            cold,
            warm: endpoint.warm.max(1),
            tokens: endpoint.tokens,
            limit: cold,
            cause: LimitCause::Started,
            completions: 0,
            samples: 0,
            cold_runs: 0,
            cold_factor: 1,
            token_gap: LatencyAverage::default(),
            first_token: LatencyAverage::default(),
            outliers: 0,
        };
        limiter.reset_to_cold(LimitCause::Started);
        limiter
    }

    /// Applies a changed declaration, without treating the endpoint as restarted.
    pub fn configure(&mut self, endpoint: &Endpoint) {
        self.cold = endpoint.cold.min(endpoint.warm).max(1);
        self.warm = endpoint.warm.max(1);
        self.tokens = endpoint.tokens;
        self.limit = self.limit.clamp(self.cold, self.warm);
    }

    /// Returns whether one more request of `cost` tokens fits beside `running` requests of `used`
    /// tokens.
    ///
    /// A request larger than the whole cache may still run alone.
    #[must_use]
    pub fn fits(&self, running: u32, used: u64, cost: u64) -> bool {
        running < self.limit && (running == 0 || self.tokens == 0 || used + cost <= self.tokens)
    }

    /// Records a complete answer, and raises the limit if the endpoint is not slow.
    pub fn on_completion(&mut self) {
        self.completions = self.completions.saturating_add(1);
        if self.cold_runs > 0 {
            self.cold_runs -= 1;
            return;
        }
        if self.is_slow() {
            return;
        }
        let required = match self.policy.growth {
            Growth::Multiplicative if self.cause != LimitCause::Slow => 1,
            Growth::Delayed if self.cause != LimitCause::Slow => self.limit.div_ceil(2),
            _ => self.limit,
        };
        if self.completions >= required && self.limit < self.warm {
            self.set(self.limit + 1, self.cause);
        }
        if self.limit == self.warm {
            (self.cause, self.cold_factor) = (LimitCause::Warm, 1);
        } else if self.cause != LimitCause::Slow {
            self.cause = LimitCause::Rising;
        }
    }

    /// Records the time to first token for a prompt of the given length. Several outliers in a row
    /// reset the limit to the cold capacity.
    pub fn on_first_token(&mut self, time: Duration, prompt: u32) {
        let base = u64::from(prompt) + PROMPT_BASE_TOKENS;
        let scaled = micros(time) * PROMPT_BASE_TOKENS / base;
        let outlier = self.policy.pacing == Pacing::Adaptive && self.first_token.is_outlier(scaled);
        if outlier && time > FIRST_TOKEN_TARGET {
            self.outliers += 1;
            if self.outliers >= OUTLIER_LIMIT {
                self.first_token = LatencyAverage::default();
                self.reset_to_cold(LimitCause::SlowStart);
            }
            return;
        }
        self.outliers = 0;
        self.first_token.observe(scaled, micros(time));
        self.lower_if_slow();
    }

    /// Records the mean interval between some tokens.
    pub fn on_token_gap(&mut self, gap: Duration) {
        self.token_gap.observe(micros(gap), micros(gap));
        self.lower_if_slow();
    }

    /// Resets the limit to the cold capacity.
    pub fn reset_to_cold(&mut self, cause: LimitCause) {
        let failed = !matches!(cause, LimitCause::Started | LimitCause::SlowStart);
        if failed && self.cause == LimitCause::Rising {
            self.cold_factor = (self.cold_factor * 2).min(COLD_FACTOR_LIMIT);
        }
        self.set(self.cold, cause);
        self.outliers = 0;
        self.cold_runs = match self.policy.growth {
            Growth::Delayed => self.cold * COLD_ROUNDS * self.cold_factor,
            Growth::Multiplicative | Growth::Additive => 0,
        };
    }

    /// Returns the number of concurrent requests that the endpoint can currently handle.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the reason for the present value of the limit.
    #[must_use]
    pub fn cause(&self) -> LimitCause {
        self.cause
    }

    /// Returns whether the limit is at the declared warm capacity.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit == self.warm
    }

    fn is_slow(&self) -> bool {
        self.policy.pacing == Pacing::Adaptive
            && (self.token_gap.exceeds(TOKEN_GAP_TARGET)
                || self.first_token.exceeds(FIRST_TOKEN_TARGET))
    }

    /// Lowers the limit of a slow endpoint, at most once in as many samples as the limit.
    fn lower_if_slow(&mut self) {
        self.samples = self.samples.saturating_add(1);
        if self.is_slow() && self.samples >= self.limit && self.limit > self.cold {
            let lowered = self.limit * BACKOFF_PERCENT / 100;
            self.set(lowered.max(self.cold), LimitCause::Slow);
            self.samples = 0;
        }
    }

    fn set(&mut self, limit: u32, cause: LimitCause) {
        (self.limit, self.cause, self.completions) = (limit, cause, 0);
    }
}
