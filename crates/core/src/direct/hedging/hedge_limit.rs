//! Limit on the hedges of one entry for one service.
//!
//! Each entry sends a part of its own requests once more. The hedges of all entries are then within
//! that part of all requests without any message, whichever entries run.

/// Hedges that an entry may save up, so that it does not send many at once after a calm time.
const BALANCE_MAX: f64 = 10.0;

/// Hedges that an entry may send for a service.
///
/// ```
/// use comfreyhaven_core::direct::HedgeLimit;
///
/// let mut limit = HedgeLimit::default();
/// assert!(!limit.take(0.5), "nothing is saved at a start");
/// limit.record_request();
/// limit.record_request();
/// assert!(limit.take(0.5));
/// assert!(!limit.take(0.5));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct HedgeLimit {
    /// Hedges saved up when requests were last converted.
    balance: f64,
    /// Requests since then.
    requests: u32,
}

impl HedgeLimit {
    /// Counts a request.
    pub const fn record_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Takes a hedge, of which `part` are allowed for each request. Returns whether there was one.
    pub fn take(&mut self, part: f64) -> bool {
        let requests = f64::from(std::mem::take(&mut self.requests));
        self.balance = (self.balance + part * requests).min(BALANCE_MAX);
        let is_left = self.balance >= 1.0;
        if is_left {
            self.balance -= 1.0;
        }
        is_left
    }
}
