//! How long requests of each route lately waited for an offer.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::RouteName;

/// Part of the average that one wait replaces.
const SMOOTHING: u32 = 8;

/// Bounds of what a refused caller is told.
const RETRY_MIN: Duration = Duration::from_millis(250);
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Smoothed waits by route.
#[derive(Debug, Default)]
pub(super) struct Waits {
    routes: HashMap<RouteName, Duration>,
}

impl Waits {
    /// Notes that a request waited so long for the offer that it accepted.
    pub(super) fn note(&mut self, route: &RouteName, wait: Duration) {
        match self.routes.get_mut(route) {
            Some(average) => {
                *average = (*average * (SMOOTHING - 1) + wait) / SMOOTHING;
            }
            None => {
                self.routes.insert(route.clone(), wait);
            }
        }
    }

    /// When a caller that was refused may come back: once what waits now has probably run.
    pub(super) fn retry(&self, route: &RouteName) -> Duration {
        let wait = self.routes.get(route).copied().unwrap_or_default();
        wait.clamp(RETRY_MIN, RETRY_MAX)
    }
}
