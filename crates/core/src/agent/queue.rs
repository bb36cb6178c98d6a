//! Order of waiting reservations: strict tiers, and inside a tier fair shares between teams.
//!
//! Every operation costs at most the logarithm of what waits.

mod tier;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use self::tier::{Slot, TierQueue};
use crate::id::{RequestId, ReservationId};
use crate::name::TeamName;
use crate::request::{Reservation, Tier};
use crate::time::Timestamp;

/// Whether a request is short beside others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Class {
    /// As most are, or shorter.
    Short,
    /// Several times longer.
    Long,
}

/// A reservation and what is expected of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The reservation.
    pub reservation: Reservation,
    /// When its answer becomes worthless.
    pub deadline: Timestamp,
    /// Time that it is expected to take.
    pub service: Duration,
    /// Whether it is short.
    pub class: Class,
    /// Its place among its team's: lower goes first, and equal ranks in order of arrival.
    pub rank: u64,
}

impl Waiting {
    /// The latest time at which it can start and be expected to meet its deadline.
    #[must_use]
    pub fn latest_start(&self) -> Timestamp {
        self.deadline - self.service
    }
}

/// What waits in one tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QueueDepth {
    /// The tier.
    pub tier: Tier,
    /// Reservations waiting.
    pub depth: usize,
    /// Tokens asked for by what waits.
    pub tokens: u64,
    /// Expected time of what waits, in microseconds.
    pub work: u64,
    /// Reservations waiting, by team.
    pub teams: BTreeMap<TeamName, usize>,
}

/// What became of a reservation that was added.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Kept,
    /// It waits in place of another one.
    Displaced(Box<Waiting>),
    /// The queue is full and nothing less urgent waits.
    Full,
}

/// Tokens of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// What its team was charged when the reservation left the queue.
    pub expected: u64,
    /// What the run used.
    pub used: u64,
}

#[derive(Debug)]
struct Place {
    id: ReservationId,
    tier: Tier,
    team: TeamName,
    slot: Slot,
    start: Timestamp,
}

/// The waiting reservations of one agent, bounded in number. A request waits at most once.
#[derive(Debug)]
pub struct Queue {
    tiers: BTreeMap<Tier, TierQueue>,
    places: HashMap<RequestId, Place>,
    /// By latest start.
    starts: BTreeSet<(Timestamp, RequestId)>,
    sequence: u64,
    limit: usize,
}

impl Queue {
    /// An empty queue that holds at most `limit` reservations.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            tiers: BTreeMap::new(),
            places: HashMap::new(),
            starts: BTreeSet::new(),
            sequence: 0,
            limit,
        }
    }

    /// Adds a reservation of a request that does not wait here, for a team of the given weight.
    ///
    /// A full queue drops the last reservation of its lowest tier's longest team, if the new
    /// one is more urgent, or is as urgent and its team has less waiting for its weight.
    pub fn push(&mut self, waiting: Waiting, weight: u32) -> Admission {
        if self.len() < self.limit {
            self.insert(waiting, weight);
            return Admission::Kept;
        }
        let Some(displaced) = self.displace(&waiting.reservation, weight) else {
            return Admission::Full;
        };
        self.insert(waiting, weight);
        Admission::Displaced(Box::new(displaced))
    }

    /// The attempt of a request that waits here.
    #[must_use]
    pub fn attempt(&self, request: RequestId) -> Option<u32> {
        self.places.get(&request).map(|place| place.id.attempt)
    }

    /// The reservation that is next to be offered a slot, of any class up to `class`.
    #[must_use]
    pub fn peek(&self, class: Class) -> Option<&Waiting> {
        self.tiers.values().find_map(|tier| tier.peek(class))
    }

    /// Takes the reservation that [`Queue::peek`] shows and charges its team what it asks for.
    pub fn pop(&mut self, class: Class) -> Option<Waiting> {
        let next = &self.peek(class)?.reservation;
        let (id, tokens) = (next.id, next.cost.total());
        let (tier, team) = (next.tier, next.team.clone());
        self.tiers.get_mut(&tier)?.charge(&team, tokens);
        self.remove(id)
    }

    /// Expected time of the work that goes before a new reservation of `team`: of the more urgent
    /// tiers all, and of its own tier no more than the team's own work as often as teams share the
    /// tier. Long work does not go before a short reservation, which passes it.
    #[must_use]
    pub fn work_ahead(&self, tier: Tier, team: &TeamName, class: Class) -> Duration {
        let urgent = self.tiers.range(..tier);
        let urgent = urgent.map(|(_, queue)| queue.work().up_to(class));
        let own = self.tiers.get(&tier);
        let own = own.map_or(0, |queue| queue.ahead(team, class));
        Duration::from_micros(urgent.fold(own, u64::saturating_add))
    }

    /// Replaces what a team was charged when its reservation left by what was used.
    pub fn correct(&mut self, tier: Tier, team: &TeamName, weight: u32, charge: Charge) {
        if let Some(tier) = self.tiers.get_mut(&tier) {
            tier.correct(team, weight, charge.expected, charge.used);
        }
    }

    /// Takes one reservation out.
    pub fn remove(&mut self, id: ReservationId) -> Option<Waiting> {
        let place = self.places.get(&id.request).filter(|p| p.id == id)?;
        self.starts.remove(&(place.start, id.request));
        let tier = self.tiers.get_mut(&place.tier)?;
        let waiting = tier.remove(&place.team, place.slot);
        self.places.remove(&id.request);
        waiting
    }

    /// Takes out every reservation whose latest start has come.
    pub fn take_late(&mut self, now: Timestamp) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some(&(start, request)) = self.starts.first()
            && start <= now
        {
            let id = self.places.get(&request).map(|place| place.id);
            late.extend(id.and_then(|id| self.remove(id)));
        }
        late
    }

    /// Takes out everything, in order of latest starts.
    pub fn drain(&mut self) -> Vec<Waiting> {
        self.take_late(Timestamp::NEVER)
    }

    /// The earliest latest start of all that waits.
    #[must_use]
    pub fn next_start(&self) -> Option<Timestamp> {
        self.starts.first().map(|(start, _)| *start)
    }

    /// Reservations waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// What waits in each tier that has been used.
    #[must_use]
    pub fn depths(&self) -> Vec<QueueDepth> {
        let depth = |(&tier, queue): (&Tier, &TierQueue)| QueueDepth {
            tier,
            depth: queue.len(),
            tokens: queue.tokens(),
            work: queue.work().up_to(Class::Long),
            teams: queue.depths(),
        };
        self.tiers.iter().map(depth).collect()
    }

    /// Virtual counters kept, of teams that wait and of teams that are ahead of their share.
    #[must_use]
    pub fn counters(&self) -> usize {
        self.tiers.values().map(TierQueue::counters).sum()
    }

    fn insert(&mut self, waiting: Waiting, weight: u32) {
        let reservation = &waiting.reservation;
        let slot = Slot {
            class: waiting.class,
            rank: waiting.rank,
            sequence: self.sequence,
        };
        let place = Place {
            id: reservation.id,
            tier: reservation.tier,
            team: reservation.team.clone(),
            slot,
            start: waiting.latest_start(),
        };
        self.starts.insert((place.start, place.id.request));
        let tier = self.tiers.entry(place.tier).or_default();
        tier.insert(slot, waiting, weight);
        self.places.insert(place.id.request, place);
        self.sequence += 1;
    }

    /// Takes out what must go for `newcomer`, if anything must.
    fn displace(&mut self, newcomer: &Reservation, weight: u32) -> Option<Waiting> {
        let (&lowest, tier) = self.tiers.iter().rev().find(|(_, tier)| tier.len() > 0)?;
        let yields = newcomer.tier.outranks(lowest)
            || (newcomer.tier == lowest && tier.favours(&newcomer.team, weight));
        let id = tier.last_of_longest().filter(|_| yields)?;
        self.remove(id)
    }
}
