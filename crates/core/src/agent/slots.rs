//! How much the endpoint bears.
//!
//! A cold endpoint falls over under full load, so the limit starts at the declared cold bearing and
//! rises by completions, up to the warm bearing. Between the two it follows the endpoint's speed: it
//! falls when tokens come more slowly than they must and than the endpoint can.

use std::time::Duration;

use serde::Serialize;
use strum::IntoStaticStr;

use super::estimate::micros;
use super::policy::{Growth, Pacing, Policy};
use super::signal::Signal;
use crate::fleet::Endpoint;

/// Time between tokens above which the endpoint is slow.
const GAP_TARGET: Duration = Duration::from_millis(77);

/// Time to the first token above which the endpoint is slow.
const FIRST_TARGET: Duration = Duration::from_millis(840);

/// First tokens in a row that come much too late, after which the endpoint counts as cold.
const LEAP_LENGTH: u32 = 3;

/// Prompt tokens added to each prompt when first-token times are compared.
const PROMPT_BASE: u64 = 64;

/// Completions at the cold limit before it rises, as a multiple of that limit.
const HOLD_ROUNDS: u32 = 4;

/// Largest multiple of [`HOLD_ROUNDS`] that failures while cold lead to.
const HOLD_FACTOR_LIMIT: u32 = 16;

/// Part of the limit that is left when the endpoint is slow, in percent.
const BACKOFF_PERCENT: u32 = 80;

/// Why the limit is where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum LimitCause {
    /// The endpoint or its agent has just started.
    Started,
    /// The endpoint's boot identifier changed.
    Restarted,
    /// The endpoint does not answer its probes.
    Unreachable,
    /// A run broke off.
    Broken,
    /// The endpoint refused a request.
    Refused,
    /// First tokens came several times later than before.
    SlowStart,
    /// Completions raise it.
    Rising,
    /// Tokens come too slowly.
    Slow,
    /// It is at the declared warm bearing.
    Warm,
}

/// Limit on what runs at once, by requests and by KV tokens.
#[derive(Debug, Clone)]
pub struct Slots {
    policy: Policy,
    cold: u32,
    warm: u32,
    tokens: u64,
    limit: u32,
    cause: LimitCause,
    /// Completions since the limit changed.
    completions: u32,
    /// Observations of speed since the limit was lowered.
    settled: u32,
    /// Completions that the cold limit still waits for.
    hold: u32,
    /// Multiple of the hold, raised by failures while the limit rose.
    factor: u32,
    gap: Signal,
    first: Signal,
    late: u32,
}

impl Slots {
    /// The limit of an endpoint that has just started.
    #[must_use]
    pub fn new(endpoint: &Endpoint, policy: Policy) -> Self {
        let cold = endpoint.cold.min(endpoint.warm).max(1);
        let mut slots = Self {
            policy,
            cold,
            warm: endpoint.warm.max(1),
            tokens: endpoint.tokens,
            limit: cold,
            cause: LimitCause::Started,
            completions: 0,
            settled: 0,
            hold: 0,
            factor: 1,
            gap: Signal::default(),
            first: Signal::default(),
            late: 0,
        };
        slots.cool(LimitCause::Started);
        slots
    }

    /// Takes a changed declaration without warming or cooling the endpoint.
    pub fn configure(&mut self, endpoint: &Endpoint) {
        self.cold = endpoint.cold.min(endpoint.warm).max(1);
        self.warm = endpoint.warm.max(1);
        self.tokens = endpoint.tokens;
        self.limit = self.limit.clamp(self.cold, self.warm);
    }

    /// Whether one more request of `cost` tokens fits beside `running` requests of `used` tokens.
    ///
    /// A request that is larger than the whole cache may still run alone.
    #[must_use]
    pub fn fits(&self, running: u32, used: u64, cost: u64) -> bool {
        running < self.limit && (running == 0 || self.tokens == 0 || used + cost <= self.tokens)
    }

    /// Learns from a whole answer, and raises the limit if the endpoint is not slow.
    pub fn on_whole(&mut self) {
        self.completions = self.completions.saturating_add(1);
        if self.hold > 0 {
            self.hold -= 1;
            return;
        }
        if self.is_slow() {
            return;
        }
        let wanted = match self.policy.growth {
            Growth::Multiplicative if self.cause != LimitCause::Slow => 1,
            Growth::Held if self.cause != LimitCause::Slow => self.limit.div_ceil(2),
            _ => self.limit,
        };
        if self.completions >= wanted && self.limit < self.warm {
            self.set(self.limit + 1, self.cause);
        }
        if self.limit == self.warm {
            (self.cause, self.factor) = (LimitCause::Warm, 1);
        } else if self.cause != LimitCause::Slow {
            self.cause = LimitCause::Rising;
        }
    }

    /// Learns the time from start to first token of a prompt. A leap makes the endpoint cold.
    pub fn on_first_token(&mut self, time: Duration, prompt: u32) {
        let base = u64::from(prompt) + PROMPT_BASE;
        let scaled = micros(time) * PROMPT_BASE / base;
        let leaps = self.policy.pacing == Pacing::Adaptive && self.first.is_leap(scaled);
        if leaps && time > FIRST_TARGET {
            self.late += 1;
            if self.late >= LEAP_LENGTH {
                self.first = Signal::default();
                self.cool(LimitCause::SlowStart);
            }
            return;
        }
        self.late = 0;
        self.first.observe(scaled, micros(time));
        self.pace();
    }

    /// Learns the time that each of some tokens took.
    pub fn on_gap(&mut self, gap: Duration) {
        self.gap.observe(micros(gap), micros(gap));
        self.pace();
    }

    /// Goes back to the cold bearing.
    pub fn cool(&mut self, cause: LimitCause) {
        let failed = !matches!(cause, LimitCause::Started | LimitCause::SlowStart);
        if failed && self.cause == LimitCause::Rising {
            self.factor = (self.factor * 2).min(HOLD_FACTOR_LIMIT);
        }
        self.set(self.cold, cause);
        self.late = 0;
        self.hold = match self.policy.growth {
            Growth::Held => self.cold * HOLD_ROUNDS * self.factor,
            Growth::Multiplicative | Growth::Additive => 0,
        };
    }

    /// Requests that the endpoint bears now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Why the limit is where it is.
    #[must_use]
    pub fn cause(&self) -> LimitCause {
        self.cause
    }

    /// Whether the endpoint bears all that it is declared to.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit == self.warm
    }

    fn is_slow(&self) -> bool {
        self.policy.pacing == Pacing::Adaptive
            && (self.gap.exceeds(GAP_TARGET) || self.first.exceeds(FIRST_TARGET))
    }

    /// Lowers the limit of a slow endpoint, once in as many observations as the limit.
    fn pace(&mut self) {
        self.settled = self.settled.saturating_add(1);
        if self.is_slow() && self.settled >= self.limit && self.limit > self.cold {
            let lowered = self.limit * BACKOFF_PERCENT / 100;
            self.set(lowered.max(self.cold), LimitCause::Slow);
            self.settled = 0;
        }
    }

    fn set(&mut self, limit: u32, cause: LimitCause) {
        (self.limit, self.cause, self.completions) = (limit, cause, 0);
    }
}
