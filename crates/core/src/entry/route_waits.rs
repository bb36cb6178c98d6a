//! Average time for which requests of each route wait for an offer, from which retry delays are
//! derived.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::RouteName;

/// Divisor of the exponential average: each new wait has a weight of one eighth.
const WAIT_AVERAGE_DIVISOR: u32 = 8;

/// Bounds of the retry delay sent to refused callers.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(250);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(30);

/// Exponential average of the wait, by route.
#[derive(Debug, Default)]
pub(super) struct RouteWaits {
    routes: HashMap<RouteName, Duration>,
}

impl RouteWaits {
    /// Records the wait of a request until the offer that it accepted.
    pub(super) fn record(&mut self, route: &RouteName, wait: Duration) {
        match self.routes.get_mut(route) {
            Some(average) => {
                *average = (*average * (WAIT_AVERAGE_DIVISOR - 1) + wait) / WAIT_AVERAGE_DIVISOR;
            }
            None => {
                self.routes.insert(route.clone(), wait);
            }
        }
    }

    /// Returns the delay after which a refused caller may retry. By then the requests that wait now
    /// have probably run.
    pub(super) fn retry_delay(&self, route: &RouteName) -> Duration {
        let wait = self.routes.get(route).copied().unwrap_or_default();
        wait.clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX)
    }
}
