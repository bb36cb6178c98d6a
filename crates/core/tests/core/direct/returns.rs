//! Replays of an overload whose refused callers return once, at another entry.
//!
//! The bounds are what callers need: a refusal at once, and a place that holds.

use std::time::Duration;

use comfreyhaven_core::direct::{Ending, Outcome, Policies, Refused, ReturnPlaces, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::simulation::{Kind, Policy, Returns, Simulation};
use super::{SERVICE, at, endpoint_record, placed, placement_request, scheduler};

/// Eight fast endpoints and four that take over four times as long.
const FACTORS: [f64; 12] = [
    0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0, 0.68, 0.68, 3.0,
];

/// Long plans, medium questions and short checks.
const KINDS: [Kind; 3] = [
    Kind {
        rank: 0,
        rate: 43.0,
        prompt: 6_600.0,
        length: 382.0,
        objective: 800,
    },
    Kind {
        rank: 1,
        rate: 37.0,
        prompt: 630.0,
        length: 294.0,
        objective: 400,
    },
    Kind {
        rank: 2,
        rate: 64.0,
        prompt: 1_800.0,
        length: 24.0,
        objective: 400,
    },
];

const ON: Policies = Policies {
    team_shares: false,
    return_places: true,
    slot_shares: false,
    hedge_part: 0.0,
};

/// A load after which there is room again.
struct Load {
    times: f64,
    seconds: u64,
    /// Part of the refused callers that return at once.
    hasty: f64,
    report_interval: Duration,
}

impl Load {
    const fn new(times: f64) -> Self {
        Self {
            times,
            seconds: 10,
            hasty: 0.0,
            report_interval: Duration::from_millis(200),
        }
    }

    fn replay(&self, entries: u8, policies: Policies) -> Simulation {
        let returns = Returns { hasty: self.hasty };
        let mut simulation = Simulation::new(Policy::Scheduled, entries, &FACTORS, 15, &KINDS)
            .with_reservations()
            .with_report_interval(self.report_interval)
            .with_returns(returns, policies);
        let end = 4_000 + 1_000 * self.seconds;
        simulation.add_load(0, 4_000, 0.6);
        simulation.add_load(4_000, end, self.times);
        simulation.add_load(end, end + 4_000, 0.6);
        simulation.run(60_000);
        simulation
    }
}

fn median(values: &[u64]) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or(0)
}

fn part(count: u32, of: u32) -> f64 {
    f64::from(count) / f64::from(of.max(1))
}

fn served(simulation: &Simulation) -> u32 {
    let tallies = simulation.tallies.iter();
    tallies.map(|tally| tally.timely + tally.late).sum()
}

/// Prints what callers see, by rank.
fn print(name: &str, simulation: &Simulation) {
    let tries: u32 = simulation
        .tallies
        .iter()
        .map(|tally| tally.submitted + tally.returned)
        .sum();
    println!(
        "{name}: refused after {} ms, {:.2} tries per served",
        median(&simulation.refused_waits),
        part(tries, served(simulation)),
    );
    for (rank, tally) in simulation.tallies.iter().enumerate() {
        println!(
            "  rank {rank}: in time {:.3}, served {:.3}; returned {}, of them served {:.2}; with a place {}, of them served {:.2}",
            tally.timely_part(),
            tally.served_part(),
            tally.returned,
            part(tally.readmitted, tally.returned),
            tally.placed,
            part(tally.kept, tally.placed),
        );
    }
}

#[test]
fn the_refused_hear_at_once_and_no_fewer_are_served() {
    for entries in [3, 22] {
        for times in [1.0, 1.5, 2.0, 4.0] {
            let load = Load::new(times);
            let off = load.replay(entries, Policies::default());
            let on = load.replay(entries, ON);
            print(&format!("{entries} entries, load {times}, off"), &off);
            print(&format!("{entries} entries, load {times}, on"), &on);
            assert!(f64::from(served(&on)) > 0.97 * f64::from(served(&off)));
            let urgent = |simulation: &Simulation| simulation.tallies[0].served_part();
            assert!(urgent(&on) > urgent(&off) - 0.02);
            if times >= 2.0 {
                assert!(median(&on.refused_waits) < 20, "{entries} entries, {times}");
            }
        }
    }
}

fn check_places(simulation: &Simulation) {
    let urgent = simulation.tallies[0];
    assert!(urgent.placed > 20, "{urgent:?}");
    assert!(part(urgent.kept, urgent.placed) >= 0.9, "{urgent:?}");
}

#[test]
fn a_place_is_kept() {
    check_places(&Load::new(4.0).replay(3, ON));
}

/// Entries with few callers see free slots in reports only.
#[test]
fn a_place_is_kept_at_small_entries() {
    check_places(&Load::new(4.0).replay(22, ON));
}

#[test]
fn after_a_burst_those_who_return_are_served() {
    let burst = Load {
        seconds: 3,
        ..Load::new(3.0)
    };
    let off = burst.replay(22, Policies::default());
    let on = burst.replay(22, ON);
    print("burst, off", &off);
    print("burst, on", &on);
    for (off, on) in off.tallies.iter().zip(&on.tallies).take(2) {
        assert!(part(on.readmitted, on.returned) >= 0.9, "{off:?} {on:?}");
    }
}

#[test]
fn callers_that_return_at_once_take_no_places() {
    let load = Load {
        hasty: 0.5,
        ..Load::new(4.0)
    };
    let on = load.replay(22, ON);
    print("half of the callers return at once", &on);
    check_places(&on);
}

/// Entries that hear of each other late, or not at all, measure what they start themselves.
#[test]
fn late_reports_and_a_cut_fleet_keep_the_places() {
    for seconds in [2, 100] {
        let load = Load {
            report_interval: Duration::from_secs(seconds),
            ..Load::new(4.0)
        };
        let on = load.replay(22, ON);
        print(&format!("reports each {seconds} s"), &on);
        assert!(median(&on.refused_waits) < 20);
        check_places(&on);
    }
}

#[test]
fn a_free_slot_is_used_whatever_was_refused() {
    let mut entry = scheduler(1, &[]).with_policies(ON);
    entry.upsert_endpoint(endpoint_record("e0", 1), at(0));
    let Some(Outcome::Placed(first)) = entry.submit(placement_request(1, 0, at(0)), at(0)) else {
        panic!("the slot is free");
    };
    let outcomes: Vec<_> = (2..42)
        .map(|ticket| entry.submit(placement_request(ticket, 0, at(100)), at(100)))
        .collect();
    let is_refused = |outcome: &Option<Outcome>| matches!(outcome, Some(Outcome::Refused(_)));
    assert!(outcomes[0].is_none(), "one waits");
    let refused = outcomes.iter().filter(|outcome| is_refused(outcome));
    let refused = refused.count();
    assert!(refused >= 20, "{refused} refused");
    entry.end(&first.run, Ending::Complete, at(150));
    let waiting = entry.process_queues(at(150));
    assert!(matches!(waiting[..], [(Ticket(2), Outcome::Placed(_)), ..]));
    let run = match &waiting[0].1 {
        Outcome::Placed(placement) => placement.run.clone(),
        Outcome::Refused(_) => panic!("the slot is free"),
    };
    for ticket in 3..42 {
        entry.withdraw(SERVICE, Ticket(ticket));
    }
    entry.end(&run, Ending::Complete, at(200));
    assert!(placed(entry.submit(placement_request(50, 0, at(200)), at(200))).is_some());
}

/// Room of a rank in the fleet, in long requests a second.
const FLEET_RATE: f64 = 200.0;

/// Returns the places that entries give in ten seconds, each of which has its part of the room. In
/// the middle each is replaced by a process that knows nothing, if `restarts`.
fn places_given(entries: u32, restarts: bool) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let refused = Refused {
        level: 0,
        left: Duration::from_secs(12),
        longest: Duration::from_secs(12),
        need: Duration::from_secs(1),
        rate: FLEET_RATE / f64::from(entries),
    };
    let mut given = 0;
    for _ in 0..entries {
        let mut places = ReturnPlaces::default();
        for time in (0..10_000).step_by(20) {
            if restarts && time == 5_500 {
                places = ReturnPlaces::default();
            }
            let place = places.give(&refused, random.random(), at(time));
            given += u32::from(place.is_some());
        }
    }
    given
}

#[test]
fn fleets_of_any_size_give_no_more_places_than_there_is_room() {
    // A fifth of the room is for those who return.
    let room = FLEET_RATE / 5.0;
    for entries in [1, 3, 30, 100, 300] {
        let given = f64::from(places_given(entries, false));
        assert!(given <= 10.0 * room * 1.1, "{entries}: {given}");
        assert!(given >= 10.0 * room * 0.8, "{entries}: {given}");
        // A restart forgets the places of one second at most.
        let given = f64::from(places_given(entries, true));
        assert!(given <= 11.0 * room * 1.1, "{entries}: {given}");
    }
}
