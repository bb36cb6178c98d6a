//! Compares the queue with a reference that scans a list for the best candidate and keeps every
//! counter.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreyhaven_core::agent::{Admission, Charge, Queue, SizeClass, Waiting};
use comfreyhaven_core::{Cost, ReservationId, TeamName, Tier, Timestamp};
use proptest::prelude::*;

use crate::support::{config, reservation, reservation_id, team_name};

const LIMIT: usize = 12;

/// Counter units of one token at weight 1, as in the queue.
const TOKEN_UNITS: u64 = 256;

#[derive(Debug, Clone)]
enum Step {
    Push {
        request: u128,
        tier: u8,
        team: usize,
        tokens: u32,
        deadline: u64,
        order: (SizeClass, u64),
    },
    Pop(SizeClass),
    Remove(u128),
    Late(u64),
    Correct {
        tier: u8,
        team: usize,
        charge: (u64, u64),
    },
}

fn class() -> impl Strategy<Value = SizeClass> {
    prop_oneof![Just(SizeClass::Short), Just(SizeClass::Long)]
}

fn step() -> impl Strategy<Value = Step> {
    let order = (class(), 0_u64..20);
    let push = (
        0_u128..200,
        0_u8..3,
        0_usize..5,
        1_u32..2_000,
        0_u64..10_000,
        order,
    );
    let push = push.prop_map(
        |(request, tier, team, tokens, deadline, order)| Step::Push {
            request,
            tier,
            team,
            tokens,
            deadline,
            order,
        },
    );
    prop_oneof![
        12 => push,
        6 => class().prop_map(Step::Pop),
        2 => (0_u128..200).prop_map(Step::Remove),
        1 => (0_u64..6_000).prop_map(Step::Late),
        2 => (0_u8..3, 0_usize..5, (0_u64..2_000, 0_u64..2_000))
            .prop_map(|(tier, team, charge)| Step::Correct { tier, team, charge }),
    ]
}

fn weight(team: &TeamName) -> u32 {
    if *team == team_name(4) { 3 } else { 1 }
}

fn units(tokens: u64, team: &TeamName) -> u64 {
    tokens.max(1) * TOKEN_UNITS / u64::from(weight(team))
}

#[derive(Default)]
struct ReferenceQueue {
    /// Waiting reservations in order of arrival.
    waiting: Vec<Waiting>,
    counters: BTreeMap<(Tier, TeamName), u64>,
    floors: BTreeMap<Tier, u64>,
}

impl ReferenceQueue {
    fn of_team<'a>(&'a self, tier: Tier, team: &'a TeamName) -> impl Iterator<Item = &'a Waiting> {
        let same = move |w: &&Waiting| w.reservation.tier == tier && w.reservation.team == *team;
        self.waiting.iter().filter(same)
    }

    fn counter(&self, tier: Tier, team: &TeamName) -> u64 {
        let counter = self
            .counters
            .get(&(tier, team.clone()))
            .copied()
            .unwrap_or(0);
        if self.of_team(tier, team).next().is_some() {
            return counter;
        }
        counter.max(self.floors.get(&tier).copied().unwrap_or(0))
    }

    fn push(&mut self, new: Waiting) -> Admission {
        if self.waiting.len() < LIMIT {
            self.insert(new);
            return Admission::Queued;
        }
        let lowest = self
            .waiting
            .iter()
            .map(|w| w.reservation.tier)
            .max()
            .unwrap();
        let length = |team: &TeamName, extra: usize| {
            (self.of_team(lowest, team).count() + extra) * 1_024 / weight(team) as usize
        };
        let teams = self.waiting.iter().filter(|w| w.reservation.tier == lowest);
        let longest = teams
            .map(|w| (length(&w.reservation.team, 0), w.reservation.team.clone()))
            .max()
            .unwrap();
        let (tier, team) = (new.reservation.tier, &new.reservation.team);
        if tier > lowest || (tier == lowest && length(team, 1) >= longest.0) {
            return Admission::Full;
        }
        let last = self.of_team(lowest, &longest.1).max_by_key(|w| w.rank);
        let id = last.unwrap().reservation.id;
        let displaced = self.remove(id).unwrap();
        self.insert(new);
        Admission::Displaced(Box::new(displaced))
    }

    fn insert(&mut self, new: Waiting) {
        let (tier, team) = (new.reservation.tier, new.reservation.team.clone());
        if self.of_team(tier, &team).next().is_none() {
            let others = self.waiting.iter().filter(|w| w.reservation.tier == tier);
            let lowest = others
                .map(|w| self.counter(tier, &w.reservation.team))
                .min();
            let counter = self.counter(tier, &team).max(lowest.unwrap_or(0));
            self.counters.insert((tier, team), counter);
        }
        self.waiting.push(new);
    }

    fn remove(&mut self, id: ReservationId) -> Option<Waiting> {
        let position = self.waiting.iter().position(|w| w.reservation.id == id)?;
        Some(self.waiting.remove(position))
    }

    fn pop(&mut self, class: SizeClass) -> Option<Waiting> {
        let rank = |w: &&Waiting| {
            let (tier, team) = (w.reservation.tier, &w.reservation.team);
            (tier, self.counter(tier, team), team.clone(), w.rank)
        };
        let allowed = self.waiting.iter().filter(|w| w.class <= class);
        let best = allowed.min_by_key(rank)?.reservation.id;
        let waiting = self.remove(best)?;
        let (tier, team) = (waiting.reservation.tier, waiting.reservation.team.clone());
        let counter = self.counters.get_mut(&(tier, team.clone()))?;
        let floor = self.floors.entry(tier).or_default();
        *floor = (*floor).max(*counter);
        *counter += units(waiting.reservation.cost.total(), &team);
        Some(waiting)
    }

    fn correct(&mut self, tier: Tier, team: &TeamName, charge: Charge) {
        let raised = self.counter(tier, team) + units(charge.used, team);
        let corrected = raised.saturating_sub(units(charge.expected, team));
        self.counters.insert((tier, team.clone()), corrected);
    }

    fn remove_late(&mut self, now: Timestamp) -> Vec<ReservationId> {
        let (late, remaining): (Vec<_>, _) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w| w.latest_start() <= now);
        self.waiting = remaining;
        sorted(&late)
    }
}

fn sorted(waiting: &[Waiting]) -> Vec<ReservationId> {
    let mut ids: Vec<_> = waiting.iter().map(|w| w.reservation.id).collect();
    ids.sort();
    ids
}

fn compare(queue: &mut Queue, reference: &mut ReferenceQueue, step: Step) {
    match step {
        Step::Push {
            request,
            tier,
            team,
            tokens,
            deadline,
            order: (class, rank),
        } => {
            let id = reservation_id(request, 0);
            if queue.attempt(id.request).is_some() {
                return;
            }
            let cost = Cost {
                prompt: tokens,
                output: 0,
            };
            let waiting = Waiting {
                reservation: reservation(id, tier, team, cost),
                deadline: Timestamp::from_micros(deadline),
                service: Duration::from_micros(u64::from(tokens)),
                class,
                rank,
            };
            let weight = weight(&waiting.reservation.team);
            assert_eq!(queue.push(waiting.clone(), weight), reference.push(waiting));
        }
        Step::Pop(class) => assert_eq!(queue.pop(class), reference.pop(class)),
        Step::Remove(request) => {
            let id = reservation_id(request, 0);
            assert_eq!(queue.remove(id), reference.remove(id));
        }
        Step::Late(time) => {
            let now = Timestamp::from_micros(time);
            assert_eq!(sorted(&queue.remove_late(now)), reference.remove_late(now));
        }
        Step::Correct {
            tier,
            team,
            charge: (expected, used),
        } => {
            let (team, charge) = (team_name(team), Charge { expected, used });
            let used = reference.floors.contains_key(&Tier(tier));
            if used {
                queue.correct(Tier(tier), &team, weight(&team), charge);
                reference.correct(Tier(tier), &team, charge);
            }
        }
    }
    assert_eq!(queue.len(), reference.waiting.len());
    let earliest = reference.waiting.iter().map(Waiting::latest_start).min();
    assert_eq!(queue.next_latest_start(), earliest);
    for tier in (0..3).map(Tier) {
        let work = reference
            .waiting
            .iter()
            .filter(|w| w.reservation.tier < tier);
        let short = work.clone().filter(|w| w.class == SizeClass::Short);
        let ahead = |class| queue.work_ahead(tier, &team_name(9), class);
        assert_eq!(ahead(SizeClass::Short), short.map(|w| w.service).sum());
        assert_eq!(ahead(SizeClass::Long), work.map(|w| w.service).sum());
    }
}

proptest! {
    #![proptest_config(config(1_000, "tests/proptest-regressions/queue.txt"))]

    /// The indexed queue and the reference return the same results for the same calls.
    #[test]
    fn queue_matches_reference_queue(steps in prop::collection::vec(step(), 1..300)) {
        let (mut queue, mut reference) = (Queue::new(LIMIT), ReferenceQueue::default());
        for step in steps {
            compare(&mut queue, &mut reference, step);
        }
    }
}

/// The number of counters stays bounded, however many teams have had requests.
#[test]
fn counters_are_bounded_by_active_teams() {
    let mut queue = Queue::new(64);
    for request in 0..20_000_u128 {
        let cost = Cost {
            prompt: 100,
            output: 0,
        };
        let mut reservation = reservation(reservation_id(request, 0), 0, 0, cost);
        reservation.team = TeamName::new(&format!("visitor-{}", request % 4_900)).unwrap();
        let waiting = Waiting {
            reservation,
            deadline: Timestamp::NEVER,
            service: Duration::ZERO,
            class: SizeClass::Short,
            rank: 0,
        };
        queue.push(waiting, 1);
        if queue.len() == 32 {
            queue.pop(SizeClass::Long);
        }
        assert!(
            queue.counters() <= 1_024 + 64,
            "{} counters",
            queue.counters()
        );
    }
}
