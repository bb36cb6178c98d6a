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
const BUCKET_PART: f64 = 0.35;

/// Level of a bucket when a process starts, as a part of the units by which the fleet may exceed a
/// window.
const START_PART: f64 = 0.15;

/// Part of a team's limit that is reserved for its more urgent requests, per rank below the
/// highest.
const RANK_RESERVE: f64 = 0.08;

/// Part of a window's units below which a request is admitted like an urgent one.
const SMALL_PART: f64 = 0.001;

/// Level, as a part of a bucket's size, below which an entry may spend only its part between two
/// reports, since all entries may be spending the same rest.
const SCARCE_PART: f64 = 0.6;

/// Lag of the knowledge of other entries from which each entry spends only its equal part of what the
/// team may use in that time.
const LAG_LIMIT: Duration = Duration::from_secs(2);

/// Part of a bucket that is spent beyond the refill while the knowledge lags behind.
const LAGGING_PART: f64 = 0.25;

/// Time after a restart in which nothing is known of other entries' use. Each entry then spends from
/// its own bucket only, which starts nearly empty.
const LONE_TIME: Duration = Duration::from_millis(400);

/// A request exceeds its team's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("over the team's rate; enough units will be available in {refill:?}")]
pub struct RateExceeded {
    /// Time until the request could be admitted.
    pub refill: Duration,
}

/// Units of one step of the window.
#[derive(Debug)]
struct Step {
    start: Timestamp,
    units: i64,
    /// Those that this entry admitted itself.
    own: i64,
}

/// A team's use of its rate, in the team's units.
#[derive(Debug)]
pub struct RateLimiter {
    rate: u64,
    burst: u64,
    policy: RatePolicy,
    steps: VecDeque<Step>,
    used: i64,
    /// The part of `used` that this entry admitted itself.
    own_used: i64,
    level: f64,
    filled: Timestamp,
    created: Timestamp,
    /// Units that this entry may not have reported to its peers yet, and the time from which they
    /// are counted.
    unreported: f64,
    unreported_since: Timestamp,
    /// Whether this entry has drawn for a request since then.
    drawn: bool,
    /// When this entry last drew for a request while its knowledge lagged behind.
    last_draw: Option<Timestamp>,
}

/// The entries that share a team's rate.
#[derive(Debug, Clone, Copy)]
pub struct FleetView {
    /// Part of the rate that the responsive entries may use.
    pub responsive_part: f64,
    /// Number of entries, including this one.
    pub members: usize,
    /// Time that a change at one entry takes to reach all others.
    pub interval: Duration,
    /// Average time by which this entry's knowledge of the others lags behind at most.
    pub lag: Duration,
    /// A random number from 0 to 1, which decides whether this entry may admit a request of which
    /// its part covers only a fraction.
    pub chance: f64,
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
            own_used: 0,
            level: 0.0,
            filled: now,
            created: now,
            unreported: 0.0,
            unreported_since: now,
            drawn: false,
            last_draw: None,
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
        while let Some(step) = self.steps.front()
            && step.start + self.policy.window <= now
        {
            self.used -= step.units;
            self.own_used -= step.own;
            self.steps.pop_front();
        }
    }

    fn add(&mut self, units: i64, own: i64, now: Timestamp) {
        self.used += units;
        self.own_used += own;
        let span = self.policy.window / WINDOW_STEPS;
        match self.steps.back_mut() {
            Some(step) if now < step.start + span => {
                step.units += units;
                step.own += own;
            }
            _ => self.steps.push_back(Step {
                start: now,
                units,
                own,
            }),
        }
    }

    /// Returns the part of the bucket that this entry may spend between two reports: its share of
    /// what the team has used, and at least that of one entry among all.
    fn own_part(&self, members: usize) -> f64 {
        let equal = 1.0 / members.max(1) as f64;
        let used = self.own_used.max(0) as f64 / self.used.max(1) as f64;
        used.clamp(equal, 1.0)
    }

    /// Returns whether this entry has spent its part of what the team may use.
    fn is_part_spent(&mut self, need: f64, fleet: &FleetView, now: Timestamp) -> bool {
        if fleet.lag > LAG_LIMIT && fleet.members > 1 {
            return self.is_lagging_part_spent(need, fleet, now);
        }
        self.is_scarce_part_spent(need, fleet, now)
    }

    /// Returns whether this entry has spent its equal part of the units that the team may use while
    /// the knowledge of other entries lags behind. What they have spent in that time is taken to be
    /// as much as this entry has.
    fn is_lagging_part_spent(&mut self, need: f64, fleet: &FleetView, now: Timestamp) -> bool {
        let span = fleet.lag.min(self.policy.window);
        let steps = self.steps.iter().filter(|step| now < step.start + span);
        let spent = steps.map(|step| step.own).sum::<i64>() as f64;
        let refill = self.fill_rate() * fleet.responsive_part * span.as_secs_f64();
        let level = self.level.min(self.bucket_size() * LAGGING_PART);
        let own_part = (level + refill).max(0.0) / fleet.members as f64;
        if spent + need <= own_part {
            return false;
        }
        // As for a scarce bucket, one draw decides on a request that is larger than the part.
        let has_drawn = self.last_draw.is_some_and(|drawn| now < drawn + span);
        if has_drawn || spent > 0.0 {
            return true;
        }
        self.last_draw = Some(now);
        fleet.chance >= own_part / need
    }

    /// Returns whether this entry has spent its part of a scarce bucket since its last report.
    fn is_scarce_part_spent(&mut self, need: f64, fleet: &FleetView, now: Timestamp) -> bool {
        if self.unreported_since + fleet.interval <= now {
            (self.unreported_since, self.unreported, self.drawn) = (now, 0.0, false);
        }
        if self.level > self.bucket_size() * SCARCE_PART {
            return false;
        }
        if !self.policy.first_start && now < self.created + LONE_TIME {
            return false;
        }
        let part = self.own_part(fleet.members);
        // The unreported units have already been taken from the level.
        let own_part = (self.level + self.unreported) * part;
        if self.unreported + need <= own_part {
            return false;
        }
        // The part of one entry in a large fleet is less than a request, so that only some entries
        // may admit one. Each draws once between two reports.
        if self.drawn || self.unreported > 0.0 {
            return true;
        }
        self.drawn = true;
        fleet.chance >= own_part / need
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
        self.add(units, units, now);
        Ok(())
    }

    /// Returns the time after which `over` units will have left the window.
    fn window_delay(&self, over: i64, now: Timestamp) -> Duration {
        let mut left = over;
        if over <= 0 {
            return Duration::ZERO;
        }
        for step in &self.steps {
            left -= step.units;
            if left <= 0 {
                return (step.start + self.policy.window).since(now);
            }
        }
        self.policy.window
    }

    /// Counts units that peers admitted; negative units were returned.
    pub fn record(&mut self, units: i64, now: Timestamp) {
        self.expire_steps(now);
        self.add(units, 0, now);
        self.level -= units as f64;
    }

    /// Returns units that this entry had admitted.
    pub fn refund(&mut self, units: i64, now: Timestamp) {
        self.expire_steps(now);
        self.add(-units, -units, now);
        self.level += units as f64;
    }
}
