//! One exact bucket for the whole fleet.

use std::collections::HashMap;

use comfreyhaven_core::{RequestId, Timestamp};

use crate::fleet::RATE;

/// Charges in the order of time. A refund counts from the time of its charge, by replay.
pub struct Bucket {
    burst: f64,
    charges: Vec<(Timestamp, RequestId, u64)>,
    index: HashMap<RequestId, usize>,
    /// Charges that are settled, and the level after them.
    base: (usize, Timestamp, f64),
}

impl Bucket {
    /// A full bucket.
    pub fn new(burst: u64) -> Self {
        Self {
            burst: burst as f64,
            charges: Vec::new(),
            index: HashMap::new(),
            base: (0, Timestamp::ZERO, burst as f64),
        }
    }

    /// The level at `now`.
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

    /// Charges a request.
    pub fn charge(&mut self, request: RequestId, tokens: u64, now: Timestamp) {
        self.index.insert(request, self.charges.len());
        self.charges.push((now, request, tokens));
    }

    /// Lowers a charge to what was used.
    pub fn refund(&mut self, request: RequestId, unused: u64) {
        if let Some(&index) = self.index.get(&request) {
            self.charges[index].2 -= unused;
        }
    }

    /// Forgets how the level came about before `time`, after which no refund goes back.
    pub fn settle(&mut self, time: Timestamp) {
        while let Some(&(charged, _, tokens)) = self.charges.get(self.base.0)
            && charged < time
        {
            let level = self.fill(self.base.2, self.base.1, charged) - tokens as f64;
            self.base = (self.base.0 + 1, charged, level);
        }
    }
}
