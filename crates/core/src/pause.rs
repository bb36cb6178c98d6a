//! Noticing that the process was paused, and holding new work back until it knows what it missed.
//!
//! The control loop asks to be called at some time, at most [`PULSE`] ahead. If it is called much
//! later, the process did not run meanwhile, and its configuration may be out of date. What it is
//! told is then held, in order, until the configuration is confirmed or [`HOLD_LIMIT`] is over.

use std::time::Duration;

use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// Longest time between two calls of a control loop.
pub const PULSE: Duration = Duration::from_millis(200);

/// A loop that is called this much too late was paused.
pub const LEAP: Duration = Duration::from_millis(800);

/// How long commands are held without a confirmation.
pub const HOLD_LIMIT: Duration = Duration::from_millis(1_500);

/// Detects pauses of one control loop and holds its commands.
///
/// ```
/// use comfreyhaven_core::Timestamp;
/// use comfreyhaven_core::pause::PauseGuard;
///
/// let mut guard = PauseGuard::new(Timestamp::ZERO);
/// assert!(!guard.observe(Timestamp::from_millis(100)));
/// assert!(guard.observe(Timestamp::from_millis(9_000)));
/// assert_eq!(guard.admit("new work"), None);
/// assert_eq!(guard.confirm(), ["new work"]);
/// ```
#[derive(Debug)]
pub struct PauseGuard<T> {
    expected: Timestamp,
    until: Option<Timestamp>,
    held: Vec<T>,
}

impl<T> PauseGuard<T> {
    /// A guard of a loop that starts now.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            expected: now + PULSE,
            until: None,
            held: Vec::new(),
        }
    }

    /// Notes that the loop was called. Tells whether it was paused, so that a confirmation must be
    /// asked for.
    pub fn observe(&mut self, now: Timestamp) -> bool {
        let paused = now >= self.expected + LEAP;
        self.expected = now + PULSE;
        if paused {
            self.until = Some(now + HOLD_LIMIT);
        }
        paused
    }

    /// Gives a command back if it may be carried out now, or holds it.
    pub fn admit(&mut self, command: T) -> Option<T> {
        if self.until.is_none() {
            return Some(command);
        }
        self.held.push(command);
        None
    }

    /// The configuration is confirmed: gives the held commands, oldest first.
    pub fn confirm(&mut self) -> Vec<T> {
        self.until = None;
        std::mem::take(&mut self.held)
    }

    /// Gives the held commands if they have waited long enough.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        if self.until.is_some_and(|until| until <= now) {
            return self.confirm();
        }
        Vec::new()
    }

    /// Whether commands are held.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.until.is_some()
    }

    /// When the loop must be called, if it asks for `wake`.
    pub fn wake(&mut self, wake: Timestamp, now: Timestamp) -> Timestamp {
        self.expected = now + PULSE;
        let wake = if self.is_holding() {
            Timestamp::NEVER
        } else {
            wake
        };
        wake.min(self.expected)
            .min(self.until.unwrap_or(Timestamp::NEVER))
    }
}
