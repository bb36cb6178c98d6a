//! Rate limit of a team that sends many times its rate through every entry, also when all entries
//! are killed.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{FleetView, RateLimiter};

use super::{at, rate_policy};

const RATE: u64 = 1_000;
const UNITS: u64 = 50;

/// A fleet of one entry.
const ALONE: FleetView = FleetView {
    responsive_part: 1.0,
    members: 1,
    interval: Duration::from_millis(40),
    lag: Duration::ZERO,
    chance: 0.0,
};

/// Takes units whenever they are available, at steps of 10 ms, and records each take.
fn drain(limiter: &mut RateLimiter, from: u64, to: u64, spent: &mut Vec<(u64, u64)>) {
    for millis in (from..to).step_by(10) {
        while limiter.take(UNITS, 0, &ALONE, at(millis)).is_ok() {
            spent.push((millis, UNITS));
        }
    }
}

/// Returns the units of the busiest window of 8 s.
pub fn busiest_window(spent: &[(u64, u64)]) -> u64 {
    let window = |(start, _): &(u64, u64)| {
        let inside = spent
            .iter()
            .filter(|(at, _)| (*start..start + 8_000).contains(at));
        inside.map(|(_, units)| units).sum()
    };
    spent.iter().map(window).max().unwrap_or(0)
}

#[test]
fn no_window_holds_more_than_rate_and_burst() {
    let mut limiter = RateLimiter::new(RATE, RATE, rate_policy(true), at(0));
    let mut spent = Vec::new();
    drain(&mut limiter, 0, 30_000, &mut spent);
    assert!(busiest_window(&spent) <= 9 * RATE);
    let total: u64 = spent.iter().map(|(_, units)| units).sum();
    assert!(total >= 29 * RATE, "only {total} units admitted");
}

/// Guards against refusing units that a window has room for, while a team whose limit was cut keeps
/// sending far more than its rate.
#[test]
fn units_that_fit_the_window_are_admitted() {
    let burst = 4 * RATE;
    let mut limiter = RateLimiter::new(RATE, burst, rate_policy(true), at(0));
    let mut spent = Vec::new();
    drain(&mut limiter, 0, 40_000, &mut spent);
    let window_units = 8 * RATE + burst;
    assert!(busiest_window(&spent) <= window_units);
    let total: u64 = spent.iter().map(|(_, units)| units).sum();
    assert!(
        total >= window_units * 9 / 2,
        "{total} units admitted in five windows of {window_units}"
    );
}

/// Guards against using a window twice. All entries were killed after a team had used its whole
/// window in its first seconds. The restarted entries had no count of it, and the team used 41 %
/// more than a window.
#[test]
fn a_kill_of_every_entry_stays_within_the_margin() {
    for kill in [1_500, 3_000, 5_000, 7_000] {
        let mut spent = Vec::new();
        let mut before = RateLimiter::new(RATE, RATE, rate_policy(true), at(0));
        drain(&mut before, 0, kill, &mut spent);
        let start = kill + 400;
        let mut after = RateLimiter::new(RATE, RATE, rate_policy(false), at(start));
        drain(&mut after, start, start + 10_000, &mut spent);
        let allowed = 9 * RATE * 5 / 4;
        assert!(
            busiest_window(&spent) <= allowed,
            "killed at {kill}: {}",
            busiest_window(&spent)
        );
    }
}

/// Rate limiters of several entries that report to each other, with one team sending to all of
/// them.
struct SimulatedFleet {
    limiters: Vec<RateLimiter>,
    fleet: FleetView,
    /// Units that each entry has admitted since its last report.
    unreported: Vec<u64>,
}

impl SimulatedFleet {
    fn new(count: usize, first: bool, now: u64) -> Self {
        let limiter = |_| RateLimiter::new(RATE * 100, RATE * 100, rate_policy(first), at(now));
        Self {
            limiters: (0..count).map(limiter).collect(),
            fleet: FleetView {
                responsive_part: 1.0,
                members: count,
                interval: Duration::from_millis(250),
                lag: Duration::ZERO,
                chance: 0.0,
            },
            unreported: vec![0; count],
        }
    }

    /// Sends `units` to every entry every 10 ms. Entries report every 250 ms, starting at
    /// `first_report`.
    fn run(&mut self, from: u64, to: u64, first_report: u64, spent: &mut Vec<(u64, u64)>) {
        let units = RATE * 100 * 8 / 100 / self.limiters.len() as u64;
        for millis in (from..to).step_by(10) {
            let known = millis >= first_report;
            self.fleet.members = if known { self.limiters.len() } else { 1 };
            for index in 0..self.limiters.len() {
                if known && (millis + index as u64 * 10).is_multiple_of(250) {
                    let reported = std::mem::take(&mut self.unreported[index]);
                    let others = self.limiters.iter_mut().enumerate();
                    for (_, other) in others.filter(|(other, _)| *other != index) {
                        other.record(reported as i64, at(millis));
                    }
                }
                let taken = self.limiters[index].take(units, 0, &self.fleet, at(millis));
                if taken.is_ok() {
                    self.unreported[index] += units;
                    spent.push((millis, units));
                }
            }
        }
    }
}

/// Guards against the entries of a fleet all spending the rest of the same bucket. On a simulated
/// day with 30 entries (deploy/days/start.toml, seed 488748475544), a team sends eight times its
/// rate and all entries are killed meanwhile. Each entry spent what was left before the others'
/// reports arrived, and the team used 2 % more than the margin allows.
#[test]
fn many_entries_stay_within_the_margin_across_a_kill_of_all() {
    for kill in [2_000, 4_000, 6_000] {
        let mut spent = Vec::new();
        let mut before = SimulatedFleet::new(30, true, 0);
        before.run(0, kill, 0, &mut spent);
        let start = kill + 500;
        let mut after = SimulatedFleet::new(30, false, start);
        after.run(start, start + 10_000, start + 300, &mut spent);
        let allowed = 9 * RATE * 100 * 5 / 4;
        let busiest_window = busiest_window(&spent);
        assert!(
            busiest_window <= allowed,
            "killed at {kill}: {busiest_window} of {allowed}"
        );
    }
}

#[test]
fn units_admitted_by_a_peer_count() {
    let mut limiter = RateLimiter::new(RATE, RATE, rate_policy(true), at(0));
    limiter.record(9 * RATE as i64, at(10));
    assert!(limiter.take(UNITS, 0, &ALONE, at(20)).is_err());
    limiter.record(-(RATE as i64), at(30));
    assert!(
        limiter.take(UNITS, 0, &ALONE, at(40)).is_err(),
        "the bucket level is still negative"
    );
}

#[test]
fn a_refusal_states_when_there_is_room() {
    let mut limiter = RateLimiter::new(RATE, RATE, rate_policy(true), at(0));
    let mut spent = Vec::new();
    drain(&mut limiter, 0, 4_000, &mut spent);
    let exceeded = limiter
        .take(500, 0, &ALONE, at(4_000))
        .expect_err("over the rate");
    let back: Timestamp = at(4_000) + exceeded.refill + Duration::from_millis(300);
    assert!(
        limiter.take(500, 0, &ALONE, back).is_ok(),
        "not admitted after {:?}",
        exceeded.refill
    );
}

#[test]
fn urgent_and_small_requests_take_precedence_near_the_limit() {
    let mut limiter = RateLimiter::new(RATE, RATE, rate_policy(true), at(0));
    while limiter.take(UNITS, 2, &ALONE, at(0)).is_ok() {}
    assert!(limiter.take(UNITS, 0, &ALONE, at(0)).is_ok());
    assert!(limiter.take(5, 2, &ALONE, at(0)).is_ok());
}

#[test]
fn an_unresponsive_peer_keeps_its_part() {
    let mut limiter = RateLimiter::new(RATE, RATE, rate_policy(true), at(0));
    let half = FleetView {
        responsive_part: 0.5,
        ..ALONE
    };
    let mut units = 0;
    for millis in (0..8_000).step_by(10) {
        while limiter.take(UNITS, 0, &half, at(millis)).is_ok() {
            units += UNITS;
        }
    }
    assert!(units <= 9 * RATE / 2, "{units}");
}

#[test]
fn a_rate_of_zero_is_unlimited() {
    let mut limiter = RateLimiter::new(0, 0, rate_policy(false), at(0));
    assert!(limiter.take(u64::MAX, 2, &ALONE, at(0)).is_ok());
}
