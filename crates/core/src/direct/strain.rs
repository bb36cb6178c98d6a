//! Load pattern: the entry itself is short of processor time, by a small share of a core, a quota that
//! stops it for parts of a tenth of a second, or a host that has turned slow.
//!
//! A timer that comes late shows how long everything waits here. The later it comes, the more urgent a
//! request has to be to be taken in: turning away early and cheaply keeps what is taken in on time.

use std::time::Duration;

/// Part of a new lag in the average. It rises at once and falls slowly.
const FALL: f64 = 0.1;

/// Lag from which requests of each rank are turned away: the lowest ranks, then the middle, then all.
const LIMITS: [Duration; 3] = [
    Duration::from_millis(700),
    Duration::from_millis(350),
    Duration::from_millis(180),
];

/// How late the process runs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Strain {
    lag: f64,
}

impl Strain {
    /// Notes by how much a timer came late.
    pub fn note(&mut self, late: Duration) {
        let late = late.as_secs_f64();
        self.lag = if late > self.lag {
            // One late timer may be a pause that is over: two in a row are not.
            (self.lag + late) / 2.0
        } else {
            self.lag + FALL * (late - self.lag)
        };
    }

    /// The lag that is reckoned with.
    #[must_use]
    pub fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.lag)
    }

    /// Whether a request of a rank is turned away.
    #[must_use]
    pub fn refuses(&self, rank: u8) -> bool {
        let limit = LIMITS[usize::from(rank).min(LIMITS.len() - 1)];
        self.lag() > limit
    }
}
