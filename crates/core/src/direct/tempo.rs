//! Load pattern: long answers, and endpoints that take four times as long for each event as others.
//!
//! An entry seldom sends to a slow endpoint, and would learn how slow it is only from answers that took
//! long. So it takes the word of its peers until it has seen an answer itself, and learns while answers
//! come, not when they are whole: those that never get whole tell most.

/// Part of a new sighting in a learnt time between events.
const GAIN: f64 = 0.15;

/// Time between two events of an answer, in milliseconds, before anything is learnt.
const FIRST_MS: f64 = 25.0;

/// Units of reports in a millisecond.
const TOLD_UNITS: f64 = 10.0;

/// From where a tempo is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Guess,
    Heard,
    Seen,
}

/// Time between two events of an endpoint's answers.
#[derive(Debug, Clone, Copy)]
pub struct Tempo {
    millis: f64,
    origin: Origin,
}

impl Tempo {
    /// The tempo of an endpoint of which nothing is known, where `usual` is that of its service.
    #[must_use]
    pub fn new(usual: Option<f64>) -> Self {
        Self {
            millis: usual.unwrap_or(FIRST_MS),
            origin: Origin::Guess,
        }
    }

    /// Takes a sighting, in milliseconds.
    pub fn see(&mut self, millis: f64) {
        if self.origin == Origin::Guess {
            self.millis = millis;
        }
        self.millis += GAIN * (millis - self.millis);
        self.origin = Origin::Seen;
    }

    /// Takes a peer's word, as [`Tempo::told`] gave it. Returns whether it is of use.
    pub fn hear(&mut self, told: u16) -> bool {
        if told == 0 || self.origin == Origin::Seen {
            return false;
        }
        self.millis = f64::from(told) / TOLD_UNITS;
        self.origin = Origin::Heard;
        true
    }

    /// Takes what is usual at the service's endpoints, if nothing else is known.
    pub fn guess(&mut self, usual: f64) {
        if self.origin == Origin::Guess {
            self.millis = usual;
        }
    }

    /// Milliseconds between two events.
    #[must_use]
    pub const fn millis(&self) -> f64 {
        self.millis
    }

    /// What peers are told: tenths of milliseconds, or 0 where this entry has seen nothing.
    #[must_use]
    pub fn told(&self) -> u16 {
        if self.origin != Origin::Seen {
            return 0;
        }
        (self.millis * TOLD_UNITS).clamp(1.0, f64::from(u16::MAX)) as u16
    }
}
