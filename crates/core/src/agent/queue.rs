//! Order of waiting reservations: strict tiers, and inside a tier fair shares between teams.
//!
//! Each team has a virtual counter of the tokens it was served, divided by its weight; the team with
//! the lowest counter is next. A team that comes back after an absence starts at the lowest counter
//! of the waiting teams, so that it neither owes nor saves. The method is the virtual token counter
//! of Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024).

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::Serialize;

use crate::id::ReservationId;
use crate::name::TeamName;
use crate::request::{Reservation, Tier};
use crate::time::Timestamp;

/// A reservation with the time at which its answer becomes worthless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The reservation.
    pub reservation: Reservation,
    /// When it is given back if it has no offer.
    pub deadline: Timestamp,
}

/// Number of reservations that wait in one tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QueueDepth {
    /// The tier.
    pub tier: Tier,
    /// Reservations waiting.
    pub depth: usize,
}

#[derive(Debug, Default)]
struct TierQueue {
    teams: BTreeMap<TeamName, VecDeque<Waiting>>,
    counters: HashMap<TeamName, u64>,
    depth: usize,
}

/// The waiting reservations of one agent, bounded in number.
#[derive(Debug)]
pub struct Queue {
    tiers: BTreeMap<Tier, TierQueue>,
    limit: usize,
}

impl Queue {
    /// An empty queue that holds at most `limit` reservations.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            tiers: BTreeMap::new(),
            limit,
        }
    }

    /// Adds a reservation. A full queue drops the newest reservation of its lowest tier, or the
    /// given one if nothing less urgent waits. Returns what was dropped.
    pub fn push(&mut self, waiting: Waiting) -> Option<Waiting> {
        if self.len() < self.limit {
            self.insert(waiting);
            return None;
        }
        let lowest = self.lowest_tier();
        if lowest.is_none_or(|tier| !waiting.reservation.tier.outranks(tier)) {
            return Some(waiting);
        }
        let displaced = lowest.and_then(|tier| self.take_newest(tier));
        self.insert(waiting);
        displaced
    }

    /// The reservation that is next to be offered a slot.
    #[must_use]
    pub fn peek(&self) -> Option<&Waiting> {
        let tier = self.tiers.values().find(|tier| tier.depth > 0)?;
        tier.teams.get(tier.next_team()?)?.front()
    }

    /// Takes the reservation that [`Queue::peek`] shows and charges its team.
    pub fn pop(&mut self, weight: impl Fn(&TeamName) -> u32) -> Option<Waiting> {
        let tier = self.tiers.values_mut().find(|tier| tier.depth > 0)?;
        let team = tier.next_team()?.clone();
        let waiting = tier.teams.get_mut(&team)?.pop_front()?;
        tier.depth -= 1;
        let charge = waiting.reservation.cost.total().max(1) / u64::from(weight(&team).max(1));
        *tier.counters.entry(team.clone()).or_default() += charge.max(1);
        tier.drop_if_empty(&team);
        Some(waiting)
    }

    /// Takes one reservation out.
    pub fn remove(&mut self, id: ReservationId) -> Option<Waiting> {
        self.take_where(|waiting| waiting.reservation.id == id)
            .pop()
    }

    /// Takes out every reservation that `unwanted` picks.
    pub fn take_where(&mut self, mut unwanted: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for tier in self.tiers.values_mut() {
            for list in tier.teams.values_mut() {
                let (out, kept): (Vec<_>, Vec<_>) = list.drain(..).partition(&mut unwanted);
                taken.extend(out);
                list.extend(kept);
            }
            tier.teams.retain(|_, list| !list.is_empty());
            tier.depth = tier.teams.values().map(VecDeque::len).sum();
        }
        taken
    }

    /// The earliest deadline of all that waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let teams = self.tiers.values().flat_map(|tier| tier.teams.values());
        teams.flatten().map(|waiting| waiting.deadline).min()
    }

    /// Reservations waiting.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tiers.values().map(|tier| tier.depth).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Depth of each tier that has been used.
    #[must_use]
    pub fn depths(&self) -> Vec<QueueDepth> {
        let depth = |(&tier, queue): (&Tier, &TierQueue)| QueueDepth {
            tier,
            depth: queue.depth,
        };
        self.tiers.iter().map(depth).collect()
    }

    fn lowest_tier(&self) -> Option<Tier> {
        self.tiers
            .iter()
            .rev()
            .find(|(_, tier)| tier.depth > 0)
            .map(|(&tier, _)| tier)
    }

    fn insert(&mut self, waiting: Waiting) {
        let tier = self.tiers.entry(waiting.reservation.tier).or_default();
        let team = waiting.reservation.team.clone();
        if !tier.teams.contains_key(&team) {
            tier.lift_counter(&team);
        }
        tier.teams.entry(team).or_default().push_back(waiting);
        tier.depth += 1;
    }

    fn take_newest(&mut self, tier: Tier) -> Option<Waiting> {
        let queue = self.tiers.get_mut(&tier)?;
        let longest = queue
            .teams
            .iter()
            .max_by_key(|(_, list)| list.len())?
            .0
            .clone();
        let waiting = queue.teams.get_mut(&longest)?.pop_back()?;
        queue.depth -= 1;
        queue.drop_if_empty(&longest);
        Some(waiting)
    }
}

impl TierQueue {
    fn counter(&self, team: &TeamName) -> u64 {
        self.counters.get(team).copied().unwrap_or_default()
    }

    fn next_team(&self) -> Option<&TeamName> {
        self.teams.keys().min_by_key(|team| self.counter(team))
    }

    fn lift_counter(&mut self, team: &TeamName) {
        let floor = self.teams.keys().map(|other| self.counter(other)).min();
        let counter = self.counters.entry(team.clone()).or_default();
        *counter = (*counter).max(floor.unwrap_or_default());
    }

    fn drop_if_empty(&mut self, team: &TeamName) {
        if self.teams.get(team).is_some_and(VecDeque::is_empty) {
            self.teams.remove(team);
        }
    }
}
