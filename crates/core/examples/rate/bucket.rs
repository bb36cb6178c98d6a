//! An exact token bucket for the whole fleet, against which the decisions of the entries are
//! checked.

use std::collections::HashMap;

use comfreyhaven_core::{RequestId, Timestamp};

use crate::fleet::RATE;

/// A token bucket that keeps its charges in order of time. A refund lowers the charge itself, so
/// the level is as if only the used tokens had been charged.
pub struct Bucket {
    burst: f64,
    charges: Vec<(Timestamp, RequestId, u64)>,
    index: HashMap<RequestId, usize>,
    /// Number of settled charges, time of the last of them, and the level after it.
    base: (usize, Timestamp, f64),
}

impl Bucket {
    /// Creates a full bucket with a capacity of `burst` tokens.
    pub fn new(burst: u64) -> Self {
        Self {
            burst: burst as f64,
            charges: Vec::new(),
            index: HashMap::new(),
            base: (0, Timestamp::ZERO, burst as f64),
        }
    }

    /// Returns the tokens in the bucket at `now`; negative if more were charged than it held.
    pub fn level(&self, now: Timestamp) -> f64 {
        let (first, mut updated, mut level) = self.base;
        for &(time, _, tokens) in &self.charges[first..] {
            level = self.fill(level, updated, time) - tokens as f64;
            updated = time;
        }
        self.fill(level, updated, now)
    }

    fn fill(&self, level: f64, from: Timestamp, to: Timestamp) -> f64 {
        (level + to.since(from).as_secs_f64() * RATE as f64).min(self.burst)
    }

    /// Charges `tokens` to a request.
    pub fn charge(&mut self, request: RequestId, tokens: u64, now: Timestamp) {
        self.index.insert(request, self.charges.len());
        self.charges.push((now, request, tokens));
    }

    /// Lowers the charge of a request by its unused tokens.
    pub fn refund(&mut self, request: RequestId, unused: u64) {
        if let Some(&index) = self.index.get(&request) {
            self.charges[index].2 -= unused;
        }
    }

    /// Folds the charges before `time` into the stored level. They can no longer be refunded.
    pub fn settle(&mut self, time: Timestamp) {
        while let Some(&(charged, _, tokens)) = self.charges.get(self.base.0)
            && charged < time
        {
            let level = self.fill(self.base.2, self.base.1, charged) - tokens as f64;
            self.base = (self.base.0 + 1, charged, level);
        }
    }
}
