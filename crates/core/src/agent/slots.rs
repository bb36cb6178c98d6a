//! How much the endpoint bears.
//!
//! A cold endpoint falls over under full load, so the limit starts at the declared cold bearing and
//! rises by one request for each completion, up to the warm bearing.

use crate::fleet::Endpoint;

/// Limit on what runs at once, by requests and by KV tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slots {
    cold: u32,
    warm: u32,
    tokens: u64,
    limit: u32,
}

impl Slots {
    /// The limit of an endpoint that has just started.
    #[must_use]
    pub fn new(endpoint: &Endpoint) -> Self {
        let cold = endpoint.cold.min(endpoint.warm).max(1);
        Self {
            cold,
            warm: endpoint.warm.max(1),
            tokens: endpoint.tokens,
            limit: cold,
        }
    }

    /// Takes a changed declaration without warming or cooling the endpoint.
    pub fn configure(&mut self, endpoint: &Endpoint) {
        let limit = self.limit;
        *self = Self::new(endpoint);
        self.limit = limit.clamp(self.cold, self.warm);
    }

    /// Whether one more request of `cost` tokens fits beside `running` requests of `used` tokens.
    ///
    /// A request that is larger than the whole cache may still run alone.
    #[must_use]
    pub fn fits(&self, running: u32, used: u64, cost: u64) -> bool {
        running < self.limit && (running == 0 || self.tokens == 0 || used + cost <= self.tokens)
    }

    /// Raises the limit after a whole answer.
    pub fn on_whole(&mut self) {
        self.limit = (self.limit + 1).min(self.warm);
    }

    /// Goes back to the cold bearing.
    pub fn on_cold(&mut self) {
        self.limit = self.cold;
    }

    /// Requests that the endpoint bears now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the endpoint bears all that it is declared to.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        self.limit == self.warm
    }
}
