//! Limits the rate of a team over all entries.
//!
//! Each entry counts the units that the team used in the last window at all entries: those that it
//! admitted itself and those that its peers reported. A window allows the rate over its length plus
//! the burst. The part of an unresponsive peer stays reserved for it, since the peer may still be
//! running.
//!
//! Near the limit, a team's less urgent requests leave room for its urgent ones and for small ones.
//!
//! The count of the window is lost when all entries are killed at once. A token bucket therefore
//! keeps a team from using the whole window in its first second, and starts nearly empty, so that
//! the units used before and after the kill stay within the configured margin. The bucket refills
//! at the average rate that windows allow, so that it refuses only bursts where the window has
//! room.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Number of steps in which a window is counted.
const WINDOW_STEPS: u32 = 40;

/// Size of a bucket, as a part of the units by which the fleet may exceed a window. The sum with
/// [`START_PART`] stays below one; the rest covers units that entries have not reported to each
/// other yet.
const BUCKET_PART: f64 = 0.55;

/// Level of a bucket when a process starts, as a part of the units by which the fleet may exceed a
/// window.
const START_PART: f64 = 0.15;

/// Part of a team's limit that is reserved for its more urgent requests, per rank below the
/// highest.
const RANK_RESERVE: f64 = 0.08;

/// Part of a window's units below which a request is admitted like an urgent one.
const SMALL_PART: f64 = 0.001;

/// Number of entries that may spend the rest of a bucket at once. In a larger fleet each entry may
/// spend only a part between two reports, since all of them may be spending.
const BUCKET_SHARERS: f64 = 3.0;

/// Level, as a part of a bucket's size, below which an entry may spend only its part.
const SCARCE_PART: f64 = 0.6;

/// Time for which a restarted process assumes at least [`DISCOVERY_MEMBERS`] entries, as it has not
/// discovered all of them yet.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Least number of entries that a restarted process assumes.
const DISCOVERY_MEMBERS: f64 = 40.0;

/// A request exceeds its team's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("over the team's rate; enough units will be available in {refill:?}")]
pub struct RateExceeded {
    /// Time until the request could be admitted.
    pub refill: Duration,
}

/// A team's use of its rate, in the team's units.
#[derive(Debug)]
pub struct RateLimiter {
    rate: u64,
    burst: u64,
    policy: RatePolicy,
    steps: VecDeque<(Timestamp, i64)>,
    used: i64,
    level: f64,
    filled: Timestamp,
    created: Timestamp,
    /// Units that this entry may not have reported to its peers yet, and the time from which they
    /// are counted.
    unreported: f64,
    unreported_since: Timestamp,
}

/// The entries that share a team's rate.
#[derive(Debug, Clone, Copy)]
pub struct FleetView {
    /// Part of the rate that the responsive entries may use.
    pub responsive_part: f64,
    /// Number of entries, including this one.
    pub members: usize,
    /// Interval between two reports of an entry.
    pub interval: Duration,
}

/// How rates are counted.
#[derive(Debug, Clone, Copy)]
pub struct RatePolicy {
    /// Length of the window.
    pub window: Duration,
    /// Part of a window's units by which the fleet may exceed it when counts are lost or not yet
    /// reported.
    pub margin: f64,
    /// Units by which the fleet may exceed a window in addition.
    pub slack: f64,
    /// Whether this is the first start, before which no units can have been used.
    pub first_start: bool,
}

impl RateLimiter {
    /// Creates the limiter of a team that is first seen at `now`.
    #[must_use]
    pub fn new(rate: u64, burst: u64, policy: RatePolicy, now: Timestamp) -> Self {
        let mut limiter = Self {
            rate,
            burst,
            policy,
            steps: VecDeque::new(),
            used: 0,
            level: 0.0,
            filled: now,
            created: now,
            unreported: 0.0,
            unreported_since: now,
        };
        limiter.level = if policy.first_start {
            limiter.bucket_size()
        } else {
            limiter.overshoot() * START_PART
        };
        limiter
    }

    fn window_units(&self) -> f64 {
        self.rate as f64 * self.policy.window.as_secs_f64() + self.burst as f64
    }

    /// Returns the units by which the fleet may exceed a window.
    fn overshoot(&self) -> f64 {
        self.window_units() * self.policy.margin + self.policy.slack
    }

    fn bucket_size(&self) -> f64 {
        self.overshoot() * BUCKET_PART
    }

    /// Returns the average units per second that windows allow.
    fn fill_rate(&self) -> f64 {
        self.window_units() / self.policy.window.as_secs_f64()
    }

    /// Replaces the rate and the burst.
    pub const fn configure(&mut self, rate: u64, burst: u64) {
        (self.rate, self.burst) = (rate, burst);
    }

    fn limit(&self, part: f64) -> i64 {
        (self.window_units() * part) as i64
    }

    fn fill_bucket(&mut self, part: f64, now: Timestamp) {
        let added = now.since(self.filled).as_secs_f64() * self.fill_rate() * part;
        self.filled = self.filled.max(now);
        self.level = (self.level + added).min(self.bucket_size());
    }

    fn expire_steps(&mut self, now: Timestamp) {
        while let Some(&(start, units)) = self.steps.front()
            && start + self.policy.window <= now
        {
            self.used -= units;
            self.steps.pop_front();
        }
    }

    fn add(&mut self, units: i64, now: Timestamp) {
        self.used += units;
        let span = self.policy.window / WINDOW_STEPS;
        match self.steps.back_mut() {
            Some((start, sum)) if now < *start + span => *sum += units,
            _ => self.steps.push_back((now, units)),
        }
    }

    /// Returns whether this entry has spent its part of a scarce bucket since its last report. One
    /// request is always allowed.
    fn is_part_spent(&mut self, need: f64, fleet: &FleetView, now: Timestamp) -> bool {
        if self.unreported_since + fleet.interval <= now {
            (self.unreported_since, self.unreported) = (now, 0.0);
        }
        if self.unreported <= 0.0 || self.level > self.bucket_size() * SCARCE_PART {
            return false;
        }
        let discovering = !self.policy.first_start && now < self.created + DISCOVERY_TIME;
        let members = (fleet.members as f64).max(if discovering { DISCOVERY_MEMBERS } else { 1.0 });
        let part = (BUCKET_SHARERS / members).min(1.0);
        // The unreported units have already been taken from the level.
        self.unreported + need > (self.level + self.unreported) * part
    }

    /// Takes `units` for a request of the given rank.
    ///
    /// # Errors
    /// Returns a [`RateExceeded`] if the window or the bucket has no room.
    pub fn take(
        &mut self,
        units: u64,
        rank: u8,
        fleet: &FleetView,
        now: Timestamp,
    ) -> Result<(), RateExceeded> {
        if self.rate == 0 {
            return Ok(());
        }
        let part = fleet.responsive_part;
        self.expire_steps(now);
        let units = i64::try_from(units).unwrap_or(i64::MAX / 4);
        // A request that is larger than a window is admitted if the window is empty.
        let need = units.min(self.limit(part));
        let small = (units as f64) < self.window_units() * SMALL_PART;
        let reserved = if small {
            0.0
        } else {
            RANK_RESERVE * f64::from(rank.min(2))
        };
        let over = self.used + need - self.limit(part * (1.0 - reserved));
        self.fill_bucket(part, now);
        let shortfall = need as f64 + self.bucket_size() * reserved - self.level;
        let empty = shortfall > 0.0 && self.level < self.bucket_size() && !small;
        let part_spent = self.is_part_spent(need as f64, fleet, now);
        if over > 0 || empty || part_spent {
            let filled = Duration::from_secs_f64((shortfall / self.fill_rate()).clamp(0.0, 60.0));
            return Err(RateExceeded {
                refill: self.window_delay(over, now).max(filled).max(fleet.interval),
            });
        }
        self.level -= units as f64;
        self.unreported += units as f64;
        self.add(units, now);
        Ok(())
    }

    /// Returns the time after which `over` units will have left the window.
    fn window_delay(&self, over: i64, now: Timestamp) -> Duration {
        let mut left = over;
        if over <= 0 {
            return Duration::ZERO;
        }
        for (start, units) in &self.steps {
            left -= units;
            if left <= 0 {
                return (*start + self.policy.window).since(now);
            }
        }
        self.policy.window
    }

    /// Counts units that a peer admitted. Negative units were returned, by a peer or by this entry.
    pub fn record(&mut self, units: i64, now: Timestamp) {
        self.expire_steps(now);
        self.add(units, now);
        self.level -= units as f64;
    }
}
