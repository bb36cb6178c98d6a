//! Fair queueing between the teams of one tier.
//!
//! Each team has a virtual counter of the tokens it was served, divided by its weight. The team
//! with the lowest counter is served next. A team that returns after an absence starts no lower
//! than the waiting teams, so that an absence earns no credit, and keeps its own counter if that is
//! higher. The method is the virtual token counter of Sheng et al., "Fairness in Serving Large
//! Language Models" (OSDI 2024).

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{SizeClass, Waiting};
use crate::agent::estimate::micros;
use crate::id::ReservationId;
use crate::name::TeamName;

/// Counter units per token for a team of weight one.
const TOKEN_UNITS: u64 = 256;

/// Units per waiting reservation when queue lengths of teams of different weight are compared.
const LENGTH_UNITS: usize = 1_024;

/// Maximum number of absent teams whose counters are kept.
const ABSENT_LIMIT: usize = 1_024;

/// Key of a reservation in its team's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueueKey {
    pub(super) class: SizeClass,
    pub(super) rank: u64,
    pub(super) sequence: u64,
}

impl QueueKey {
    fn order(self) -> (u64, u64) {
        (self.rank, self.sequence)
    }
}

/// Expected service time of waiting reservations, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Work {
    short: u64,
    long: u64,
}

impl Work {
    /// Returns the work of a class and of the shorter classes.
    pub(super) fn up_to(self, class: SizeClass) -> u64 {
        match class {
            SizeClass::Short => self.short,
            SizeClass::Long => self.short.saturating_add(self.long),
        }
    }

    fn class_mut(&mut self, class: SizeClass) -> &mut u64 {
        match class {
            SizeClass::Short => &mut self.short,
            SizeClass::Long => &mut self.long,
        }
    }

    fn add(&mut self, waiting: &Waiting) {
        let work = self.class_mut(waiting.class);
        *work = work.saturating_add(micros(waiting.service));
    }

    fn subtract(&mut self, waiting: &Waiting) {
        let work = self.class_mut(waiting.class);
        *work = work.saturating_sub(micros(waiting.service));
    }
}

#[derive(Debug)]
struct TeamQueue {
    short: BTreeMap<(u64, u64), Waiting>,
    long: BTreeMap<(u64, u64), Waiting>,
    weight: u32,
    work: Work,
}

impl TeamQueue {
    fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    fn queue_mut(&mut self, class: SizeClass) -> &mut BTreeMap<(u64, u64), Waiting> {
        match class {
            SizeClass::Short => &mut self.short,
            SizeClass::Long => &mut self.long,
        }
    }

    fn first(&self, class: SizeClass) -> Option<&Waiting> {
        let (short, long) = (self.short.first_key_value(), self.long.first_key_value());
        let long = long.filter(|_| class == SizeClass::Long);
        let first = short.into_iter().chain(long).min_by_key(|(key, _)| *key);
        first.map(|(_, waiting)| waiting)
    }

    fn last(&self) -> Option<&Waiting> {
        let (short, long) = (self.short.last_key_value(), self.long.last_key_value());
        let last = short.into_iter().chain(long).max_by_key(|(key, _)| *key);
        last.map(|(_, waiting)| waiting)
    }
}

/// Waiting reservations of one tier.
#[derive(Debug, Default)]
pub(super) struct TierQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    /// Counter and weight of waiting teams, and of absent teams whose counter is above the floor.
    counters: HashMap<TeamName, (u64, u32)>,
    /// Waiting teams in order of their counters.
    counter_order: BTreeSet<(u64, TeamName)>,
    /// Waiting teams that have short reservations, in order of their counters.
    short_order: BTreeSet<(u64, TeamName)>,
    /// Absent teams in order of their counters.
    absent_order: BTreeSet<(u64, TeamName)>,
    /// Waiting teams by queue length divided by weight.
    length_order: BTreeSet<(usize, TeamName)>,
    /// Counter of the team served last, before that charge.
    floor: u64,
    depth: usize,
    tokens: u64,
    work: Work,
}

impl TierQueue {
    pub(super) fn len(&self) -> usize {
        self.depth
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(super) fn work(&self) -> Work {
        self.work
    }

    /// Returns the expected time of the work served before a new reservation of `team`, in
    /// microseconds.
    pub(super) fn work_ahead(&self, team: &TeamName, class: SizeClass) -> u64 {
        let own = self.teams.get(team);
        let others = self.teams.len() - usize::from(own.is_some());
        let shares = u64::try_from(others + 1).unwrap_or(u64::MAX);
        let own = own.map_or(0, |queue| queue.work.up_to(class));
        own.saturating_mul(shares).min(self.work.up_to(class))
    }

    pub(super) fn depths(&self) -> BTreeMap<TeamName, usize> {
        let depth = |(team, queue): (&TeamName, &TeamQueue)| (team.clone(), queue.len());
        self.teams.iter().map(depth).collect()
    }

    pub(super) fn counters(&self) -> usize {
        self.counters.len()
    }

    pub(super) fn peek(&self, class: SizeClass) -> Option<&Waiting> {
        let order = match class {
            SizeClass::Short => &self.short_order,
            SizeClass::Long => &self.counter_order,
        };
        let (_, team) = order.first()?;
        self.teams.get(team)?.first(class)
    }

    pub(super) fn insert(&mut self, key: QueueKey, waiting: Waiting, weight: u32) {
        let team = waiting.reservation.team.clone();
        if !self.teams.contains_key(&team) {
            self.add_team(&team, weight);
        }
        self.depth += 1;
        self.tokens += waiting.reservation.cost.total();
        self.work.add(&waiting);
        self.update_team(&team, |queue| {
            queue.work.add(&waiting);
            queue.queue_mut(key.class).insert(key.order(), waiting);
        });
    }

    pub(super) fn remove(&mut self, team: &TeamName, key: QueueKey) -> Option<Waiting> {
        let mut removed = None;
        self.update_team(team, |queue| {
            removed = queue.queue_mut(key.class).remove(&key.order());
            if let Some(waiting) = &removed {
                queue.work.subtract(waiting);
            }
        });
        let waiting = removed?;
        self.depth -= 1;
        self.tokens -= waiting.reservation.cost.total();
        self.work.subtract(&waiting);
        if self.teams.get(team).is_some_and(|queue| queue.len() == 0) {
            self.remove_team(team);
        }
        Some(waiting)
    }

    /// Raises the counter of a team that was served.
    pub(super) fn charge(&mut self, team: &TeamName, tokens: u64) {
        let Some(&(counter, weight)) = self.counters.get(team) else {
            return;
        };
        self.floor = self.floor.max(counter);
        self.set_counter(team, counter.saturating_add(counter_units(tokens, weight)));
        self.prune_absent();
    }

    /// Replaces an earlier charge by the tokens used.
    pub(super) fn correct(&mut self, team: &TeamName, weight: u32, charged: u64, used: u64) {
        let floor = self.floor;
        let known = self.counters.entry(team.clone());
        let &mut (counter, _) = known.or_insert((floor, weight));
        let raised = counter.saturating_add(counter_units(used, weight));
        self.set_counter(team, raised.saturating_sub(counter_units(charged, weight)));
        self.prune_absent();
    }

    /// Returns whether `team`, with one more reservation, would still have a shorter queue for its
    /// weight than the longest team.
    pub(super) fn has_claim(&self, team: &TeamName, weight: u32) -> bool {
        let waiting = self.teams.get(team).map_or(0, TeamQueue::len);
        let longest = self.length_order.last().map_or(0, |(length, _)| *length);
        weighted_length(waiting + 1, weight) < longest
    }

    /// Returns the last reservation of the team with the longest queue for its weight.
    pub(super) fn eviction_candidate(&self) -> Option<ReservationId> {
        let (_, team) = self.length_order.last()?;
        Some(self.teams.get(team)?.last()?.reservation.id)
    }

    fn add_team(&mut self, team: &TeamName, weight: u32) {
        let weight = weight.max(1);
        let lowest = self
            .counter_order
            .first()
            .map_or(0, |(counter, _)| *counter);
        let own = self.counters.get(team).map_or(0, |(counter, _)| *counter);
        self.absent_order.remove(&(own, team.clone()));
        let counter = own.max(lowest).max(self.floor);
        self.counters.insert(team.clone(), (counter, weight));
        self.counter_order.insert((counter, team.clone()));
        let queue = TeamQueue {
            short: BTreeMap::new(),
            long: BTreeMap::new(),
            weight,
            work: Work::default(),
        };
        self.teams.insert(team.clone(), queue);
    }

    fn remove_team(&mut self, team: &TeamName) {
        self.teams.remove(team);
        if let Some(&(counter, _)) = self.counters.get(team) {
            self.counter_order.remove(&(counter, team.clone()));
            self.absent_order.insert((counter, team.clone()));
            self.prune_absent();
        }
    }

    /// Changes a team's queue and updates the orders that depend on its content.
    fn update_team(&mut self, team: &TeamName, change: impl FnOnce(&mut TeamQueue)) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        let before = weighted_length(queue.len(), queue.weight);
        change(queue);
        let after = weighted_length(queue.len(), queue.weight);
        let has_short = !queue.short.is_empty();
        self.length_order.remove(&(before, team.clone()));
        if after > 0 {
            self.length_order.insert((after, team.clone()));
        }
        let counter = self.counters.get(team).map_or(0, |(counter, _)| *counter);
        let entry = (counter, team.clone());
        if has_short {
            self.short_order.insert(entry);
        } else {
            self.short_order.remove(&entry);
        }
    }

    fn set_counter(&mut self, team: &TeamName, counter: u64) {
        let Some((old, _)) = self.counters.get_mut(team) else {
            return;
        };
        let before = (std::mem::replace(old, counter), team.clone());
        if self.short_order.remove(&before) {
            self.short_order.insert((counter, team.clone()));
        }
        let set = if self.teams.contains_key(team) {
            &mut self.counter_order
        } else {
            &mut self.absent_order
        };
        set.remove(&before);
        set.insert((counter, team.clone()));
    }

    /// Drops the counters of absent teams that would start at the floor anyway. If there are still
    /// too many, drops the lowest ones too.
    fn prune_absent(&mut self) {
        while let Some((counter, _)) = self.absent_order.first()
            && (*counter <= self.floor || self.absent_order.len() > ABSENT_LIMIT)
            && let Some((_, team)) = self.absent_order.pop_first()
        {
            self.counters.remove(&team);
        }
    }
}

fn counter_units(tokens: u64, weight: u32) -> u64 {
    tokens.max(1).saturating_mul(TOKEN_UNITS) / u64::from(weight.max(1))
}

fn weighted_length(waiting: usize, weight: u32) -> usize {
    waiting * LENGTH_UNITS / weight.max(1) as usize
}
