//! Replays of teams that ask for more of a service than it has, over fleets of several sizes.
//!
//! Seven teams of equal weight compete for a service that starts 70 requests a second. Six of them
//! ask for a little less than their share and one for ten times as much. Their callers reach all
//! entries, or those of one team only a few. Each team is to get what it is due.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{
    Ending, Outcome, PlacementRequest, PlanTeam, Policies, Pool, PoolWork, Run, Standing,
    TeamShares, TeamWork, Ticket, Weights, digest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet_network::FleetNetwork;
use super::{at, placement_request, team};

const SIZES: [usize; 5] = [1, 3, 30, 100, 300];

const ENDPOINTS: usize = 12;
const SLOTS: usize = 5;

/// Slot time of every request, which is also the expected one.
const SLOT_TIME: u64 = 850;

/// Time to the first byte of every answer.
const FIRST_BYTE_TIME: u64 = 30;

/// Requests a second of the greedy team, and of each other one.
const GREEDY_RATE: f64 = 95.0;
const RATE: f64 = 9.5;
const OTHERS: usize = 6;

/// Requests a second that each other team is due, and the greedy one.
const OTHER_DUE: f64 = RATE;
const GREEDY_DUE: f64 = (ENDPOINTS * SLOTS) as f64 * 1_000.0 / SLOT_TIME as f64 - 6.0 * RATE;

/// Entries that a team's callers reach if they reach few.
const FEW: usize = 2;

/// Which entries the callers reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Callers {
    Spread,
    /// Those of the greedy team reach few.
    GreedyBunched,
    /// Those of the other teams reach few.
    OthersBunched,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    asked: u32,
    started: u32,
}

/// A fleet whose endpoints serve the requests that entries place.
struct Replay {
    fleet: FleetNetwork,
    callers: Callers,
    tallies: [Tally; OTHERS + 1],
    waiting: BTreeMap<(usize, Ticket), PlacementRequest>,
    running: [usize; ENDPOINTS],
    ends: BTreeMap<(u64, u64), (usize, usize, Run)>,
    next: u64,
    /// Requests a second of each team.
    rates: [f64; OTHERS + 1],
    random: ChaCha8Rng,
}

impl Replay {
    fn new(count: usize, callers: Callers, policies: Policies) -> Self {
        let mut fleet = FleetNetwork::new(count);
        fleet.policies = policies;
        fleet.run(2_000);
        let mut replay = Self {
            fleet,
            callers,
            tallies: Default::default(),
            waiting: BTreeMap::new(),
            running: [0; ENDPOINTS],
            ends: BTreeMap::new(),
            next: 0,
            rates: std::array::from_fn(|team| if team == 0 { GREEDY_RATE } else { RATE }),
            random: ChaCha8Rng::seed_from_u64(3),
        };
        replay.add_endpoints();
        replay
    }

    fn add_endpoints(&mut self) {
        for endpoint in 0..ENDPOINTS {
            let id = endpoint.to_string();
            self.fleet.add_endpoint(&id, SLOTS as u32, Duration::ZERO);
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.fleet.run(10);
            self.end_requests();
            for team in 0..=OTHERS {
                if self.random.random_bool(self.rates[team] / 100.0) {
                    self.arrive(team);
                }
            }
            self.process_queues();
        }
    }

    fn arrive(&mut self, team: usize) {
        let reached = match (self.callers, team) {
            (Callers::GreedyBunched, 0) | (Callers::OthersBunched, 1..) => FEW,
            _ => self.fleet.len(),
        };
        let entry = self.random.random_range(0..reached.min(self.fleet.len()));
        self.next += 1;
        self.tallies[team].asked += 1;
        let request = PlacementRequest {
            team: team as u64 + 1,
            ..placement_request(self.next, 1, at(self.fleet.now))
        };
        self.submit(entry, request);
    }

    fn submit(&mut self, index: usize, request: PlacementRequest) {
        let now = at(self.fleet.now);
        let Some(entry) = &mut self.fleet.entries[index] else {
            return;
        };
        match entry.submit(request.clone(), now) {
            Some(outcome) => self.apply(index, request, outcome),
            None => drop(self.waiting.insert((index, request.ticket), request)),
        }
    }

    fn apply(&mut self, index: usize, request: PlacementRequest, outcome: Outcome) {
        let Outcome::Placed(mut placement) = outcome else {
            return;
        };
        let endpoint: usize = placement.record.id.parse().expect("it is a number");
        let now = self.fleet.now;
        if self.running[endpoint] < SLOTS {
            self.running[endpoint] += 1;
            self.tallies[request.team as usize - 1].started += 1;
            if let Some(entry) = &mut self.fleet.entries[index] {
                entry.record_first_byte(&mut placement.run, at(now + FIRST_BYTE_TIME));
            }
            let end = (now + SLOT_TIME, request.ticket.0);
            self.ends.insert(end, (index, endpoint, placement.run));
        } else if let Some(entry) = &mut self.fleet.entries[index] {
            entry.end(&placement.run, Ending::Full, at(now));
            self.submit(index, request);
        }
    }

    fn end_requests(&mut self) {
        while let Some(next) = self.ends.first_entry()
            && next.key().0 <= self.fleet.now
        {
            let (index, endpoint, run) = next.remove();
            self.running[endpoint] -= 1;
            if let Some(entry) = &mut self.fleet.entries[index] {
                entry.end(&run, Ending::Complete, at(self.fleet.now));
            }
        }
    }

    fn process_queues(&mut self) {
        for index in 0..self.fleet.len() {
            let now = at(self.fleet.now);
            let entry = self.fleet.entries[index].as_mut();
            let outcomes = entry.map(|entry| entry.process_queues(now));
            for (ticket, outcome) in outcomes.unwrap_or_default() {
                if let Some(request) = self.waiting.remove(&(index, ticket)) {
                    self.apply(index, request, outcome);
                }
            }
        }
    }

    /// Returns what the worst other team and the greedy one get of their due in `millis`.
    fn shares(&mut self, millis: u64) -> (f64, f64) {
        self.tallies = Default::default();
        self.run(millis);
        let part = |team: usize, due: f64| {
            f64::from(self.tallies[team].started) * 1_000.0 / (millis as f64 * due)
        };
        let others = (1..=OTHERS).map(|team| {
            let asked = f64::from(self.tallies[team].asked) * 1_000.0 / millis as f64;
            part(team, OTHER_DUE.min(asked))
        });
        (others.fold(f64::MAX, f64::min), part(0, GREEDY_DUE))
    }
}

const ON: Policies = Policies {
    team_shares: true,
    return_places: false,
    slot_shares: false,
    hedge_part: 0.0,
};

/// Part of its due that each team may rely on while another one asks for ten times as much.
const RELIABLE_PART: f64 = 2.0 / 3.0;

/// Part of its due that the greedy team may exceed it by.
const EXCESS_PART: f64 = 1.0 / 3.0;

/// Part of what the service can do that is done at least.
const WORKING_PART: f64 = 0.8;

fn assert_shares(replay: &mut Replay, millis: u64, case: &str) {
    let (other, greedy) = replay.shares(millis);
    assert!(
        other >= RELIABLE_PART && greedy <= 1.0 + EXCESS_PART,
        "{case}: the worst team got {other:.2} of its due, the greedy one {greedy:.2}"
    );
    let started: u32 = replay.tallies.iter().map(|tally| tally.started).sum();
    let possible = (ENDPOINTS * SLOTS) as f64 * millis as f64 / SLOT_TIME as f64;
    assert!(
        f64::from(started) >= WORKING_PART * possible,
        "{case}: {started} of {possible:.0} requests"
    );
}

fn assert_shares_in_fleets(callers: Callers) {
    for count in SIZES {
        let mut replay = Replay::new(count, callers, ON);
        replay.run(4_000);
        assert_shares(&mut replay, 10_000, &format!("{count} entries"));
    }
}

#[test]
fn teams_get_their_due_whose_callers_reach_all_entries() {
    assert_shares_in_fleets(Callers::Spread);
}

#[test]
fn a_greedy_team_at_few_entries_takes_no_more_than_its_due() {
    assert_shares_in_fleets(Callers::GreedyBunched);
}

#[test]
fn teams_at_few_entries_get_their_due() {
    assert_shares_in_fleets(Callers::OthersBunched);
}

/// Guards against a fair order that each entry keeps for itself alone.
#[test]
fn a_greedy_team_takes_most_without_shares_or_reports_of_them() {
    for (policies, reports_work) in [(Policies::default(), true), (ON, false)] {
        let mut replay = Replay::new(30, Callers::Spread, policies);
        replay.fleet.reports_work = reports_work;
        replay.run(4_000);
        let (other, greedy) = replay.shares(10_000);
        assert!(other < 0.5 && greedy > 2.0, "{other:.2} {greedy:.2}");
    }
}

/// A team that was away for long has no credit: its return does not push the others out.
#[test]
fn an_absence_earns_no_credit() {
    for count in [1, 3, 30] {
        let mut replay = Replay::new(count, Callers::Spread, ON);
        replay.rates[0] = 0.0;
        replay.run(12_000);
        replay.rates[0] = GREEDY_RATE;
        replay.run(1_000);
        assert_shares(&mut replay, 4_000, &format!("{count} entries"));
    }
}

/// Where there is room for all, requests are served in order of arrival, and no report grows.
#[test]
fn nothing_changes_where_there_is_room_for_all() {
    let tallies = |policies| {
        let mut replay = Replay::new(30, Callers::Spread, policies);
        replay.rates = [RATE / 2.0; OTHERS + 1];
        replay.run(10_000);
        let now = at(replay.fleet.now);
        let mut reports = replay.fleet.running().map(|(_, entry)| entry.report(now));
        assert!(reports.all(|report| report.shares.is_empty()));
        replay.tallies.map(|tally| (tally.asked, tally.started))
    };
    assert_eq!(tallies(ON), tallies(Policies::default()));
}

/// A third of the entries is killed and restarted. What they knew of their work is lost, and the
/// others know it no longer: the bound holds for the 4 s after it too.
#[test]
fn shares_hold_after_entries_restart() {
    for count in [3, 30, 100] {
        let mut replay = Replay::new(count, Callers::Spread, ON);
        replay.run(4_000);
        for index in (0..count).step_by(3) {
            replay.fleet.kill(index);
            replay.fleet.start(index, 300);
        }
        replay.run(2_000);
        replay.add_endpoints();
        assert_shares(&mut replay, 4_000, &format!("{count} entries"));
    }
}

/// Reports take a second. A team exceeds its due by what it starts elsewhere meanwhile.
#[test]
fn late_reports_leave_the_others_half_of_their_due() {
    for count in [3, 30, 100] {
        let mut replay = Replay::new(count, Callers::Spread, ON);
        replay.fleet.delay = Duration::from_secs(1);
        replay.run(4_000);
        let (other, _) = replay.shares(8_000);
        assert!(other >= 0.5, "{count} entries: {other:.2}");
    }
}

/// Each half of a fleet knows half of the load, so it sends to endpoints without a free slot, and
/// which half's request finds one is left to chance. The order within the halves holds.
#[test]
fn a_cut_leaves_the_others_half_of_their_due() {
    for count in [3, 30, 100, 300] {
        let mut replay = Replay::new(count, Callers::Spread, ON);
        for index in (0..count).step_by(2) {
            replay.fleet.groups[index] = 1;
        }
        replay.fleet.store_up = false;
        replay.run(6_000);
        let (other, _) = replay.shares(8_000);
        assert!(other >= 0.5, "{count} entries: {other:.2}");
    }
}

/// The size of what is reported of shares depends on neither the entries nor the teams.
#[test]
fn reports_of_shares_are_bounded() {
    for (count, teams) in [(3, 16), (30, 4_900), (100, 4_900), (300, 4_900)] {
        let mut replay = Replay::new(count, Callers::Spread, ON);
        replay.fleet.run_with(3_000, |_| {});
        for number in 0..6_000 {
            let index = number % count;
            let now = at(replay.fleet.now);
            let request = PlacementRequest {
                team: (number % teams) as u64 + 1,
                ..placement_request(number as u64, 1, now)
            };
            if let Some(entry) = &mut replay.fleet.entries[index] {
                drop(entry.submit(request, now));
            }
        }
        replay.fleet.run(600);
        let now = at(replay.fleet.now);
        for entry in replay.fleet.entries.iter_mut().flatten() {
            for (_, report) in entry.reports(now) {
                let listed: usize = report.shares.iter().map(|part| part.teams.len()).sum();
                assert!(report.shares.len() <= 1 && listed <= 32, "{listed} teams");
            }
        }
    }
}

fn pool(rank: u8) -> Pool {
    Pool {
        service: 1,
        team_rank: 0,
        rank,
    }
}

fn pool_work(rank: u8, teams: &[(u64, u32, u32)]) -> PoolWork {
    let work = |(team, used, unmet): &(u64, u32, u32)| TeamWork {
        team: *team,
        used: *used,
        unmet: *unmet,
    };
    PoolWork {
        pool: pool(rank),
        owed: 0,
        teams: teams.iter().map(work).collect(),
        rest: TeamWork::default(),
    }
}

fn shares_of(work: &[PoolWork], teams: &[Arc<PlanTeam>]) -> TeamShares {
    let mut shares = TeamShares::default();
    shares.set_weights(Weights::new(1, teams));
    shares.refresh([(work, at(0))].into_iter(), at(0));
    shares
}

/// What requests of lower rank have taken gives way, so it is room for those of the higher one.
#[test]
fn a_rank_is_short_of_room_only_if_it_asks_for_more_than_all_have_taken() {
    let light = [
        pool_work(0, &[(1, 60, 20), (2, 10, 5)]),
        pool_work(1, &[(3, 30, 90)]),
    ];
    let shares = shares_of(&light, &[]);
    assert_eq!(shares.standing(pool(0), 1, 0.0, at(0)), None);
    let heavy = [
        pool_work(0, &[(1, 60, 90), (2, 10, 15)]),
        pool_work(1, &[(3, 30, 90)]),
    ];
    let shares = shares_of(&heavy, &[]);
    assert_eq!(
        shares.standing(pool(0), 1, 0.0, at(0)),
        Some(Standing::Owed)
    );
    let ahead = shares.standing(pool(0), 1, 60.0, at(0));
    assert!(matches!(ahead, Some(Standing::Above(_))), "{ahead:?}");
}

/// Work that a team started at a more urgent rank counts at a less urgent one.
#[test]
fn urgent_work_counts_at_lower_ranks() {
    let work = [
        pool_work(0, &[(1, 80, 0)]),
        pool_work(1, &[(1, 10, 50), (2, 10, 50)]),
    ];
    let shares = shares_of(&work, &[]);
    let above = shares.standing(pool(1), 1, 0.0, at(0));
    assert!(matches!(above, Some(Standing::Above(_))), "{above:?}");
    assert_eq!(
        shares.standing(pool(1), 2, 0.0, at(0)),
        Some(Standing::Owed)
    );
}

/// A team with three times the rate is due three times the work; one without a rate counts as the
/// average.
#[test]
fn shares_follow_the_rates() {
    let named = |name: &str, rate| {
        Arc::new(PlanTeam {
            name: name.into(),
            ..team(rate)
        })
    };
    let teams = [named("a", 1_500), named("b", 500), named("c", 0)];
    let [a, b, c] = ["a", "b", "c"].map(digest);
    let work = [pool_work(1, &[(a, 150, 900), (b, 50, 900), (c, 100, 900)])];
    let shares = shares_of(&work, &teams);
    for status in shares.statuses(at(0)) {
        let (due, used) = (status.due, status.work.used);
        assert!((due - used).abs() < 1.0, "{status:?}");
    }
    assert_eq!(shares.statuses(at(0)).count(), 3);
}
