//! The retries of all entries together, compared with what a service may get in any window, while
//! entries restart, are cut off, join and leave.

use std::collections::VecDeque;
use std::sync::Arc;

use super::fleet_network::FleetNetwork;
use super::{SERVICE, at, bounds};

/// Time of the window in which retries are limited, in milliseconds.
const WINDOW: u64 = 10_000;

/// Time in which a fleet gets in order, in milliseconds.
const SETTLING_TIME: u64 = 2_000;

/// How often a request that fails everywhere is sent again, if the budget allows it.
const RETRIES: u32 = 4;

/// Requests a second, for the fleet: a service with few callers, and one with many.
const LOADS: [u64; 2] = [8, 300];

/// A request that fails wherever it is sent.
#[derive(Debug)]
struct Failing {
    entry: usize,
    start: u64,
    left: u32,
}

/// Callers of a service whose endpoints all fail, and the arrivals that they cause.
#[derive(Debug)]
struct Callers {
    service: Arc<str>,
    /// Whether requests fail.
    fail: bool,
    /// Requests a second.
    load: u64,
    due: u64,
    turn: usize,
    failing: VecDeque<Failing>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Callers {
    fn new(load: u64) -> Self {
        Self {
            service: SERVICE.into(),
            fail: true,
            load,
            due: 0,
            turn: 0,
            failing: VecDeque::new(),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Sends what is due in 10 ms to the entries that `serves` accepts, and retries what has failed.
    fn step(&mut self, fleet: &mut FleetNetwork, serves: impl Fn(usize) -> bool) {
        self.due += self.load;
        while self.due >= 100 {
            self.due -= 100;
            self.request(fleet, &serves);
        }
        self.retry(fleet);
    }

    fn request(&mut self, fleet: &mut FleetNetwork, serves: impl Fn(usize) -> bool) {
        let now = fleet.now;
        self.requests.push(now);
        for _ in 0..fleet.len() {
            self.turn += 1;
            // Successive requests reach entries far apart.
            let index = self.turn * 37 % fleet.len();
            if !serves(index) {
                continue;
            }
            let start = fleet.start_of(index);
            if let Some(entry) = fleet.entries[index].as_mut() {
                entry.count_request(&self.service, at(now));
                if !self.fail {
                    return;
                }
                self.failing.push_back(Failing {
                    entry: index,
                    start,
                    left: RETRIES,
                });
                return;
            }
        }
    }

    /// Lets each request that has failed ask for a retry. A killed process loses its requests.
    fn retry(&mut self, fleet: &mut FleetNetwork) {
        let now = fleet.now;
        for _ in 0..self.failing.len() {
            let Some(mut failing) = self.failing.pop_front() else {
                return;
            };
            let is_alive = fleet.start_of(failing.entry) == failing.start;
            let entry = fleet.entries[failing.entry].as_mut();
            let Some(entry) = entry.filter(|_| is_alive) else {
                continue;
            };
            if entry.take_retry(&self.service, at(now)) {
                self.retries.push(now);
            }
            failing.left -= 1;
            if failing.left > 0 {
                self.failing.push_back(failing);
            }
        }
    }

    /// Returns the retries of the window that exceeds its limit most, or comes closest to it, and
    /// that limit. The requests of the window count, or those of the one before or of the one half a
    /// window before, whichever has most.
    fn worst_window(&self) -> (usize, f64) {
        let bounds = bounds();
        let limit = |start: u64| {
            let starts = [
                Some(start),
                start.checked_sub(WINDOW / 2),
                start.checked_sub(WINDOW),
            ];
            let most = starts.into_iter().flatten();
            let most = most.map(|start| within(&self.requests, start)).max();
            bounds.retry_ratio * most.unwrap_or_default() as f64 + bounds.retry_slack
        };
        let windows = self.retries.iter().map(|&start| {
            let retries = within(&self.retries, start);
            (retries, limit(start))
        });
        let part = |window: &(usize, f64)| window.0 as f64 / window.1;
        let worst = windows.max_by(|one, other| part(one).total_cmp(&part(other)));
        worst.unwrap_or((0, bounds.retry_slack))
    }
}

/// Returns how many of these times, in order, lie in the window that starts at `start`.
fn within(times: &[u64], start: u64) -> usize {
    let first = times.partition_point(|&time| time < start);
    let end = times.partition_point(|&time| time < start + WINDOW);
    end - first
}

/// Plays `millis` of failing requests in steps, and calls `disturb` with the milliseconds since the
/// start before each step.
fn play(
    count: usize,
    load: u64,
    millis: u64,
    mut disturb: impl FnMut(&mut FleetNetwork, u64),
) -> Callers {
    let mut fleet = FleetNetwork::new(count);
    fleet.run(SETTLING_TIME);
    let mut callers = Callers::new(load);
    let mut passed = 0;
    fleet.run_with(millis, |fleet| {
        disturb(fleet, passed);
        passed += 10;
        callers.step(fleet, |_| true);
    });
    callers
}

fn assert_within(callers: &Callers, scene: &str) {
    let (retries, limit) = callers.worst_window();
    let requests = callers.requests.len();
    assert!(
        retries as f64 <= limit,
        "{scene}: {retries} retries of {limit} in a window, {requests} requests in all"
    );
}

/// Guards against entries that grant the fixed part of the budget anew after each restart.
#[test]
fn a_fleet_that_restarts_again_and_again_stays_within_its_budget_of_retries() {
    for count in [1, 3, 22, 100] {
        for load in LOADS {
            let callers = play(count, load, 14_000, |fleet, passed| {
                if passed % 2_200 == 2_000 {
                    fleet.kill_all();
                    fleet.restart_all();
                }
            });
            assert_within(
                &callers,
                &format!("{count} entries, {load} requests a second"),
            );
        }
    }
}

/// Guards against entries that spend what they had saved in a calm time, restart, and spend again.
#[test]
fn a_fleet_that_restarts_after_a_calm_time_stays_within_its_budget_of_retries() {
    for count in [1, 3, 22, 100] {
        for load in LOADS {
            let mut fleet = FleetNetwork::new(count);
            fleet.run(SETTLING_TIME);
            let mut callers = Callers::new(load);
            let mut passed = 0;
            fleet.run_with(26_000, |fleet| {
                passed += 10;
                callers.fail = passed > 12_000;
                if callers.fail && passed % 2_000 == 0 {
                    fleet.kill_all();
                    fleet.restart_all();
                }
                callers.step(fleet, |_| true);
            });
            assert_within(
                &callers,
                &format!("{count} entries, {load} requests a second"),
            );
        }
    }
}

/// Guards against entries that restart while they are cut off, and take the few entries that they find
/// for the whole fleet.
#[test]
fn entries_that_restart_in_a_cut_stay_within_the_budget_of_retries() {
    for count in [3, 22, 100] {
        for groups in [2, 3, count] {
            for load in LOADS {
                let callers = play(count, load, 24_000, |fleet, passed| match passed {
                    1_000 => {
                        for index in 0..count {
                            fleet.groups[index] = (index % groups) as u8;
                        }
                    }
                    2_000 => {
                        fleet.kill_all();
                        fleet.restart_all();
                    }
                    _ => {}
                });
                let scene = format!("{count} entries in {groups} groups, {load} requests a second");
                assert_within(&callers, &scene);
            }
        }
    }
}

/// Guards against sides of a lasting cut that each forget the other one.
#[test]
fn sides_of_a_lasting_cut_stay_within_the_budget_of_retries() {
    for count in [3, 22] {
        let callers = play(count, 8, 45_000, |fleet, passed| {
            if passed == 1_000 {
                for index in 0..count {
                    fleet.groups[index] = (index % 3) as u8;
                }
            }
        });
        assert_within(&callers, &format!("{count} entries"));
    }
}

/// Guards against entries that spend the part of those that have left while it still counts.
#[test]
fn entries_that_replace_others_stay_within_the_budget_of_retries() {
    for count in [22, 100] {
        for load in LOADS {
            // A third runs at first; then others start and these leave.
            let callers = play(count, load, 20_000, |fleet, passed| match passed {
                0 => (count / 3..count).for_each(|index| fleet.kill(index)),
                4_000 => (count / 3..count).for_each(|index| fleet.start(index, 0)),
                9_000 => {
                    for index in 0..count / 3 {
                        if let Some(entry) = fleet.entries[index].as_mut() {
                            entry.start_leaving();
                        }
                    }
                }
                10_000 => (0..count / 3).for_each(|index| fleet.kill(index)),
                _ => {}
            });
            assert_within(
                &callers,
                &format!("{count} entries, {load} requests a second"),
            );
        }
    }
}

/// Guards against requests that count here at another time than where the limit is checked: load that
/// comes in bursts, and load that moves to other entries.
#[test]
fn bursts_and_moving_load_stay_within_the_budget_of_retries() {
    let count = 22;
    for load in LOADS {
        let mut fleet = FleetNetwork::new(count);
        fleet.run(SETTLING_TIME);
        let mut callers = Callers::new(load);
        let mut passed = 0;
        fleet.run_with(40_000, |fleet| {
            passed += 10;
            callers.load = if passed % 8_500 < 2_500 { load } else { 0 };
            let side = (passed / 8_500 % 2) as usize;
            callers.step(fleet, |index| index % 2 == side);
        });
        assert_within(&callers, &format!("{load} requests a second"));
    }
}
