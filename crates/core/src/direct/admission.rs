//! Whether a request that finds no slot waits for one, or is refused on arrival.
//!
//! The load: requests arrive faster than they start. Whoever waits and is then refused loses the
//! wait as well, so a request waits only if the forecast lets it start in time.

use std::collections::HashMap;
use std::time::Duration;

use super::placement_request::Ticket;

/// Weight of a new wait in the correction of the forecasts.
const CORRECTION_WEIGHT: f64 = 0.05;

/// Range of the correction, and of the error of one forecast that counts.
const CORRECTION_RANGE: (f64, f64) = (0.25, 4.0);

/// Part of the time left by which a forecast has to exceed it before a request is refused.
const CLEAR_EXCESS: f64 = 1.5;

/// Shortest forecast whose error tells anything.
const SHORTEST_FORECAST: Duration = Duration::from_millis(20);

/// Forecasts of waits for one service, and by how much they err.
///
/// ```
/// use std::time::Duration;
/// use comfreyhaven_core::direct::{Admission, Ticket};
///
/// let mut admission = Admission::default();
/// let (forecast, left) = (Duration::from_millis(200), Duration::from_millis(200));
/// assert!(admission.admit(Ticket(1), forecast, left));
/// // Waits take longer than they were forecast to.
/// for ticket in 2..40 {
///     admission.admit(Ticket(ticket), forecast, Duration::MAX);
///     admission.record_wait(Ticket(ticket), 2 * forecast);
/// }
/// assert!(!admission.admit(Ticket(40), forecast, left));
/// ```
#[derive(Debug)]
pub struct Admission {
    /// Average ratio of the waits to their forecasts.
    correction: f64,
    /// Forecasts of the requests that wait.
    forecasts: HashMap<Ticket, Duration>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            correction: 1.0,
            forecasts: HashMap::new(),
        }
    }
}

impl Admission {
    /// Returns whether a request waits whose start is forecast after `forecast`, and may be after
    /// `left`.
    pub fn admit(&mut self, ticket: Ticket, forecast: Duration, left: Duration) -> bool {
        if forecast.as_secs_f64() * self.correction > left.as_secs_f64() * CLEAR_EXCESS {
            return false;
        }
        self.forecasts.insert(ticket, forecast);
        true
    }

    /// Records how long an admitted request has waited until it started, or was refused after all.
    pub fn record_wait(&mut self, ticket: Ticket, waited: Duration) {
        let Some(forecast) = self.forecasts.remove(&ticket) else {
            return;
        };
        if forecast < SHORTEST_FORECAST {
            return;
        }
        let (least, most) = CORRECTION_RANGE;
        let ratio = (waited.as_secs_f64() / forecast.as_secs_f64()).clamp(least, most);
        self.correction += CORRECTION_WEIGHT * (ratio - self.correction);
    }

    /// Forgets a request that waits no longer because its caller has left.
    pub fn forget(&mut self, ticket: Ticket) {
        self.forecasts.remove(&ticket);
    }
}
