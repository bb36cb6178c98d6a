//! Load pattern: one team sends many times its usual through every entry at once.
//!
//! Each entry counts what the whole team used in the last window: what it lets in itself and what its
//! peers say they let in. A window holds the rate over its length and the burst. The part of a peer
//! that has fallen silent is left to it, since it may still run.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Steps in which a window is counted.
const STEPS: u32 = 40;

/// A request is over its team's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("over the team's rate; enough is there in {refill:?}")]
pub struct Excess {
    /// When the window would have room.
    pub refill: Duration,
}

/// One team's use of its rate, in its units.
#[derive(Debug)]
pub struct Allowance {
    rate: u64,
    burst: u64,
    window: Duration,
    steps: VecDeque<(Timestamp, i64)>,
    used: i64,
}

impl Allowance {
    /// The allowance of a team that is first seen at `now`. Others may have used its rate before:
    /// the window begins as if they had.
    #[must_use]
    pub fn new(rate: u64, burst: u64, window: Duration, now: Timestamp) -> Self {
        let span = window / STEPS;
        let units = (rate as f64 * span.as_secs_f64()) as i64;
        let begin = now.as_micros().saturating_sub(window.as_micros() as u64);
        let begin = Timestamp::from_micros(begin);
        let steps: VecDeque<_> = (1..=STEPS).map(|step| (begin + span * step, units)).collect();
        Self {
            rate,
            burst,
            window,
            used: units * steps.len() as i64,
            steps,
        }
    }

    /// Takes another rate and burst.
    pub const fn configure(&mut self, rate: u64, burst: u64) {
        (self.rate, self.burst) = (rate, burst);
    }

    fn limit(&self, part: f64) -> i64 {
        let whole = self.rate as f64 * self.window.as_secs_f64() + self.burst as f64;
        (whole * part) as i64
    }

    fn trim(&mut self, now: Timestamp) {
        while let Some(&(begin, units)) = self.steps.front()
            && begin + self.window <= now
        {
            self.used -= units;
            self.steps.pop_front();
        }
    }

    fn add(&mut self, units: i64, now: Timestamp) {
        self.used += units;
        let span = self.window / STEPS;
        match self.steps.back_mut() {
            Some((begin, sum)) if now < *begin + span => *sum += units,
            _ => self.steps.push_back((now, units)),
        }
    }

    /// Takes `units`. `part` is the part of the rate that entries which can be heard may use.
    ///
    /// # Errors
    /// Returns an [`Excess`] if the window has no room.
    pub fn take(&mut self, units: u64, part: f64, now: Timestamp) -> Result<(), Excess> {
        if self.rate == 0 {
            return Ok(());
        }
        self.trim(now);
        let units = i64::try_from(units).unwrap_or(i64::MAX / 4);
        // A request that is larger than a whole window may run in an empty one.
        let need = units.min(self.limit(part));
        let over = self.used + need - self.limit(part);
        if over > 0 {
            return Err(Excess {
                refill: self.refill(over, now),
            });
        }
        self.add(units, now);
        Ok(())
    }

    /// When `over` units will have left the window.
    fn refill(&self, over: i64, now: Timestamp) -> Duration {
        let mut left = over;
        for (begin, units) in &self.steps {
            left -= units;
            if left <= 0 {
                return (*begin + self.window).since(now);
            }
        }
        self.window
    }

    /// Counts what a peer let in, or gave back, and what this entry gives back.
    pub fn note(&mut self, units: i64, now: Timestamp) {
        self.trim(now);
        self.add(units, now);
    }
}
