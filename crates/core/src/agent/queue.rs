//! The queue of waiting reservations: strict priority between tiers, fair shares between the teams
//! of a tier.
//!
//! Every operation takes at most logarithmic time in the number of waiting reservations.

mod tier;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use self::tier::{QueueKey, TierQueue};
use crate::id::{RequestId, ReservationId};
use crate::name::TeamName;
use crate::request::{Reservation, Tier};
use crate::time::Timestamp;

/// Size class of a request, relative to other recent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum SizeClass {
    /// Of average size or smaller.
    Short,
    /// Several times larger than the average.
    Long,
}

/// A waiting reservation and its estimates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The reservation.
    pub reservation: Reservation,
    /// Time after which the answer is of no use to the caller.
    pub deadline: Timestamp,
    /// Expected service time.
    pub service: Duration,
    /// Size class of the request.
    pub class: SizeClass,
    /// Position among the reservations of its team. Lower ranks come first, equal ranks in order of
    /// arrival.
    pub rank: u64,
}

impl Waiting {
    /// Returns the latest time at which the request can start and still be expected to meet its
    /// deadline.
    #[must_use]
    pub fn latest_start(&self) -> Timestamp {
        self.deadline - self.service
    }
}

/// Length of the queue of one tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QueueDepth {
    /// The tier that the figures belong to.
    pub tier: Tier,
    /// Number of waiting reservations.
    pub depth: usize,
    /// Tokens requested by the waiting reservations.
    pub tokens: u64,
    /// Expected service time of the waiting reservations, in microseconds.
    pub work: u64,
    /// Number of waiting reservations by team.
    pub teams: BTreeMap<TeamName, usize>,
}

/// Result of adding a reservation to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The reservation was queued.
    Queued,
    /// The reservation was queued and evicted the contained one.
    Displaced(Box<Waiting>),
    /// The queue is full and holds no less urgent reservation.
    Full,
}

/// Tokens charged to a team for one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    /// Tokens charged when the reservation left the queue.
    pub expected: u64,
    /// Tokens that the run used.
    pub used: u64,
}

#[derive(Debug)]
struct Position {
    id: ReservationId,
    tier: Tier,
    team: TeamName,
    key: QueueKey,
    latest_start: Timestamp,
}

/// The waiting reservations of one agent, bounded in number. It holds at most one reservation of
/// each request.
#[derive(Debug)]
pub struct Queue {
    tiers: BTreeMap<Tier, TierQueue>,
    positions: HashMap<RequestId, Position>,
    /// Waiting requests in order of their latest start.
    latest_starts: BTreeSet<(Timestamp, RequestId)>,
    sequence: u64,
    limit: usize,
}

impl Queue {
    /// Creates an empty queue that holds at most `limit` reservations.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            tiers: BTreeMap::new(),
            positions: HashMap::new(),
            latest_starts: BTreeSet::new(),
            sequence: 0,
            limit,
        }
    }

    /// Adds a reservation for a team of the given weight. The request must not be in the queue
    /// already.
    ///
    /// A full queue evicts the last reservation of the longest team in its least urgent tier, if
    /// the new one is more urgent, or is equally urgent and its team has fewer reservations waiting
    /// in proportion to its weight.
    pub fn push(&mut self, waiting: Waiting, weight: u32) -> Admission {
        if self.len() < self.limit {
            self.insert(waiting, weight);
            return Admission::Queued;
        }
        let Some(displaced) = self.make_room(&waiting.reservation, weight) else {
            return Admission::Full;
        };
        self.insert(waiting, weight);
        Admission::Displaced(Box::new(displaced))
    }

    /// Returns the attempt number under which a request waits here.
    #[must_use]
    pub fn attempt(&self, request: RequestId) -> Option<u32> {
        self.positions
            .get(&request)
            .map(|position| position.id.attempt)
    }

    /// Returns the next reservation to be offered a slot, of any class up to `class`.
    #[must_use]
    pub fn peek(&self, class: SizeClass) -> Option<&Waiting> {
        self.tiers.values().find_map(|tier| tier.peek(class))
    }

    /// Removes the reservation that [`Queue::peek`] returns and charges its team for the requested
    /// tokens.
    pub fn pop(&mut self, class: SizeClass) -> Option<Waiting> {
        let next = &self.peek(class)?.reservation;
        let (id, tokens) = (next.id, next.cost.total());
        let (tier, team) = (next.tier, next.team.clone());
        self.tiers.get_mut(&tier)?.charge(&team, tokens);
        self.remove(id)
    }

    /// Returns the expected time of the work served before a new reservation of `team`. It is the
    /// work of all more urgent tiers, plus the team's own work in this tier times the number of
    /// teams that share the tier, up to all work of the tier. Long work is not counted for a short
    /// reservation, which overtakes it.
    #[must_use]
    pub fn work_ahead(&self, tier: Tier, team: &TeamName, class: SizeClass) -> Duration {
        let urgent = self.tiers.range(..tier);
        let urgent = urgent.map(|(_, queue)| queue.work().up_to(class));
        let own = self.tiers.get(&tier);
        let own = own.map_or(0, |queue| queue.work_ahead(team, class));
        Duration::from_micros(urgent.fold(own, u64::saturating_add))
    }

    /// Replaces the tokens charged when a reservation left the queue by the tokens used.
    pub fn correct(&mut self, tier: Tier, team: &TeamName, weight: u32, charge: Charge) {
        if let Some(tier) = self.tiers.get_mut(&tier) {
            tier.correct(team, weight, charge.expected, charge.used);
        }
    }

    /// Removes one reservation.
    pub fn remove(&mut self, id: ReservationId) -> Option<Waiting> {
        let position = self.positions.get(&id.request).filter(|p| p.id == id)?;
        self.latest_starts
            .remove(&(position.latest_start, id.request));
        let tier = self.tiers.get_mut(&position.tier)?;
        let waiting = tier.remove(&position.team, position.key);
        self.positions.remove(&id.request);
        waiting
    }

    /// Removes every reservation whose latest start has passed.
    pub fn remove_late(&mut self, now: Timestamp) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some(&(start, request)) = self.latest_starts.first()
            && start <= now
        {
            let id = self.positions.get(&request).map(|position| position.id);
            late.extend(id.and_then(|id| self.remove(id)));
        }
        late
    }

    /// Removes all reservations, in order of their latest start.
    pub fn drain(&mut self) -> Vec<Waiting> {
        self.remove_late(Timestamp::NEVER)
    }

    /// Returns the earliest of the latest starts of all waiting reservations.
    #[must_use]
    pub fn next_latest_start(&self) -> Option<Timestamp> {
        self.latest_starts.first().map(|(start, _)| *start)
    }

    /// Returns the number of waiting reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no reservation is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the queue length of each tier that has been used.
    #[must_use]
    pub fn depths(&self) -> Vec<QueueDepth> {
        let depth = |(&tier, queue): (&Tier, &TierQueue)| QueueDepth {
            tier,
            depth: queue.len(),
            tokens: queue.tokens(),
            work: queue.work().up_to(SizeClass::Long),
            teams: queue.depths(),
        };
        self.tiers.iter().map(depth).collect()
    }

    /// Returns the number of virtual counters kept, for waiting teams and for absent teams that are
    /// ahead of their share.
    #[must_use]
    pub fn counters(&self) -> usize {
        self.tiers.values().map(TierQueue::counters).sum()
    }

    fn insert(&mut self, waiting: Waiting, weight: u32) {
        let reservation = &waiting.reservation;
        let key = QueueKey {
            class: waiting.class,
            rank: waiting.rank,
            sequence: self.sequence,
        };
        let position = Position {
            id: reservation.id,
            tier: reservation.tier,
            team: reservation.team.clone(),
            key,
            latest_start: waiting.latest_start(),
        };
        self.latest_starts
            .insert((position.latest_start, position.id.request));
        let tier = self.tiers.entry(position.tier).or_default();
        tier.insert(key, waiting, weight);
        self.positions.insert(position.id.request, position);
        self.sequence += 1;
    }

    /// Evicts the reservation that must make room for `newcomer`, or returns `None` if `newcomer`
    /// has no claim to room.
    fn make_room(&mut self, newcomer: &Reservation, weight: u32) -> Option<Waiting> {
        let (&lowest, tier) = self.tiers.iter().rev().find(|(_, tier)| tier.len() > 0)?;
        let evicts = newcomer.tier.outranks(lowest)
            || (newcomer.tier == lowest && tier.has_claim(&newcomer.team, weight));
        let id = tier.eviction_candidate().filter(|_| evicts)?;
        self.remove(id)
    }
}
