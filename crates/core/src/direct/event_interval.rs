//! The time between two events of an endpoint's answers.
//!
//! Some endpoints take four times as long per event as others. An entry seldom sends to a slow
//! endpoint and would notice its slowness only after long answers. It therefore uses the interval
//! that peers report until it has observed one itself, and observes answers while they arrive,
//! because the slowest ones never complete.

/// Weight of a new observation in the average interval.
const OBSERVATION_WEIGHT: f64 = 0.15;

/// Initial estimate of the time between two events, in milliseconds.
const DEFAULT_MS: f64 = 25.0;

/// Units of reported intervals per millisecond.
const REPORT_UNITS_PER_MS: f64 = 10.0;

/// Source of an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Baseline,
    Reported,
    Observed,
}

/// Time between two events of an endpoint's answers.
#[derive(Debug, Clone, Copy)]
pub struct EventInterval {
    millis: f64,
    origin: Origin,
}

impl EventInterval {
    /// Creates the interval of a new endpoint from the average of its service, `baseline`.
    #[must_use]
    pub fn new(baseline: Option<f64>) -> Self {
        Self {
            millis: baseline.unwrap_or(DEFAULT_MS),
            origin: Origin::Baseline,
        }
    }

    /// Adds an observation in milliseconds.
    pub fn observe(&mut self, millis: f64) {
        if self.origin == Origin::Baseline {
            self.millis = millis;
        }
        self.millis += OBSERVATION_WEIGHT * (millis - self.millis);
        self.origin = Origin::Observed;
    }

    /// Takes an interval that a peer reported with [`EventInterval::reported`]. Returns whether it
    /// was used.
    pub fn accept_reported(&mut self, reported: u16) -> bool {
        if reported == 0 || self.origin == Origin::Observed {
            return false;
        }
        self.millis = f64::from(reported) / REPORT_UNITS_PER_MS;
        self.origin = Origin::Reported;
        true
    }

    /// Sets the interval to the average of the service's endpoints, unless one has been observed or
    /// reported.
    pub fn set_baseline(&mut self, baseline: f64) {
        if self.origin == Origin::Baseline {
            self.millis = baseline;
        }
    }

    /// Returns the milliseconds between two events.
    #[must_use]
    pub const fn millis(&self) -> f64 {
        self.millis
    }

    /// Returns the interval for reports, in tenths of milliseconds, or 0 if this entry has observed
    /// none.
    #[must_use]
    pub fn reported(&self) -> u16 {
        if self.origin != Origin::Observed {
            return 0;
        }
        (self.millis * REPORT_UNITS_PER_MS).clamp(1.0, f64::from(u16::MAX)) as u16
    }
}
