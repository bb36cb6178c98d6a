//! Detection of a suspended process, which holds new work back until the process has caught up.
//!
//! The control loop schedules its next call at most [`CALL_INTERVAL`] ahead. If it is called much
//! later, the process was suspended, and its configuration may be out of date. Commands that arrive
//! are then held, in order, until the configuration is confirmed or [`HOLD_LIMIT`] has passed.

use std::time::Duration;

use crate::time::Timestamp;

#[cfg(test)]
mod tests;

/// Longest scheduled time between two calls of a control loop.
pub const CALL_INTERVAL: Duration = Duration::from_millis(200);

/// Lateness of a call from which the process counts as suspended.
pub const SUSPENSION_DELAY: Duration = Duration::from_millis(800);

/// Time for which commands are held without a confirmation.
pub const HOLD_LIMIT: Duration = Duration::from_millis(1_500);

/// Detects suspensions of one control loop and holds its commands afterwards.
///
/// ```
/// use comfreyhaven_core::Timestamp;
/// use comfreyhaven_core::suspension::SuspensionGuard;
///
/// let mut guard = SuspensionGuard::new(Timestamp::ZERO);
/// assert!(!guard.observe(Timestamp::from_millis(100)));
/// assert!(guard.observe(Timestamp::from_millis(9_000)));
/// assert_eq!(guard.admit("new work"), None);
/// assert_eq!(guard.confirm(), ["new work"]);
/// ```
#[derive(Debug)]
pub struct SuspensionGuard<T> {
    expected: Timestamp,
    hold_end: Option<Timestamp>,
    held: Vec<T>,
}

impl<T> SuspensionGuard<T> {
    /// Creates the guard of a loop that starts now.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            expected: now + CALL_INTERVAL,
            hold_end: None,
            held: Vec::new(),
        }
    }

    /// Records a call of the loop. Returns whether the process was suspended before it, so that the
    /// caller must request a confirmation.
    pub fn observe(&mut self, now: Timestamp) -> bool {
        let suspended = now >= self.expected + SUSPENSION_DELAY;
        self.expected = now + CALL_INTERVAL;
        if suspended {
            self.hold_end = Some(now + HOLD_LIMIT);
        }
        suspended
    }

    /// Returns a command that may be carried out now, or holds it and returns `None`.
    pub fn admit(&mut self, command: T) -> Option<T> {
        if self.hold_end.is_none() {
            return Some(command);
        }
        self.held.push(command);
        None
    }

    /// Ends the hold after a confirmation and returns the held commands, oldest first.
    pub fn confirm(&mut self) -> Vec<T> {
        self.hold_end = None;
        std::mem::take(&mut self.held)
    }

    /// Ends the hold and returns the held commands if [`HOLD_LIMIT`] has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<T> {
        if self.hold_end.is_some_and(|until| until <= now) {
            return self.confirm();
        }
        Vec::new()
    }

    /// Returns whether commands are being held.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.hold_end.is_some()
    }

    /// Returns the time of the next call of the loop, which has requested a call at `wake`.
    pub fn wake(&mut self, wake: Timestamp, now: Timestamp) -> Timestamp {
        self.expected = now + CALL_INTERVAL;
        let wake = if self.is_holding() {
            Timestamp::NEVER
        } else {
            wake
        };
        wake.min(self.expected)
            .min(self.hold_end.unwrap_or(Timestamp::NEVER))
    }
}
