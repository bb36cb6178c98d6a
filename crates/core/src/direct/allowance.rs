//! Load pattern: one team sends many times its usual through every entry at once.
//!
//! Each entry counts what the whole team used in the last window: what it lets in itself and what its
//! peers say they let in. A window holds the rate over its length and the burst. The part of a peer
//! that has fallen silent is left to it, since it may still run.
//!
//! Near its limit a team's less urgent requests leave room for its urgent ones and for small ones.
//!
//! When every entry is killed at once nobody remembers the window. A bucket therefore keeps a team from
//! taking the whole window in its first second, and begins nearly empty: what was taken before the
//! kill and what is taken after it together stay within the margin that the operators leave. It fills
//! as fast as a window allows in the long run, so that it refuses nothing that a window has room for
//! but what comes at once.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;

use crate::time::Timestamp;

/// Steps in which a window is counted.
const STEPS: u32 = 40;

/// Part of what the fleet may exceed a window by that a bucket holds at most. With [`START_PART`] it
/// stays below one; the rest is for what entries have not heard of each other yet.
const DEPTH_PART: f64 = 0.55;

/// Part of what the fleet may exceed a window by that a bucket holds at the start of a process.
const START_PART: f64 = 0.15;

/// Part of a team's limit that is kept for its more urgent requests, for each rank below the highest.
const RANK_RESERVE: f64 = 0.08;

/// Part of a window's units below which a request is let in like an urgent one.
const SMALL_PART: f64 = 0.001;

/// Entries that may spend a bucket's rest at once. Where there are more, each may take a part only
/// between two reports, since all of them may be about to.
const SPENDERS: f64 = 3.0;

/// Part of a bucket's depth below which entries take parts only.
const SCARCE_PART: f64 = 0.6;

/// How long a process that starts anew counts on [`YOUNG_MEMBERS`], as it has not heard of all.
const YOUTH: Duration = Duration::from_millis(1_500);

/// Entries that a process that starts anew counts on, at least.
const YOUNG_MEMBERS: f64 = 40.0;

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
    terms: Terms,
    steps: VecDeque<(Timestamp, i64)>,
    used: i64,
    level: f64,
    filled: Timestamp,
    born: Timestamp,
    /// Units of this entry that its peers may not have heard of, and since when they are counted.
    unheard: f64,
    since: Timestamp,
}

/// Who spends a team's rate.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Part of the rate that the entries which can be heard may use.
    pub heard: f64,
    /// Entries, with this one.
    pub members: usize,
    /// Pause between the reports of each.
    pub interval: Duration,
}

/// How rates are counted.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Length of the window.
    pub window: Duration,
    /// Part of a window's units by which the fleet may exceed it while it cannot know better.
    pub margin: f64,
    /// Units by which it may exceed the window besides.
    pub slack: f64,
    /// Whether nothing can have been used before this process started.
    pub first: bool,
}

impl Allowance {
    /// The allowance of a team that is first seen at `now`.
    #[must_use]
    pub fn new(rate: u64, burst: u64, terms: Terms, now: Timestamp) -> Self {
        let mut allowance = Self {
            rate,
            burst,
            terms,
            steps: VecDeque::new(),
            used: 0,
            level: 0.0,
            filled: now,
            born: now,
            unheard: 0.0,
            since: now,
        };
        allowance.level = if terms.first {
            allowance.depth()
        } else {
            allowance.excess() * START_PART
        };
        allowance
    }

    fn whole(&self) -> f64 {
        self.rate as f64 * self.terms.window.as_secs_f64() + self.burst as f64
    }

    /// Units by which the fleet may exceed a window.
    fn excess(&self) -> f64 {
        self.whole() * self.terms.margin + self.terms.slack
    }

    fn depth(&self) -> f64 {
        self.excess() * DEPTH_PART
    }

    /// Units a second that windows have room for in the long run.
    fn pace(&self) -> f64 {
        self.whole() / self.terms.window.as_secs_f64()
    }

    /// Takes another rate and burst.
    pub const fn configure(&mut self, rate: u64, burst: u64) {
        (self.rate, self.burst) = (rate, burst);
    }

    fn limit(&self, part: f64) -> i64 {
        (self.whole() * part) as i64
    }

    fn fill(&mut self, part: f64, now: Timestamp) {
        let gained = now.since(self.filled).as_secs_f64() * self.pace() * part;
        self.filled = self.filled.max(now);
        self.level = (self.level + gained).min(self.depth());
    }

    fn trim(&mut self, now: Timestamp) {
        while let Some(&(begin, units)) = self.steps.front()
            && begin + self.terms.window <= now
        {
            self.used -= units;
            self.steps.pop_front();
        }
    }

    fn add(&mut self, units: i64, now: Timestamp) {
        self.used += units;
        let span = self.terms.window / STEPS;
        match self.steps.back_mut() {
            Some((begin, sum)) if now < *begin + span => *sum += units,
            _ => self.steps.push_back((now, units)),
        }
    }

    /// Whether this entry has taken its part of a scarce bucket since its last report. One request may
    /// always be taken.
    fn is_spent(&mut self, need: f64, fleet: &Fleet, now: Timestamp) -> bool {
        if self.since + fleet.interval <= now {
            (self.since, self.unheard) = (now, 0.0);
        }
        if self.unheard <= 0.0 || self.level > self.depth() * SCARCE_PART {
            return false;
        }
        let young = !self.terms.first && now < self.born + YOUTH;
        let members = (fleet.members as f64).max(if young { YOUNG_MEMBERS } else { 1.0 });
        let part = (SPENDERS / members).min(1.0);
        // What was taken is no longer in the bucket.
        self.unheard + need > (self.level + self.unheard) * part
    }

    /// Takes `units` for a request of some rank.
    ///
    /// # Errors
    /// Returns an [`Excess`] if the window has no room.
    pub fn take(
        &mut self,
        units: u64,
        rank: u8,
        fleet: &Fleet,
        now: Timestamp,
    ) -> Result<(), Excess> {
        if self.rate == 0 {
            return Ok(());
        }
        let part = fleet.heard;
        self.trim(now);
        let units = i64::try_from(units).unwrap_or(i64::MAX / 4);
        // A request that is larger than a whole window may run in an empty one.
        let need = units.min(self.limit(part));
        let small = (units as f64) < self.whole() * SMALL_PART;
        let kept = if small {
            0.0
        } else {
            RANK_RESERVE * f64::from(rank.min(2))
        };
        let over = self.used + need - self.limit(part * (1.0 - kept));
        self.fill(part, now);
        let lack = need as f64 + self.depth() * kept - self.level;
        let empty = lack > 0.0 && self.level < self.depth() && !small;
        let spent = self.is_spent(need as f64, fleet, now);
        if over > 0 || empty || spent {
            let filled = Duration::from_secs_f64((lack / self.pace()).clamp(0.0, 60.0));
            return Err(Excess {
                refill: self.refill(over, now).max(filled).max(fleet.interval),
            });
        }
        self.level -= units as f64;
        self.unheard += units as f64;
        self.add(units, now);
        Ok(())
    }

    /// When `over` units will have left the window.
    fn refill(&self, over: i64, now: Timestamp) -> Duration {
        let mut left = over;
        if over <= 0 {
            return Duration::ZERO;
        }
        for (begin, units) in &self.steps {
            left -= units;
            if left <= 0 {
                return (*begin + self.terms.window).since(now);
            }
        }
        self.terms.window
    }

    /// Counts what a peer let in, or gave back, and what this entry gives back.
    pub fn note(&mut self, units: i64, now: Timestamp) {
        self.trim(now);
        self.add(units, now);
        self.level -= units as f64;
    }
}
