//! Fair queueing between the teams of one tier.
//!
//! Each team has a virtual counter of the tokens it was served, divided by its weight; the team with
//! the lowest counter is next. A team that comes back after an absence starts no lower than the
//! teams that wait, so that it neither owes nor saves. The method is the virtual token counter of
//! Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024).

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Class, Waiting};
use crate::agent::estimate::micros;
use crate::id::ReservationId;
use crate::name::TeamName;

/// Counter units of one token of a team of weight one.
const TOKEN_UNITS: u64 = 256;

/// Units in which waiting reservations are compared between teams of unlike weight.
const LENGTH_UNITS: usize = 1_024;

/// Absent teams whose counters are kept at most.
const ABSENT_LIMIT: usize = 1_024;

/// Where a reservation stands in its team's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Slot {
    pub(super) class: Class,
    pub(super) rank: u64,
    pub(super) sequence: u64,
}

impl Slot {
    fn key(self) -> (u64, u64) {
        (self.rank, self.sequence)
    }
}

/// Expected time of what waits, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Work {
    short: u64,
    long: u64,
}

impl Work {
    /// The work of a class and of shorter ones.
    pub(super) fn up_to(self, class: Class) -> u64 {
        match class {
            Class::Short => self.short,
            Class::Long => self.short.saturating_add(self.long),
        }
    }

    fn of(&mut self, class: Class) -> &mut u64 {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    fn add(&mut self, waiting: &Waiting) {
        let work = self.of(waiting.class);
        *work = work.saturating_add(micros(waiting.service));
    }

    fn take(&mut self, waiting: &Waiting) {
        let work = self.of(waiting.class);
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

    fn list(&mut self, class: Class) -> &mut BTreeMap<(u64, u64), Waiting> {
        match class {
            Class::Short => &mut self.short,
            Class::Long => &mut self.long,
        }
    }

    fn first(&self, class: Class) -> Option<&Waiting> {
        let (short, long) = (self.short.first_key_value(), self.long.first_key_value());
        let long = long.filter(|_| class == Class::Long);
        let first = short.into_iter().chain(long).min_by_key(|(key, _)| *key);
        first.map(|(_, waiting)| waiting)
    }

    fn last(&self) -> Option<&Waiting> {
        let (short, long) = (self.short.last_key_value(), self.long.last_key_value());
        let last = short.into_iter().chain(long).max_by_key(|(key, _)| *key);
        last.map(|(_, waiting)| waiting)
    }
}

/// The waiting reservations of one tier.
#[derive(Debug, Default)]
pub(super) struct TierQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    /// Counters of waiting teams, and of absent ones that are above the floor.
    counters: HashMap<TeamName, (u64, u32)>,
    /// Waiting teams by counter.
    order: BTreeSet<(u64, TeamName)>,
    /// Waiting teams with short reservations by counter.
    short: BTreeSet<(u64, TeamName)>,
    /// Absent teams by counter.
    absent: BTreeSet<(u64, TeamName)>,
    /// Waiting teams by what waits for their weight.
    lengths: BTreeSet<(usize, TeamName)>,
    /// Counter of the team served last, before it was charged.
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

    /// Expected time of what goes before a new reservation of `team`, in microseconds.
    pub(super) fn ahead(&self, team: &TeamName, class: Class) -> u64 {
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

    pub(super) fn peek(&self, class: Class) -> Option<&Waiting> {
        let order = match class {
            Class::Short => &self.short,
            Class::Long => &self.order,
        };
        let (_, team) = order.first()?;
        self.teams.get(team)?.first(class)
    }

    pub(super) fn insert(&mut self, slot: Slot, waiting: Waiting, weight: u32) {
        let team = waiting.reservation.team.clone();
        if !self.teams.contains_key(&team) {
            self.enter(&team, weight);
        }
        self.depth += 1;
        self.tokens += waiting.reservation.cost.total();
        self.work.add(&waiting);
        self.resize(&team, |queue| {
            queue.work.add(&waiting);
            queue.list(slot.class).insert(slot.key(), waiting);
        });
    }

    pub(super) fn remove(&mut self, team: &TeamName, slot: Slot) -> Option<Waiting> {
        let mut removed = None;
        self.resize(team, |queue| {
            removed = queue.list(slot.class).remove(&slot.key());
            if let Some(waiting) = &removed {
                queue.work.take(waiting);
            }
        });
        let waiting = removed?;
        self.depth -= 1;
        self.tokens -= waiting.reservation.cost.total();
        self.work.take(&waiting);
        if self.teams.get(team).is_some_and(|queue| queue.len() == 0) {
            self.leave(team);
        }
        Some(waiting)
    }

    /// Raises the counter of the team that was served.
    pub(super) fn charge(&mut self, team: &TeamName, tokens: u64) {
        let Some(&(counter, weight)) = self.counters.get(team) else {
            return;
        };
        self.floor = self.floor.max(counter);
        self.set_counter(team, counter.saturating_add(units(tokens, weight)));
        self.forget_level();
    }

    /// Replaces an earlier charge by what was used.
    pub(super) fn correct(&mut self, team: &TeamName, weight: u32, charged: u64, used: u64) {
        let floor = self.floor;
        let known = self.counters.entry(team.clone());
        let &mut (counter, _) = known.or_insert((floor, weight));
        let raised = counter.saturating_add(units(used, weight));
        self.set_counter(team, raised.saturating_sub(units(charged, weight)));
        self.forget_level();
    }

    /// Whether one more reservation of `team` leaves it with less waiting for its weight than the
    /// longest team has.
    pub(super) fn favours(&self, team: &TeamName, weight: u32) -> bool {
        let waiting = self.teams.get(team).map_or(0, TeamQueue::len);
        let longest = self.lengths.last().map_or(0, |(length, _)| *length);
        length(waiting + 1, weight) < longest
    }

    /// The last reservation of the team that has most waiting for its weight.
    pub(super) fn last_of_longest(&self) -> Option<ReservationId> {
        let (_, team) = self.lengths.last()?;
        Some(self.teams.get(team)?.last()?.reservation.id)
    }

    fn enter(&mut self, team: &TeamName, weight: u32) {
        let weight = weight.max(1);
        let lowest = self.order.first().map_or(0, |(counter, _)| *counter);
        let own = self.counters.get(team).map_or(0, |(counter, _)| *counter);
        self.absent.remove(&(own, team.clone()));
        let counter = own.max(lowest).max(self.floor);
        self.counters.insert(team.clone(), (counter, weight));
        self.order.insert((counter, team.clone()));
        let queue = TeamQueue {
            short: BTreeMap::new(),
            long: BTreeMap::new(),
            weight,
            work: Work::default(),
        };
        self.teams.insert(team.clone(), queue);
    }

    fn leave(&mut self, team: &TeamName) {
        self.teams.remove(team);
        if let Some(&(counter, _)) = self.counters.get(team) {
            self.order.remove(&(counter, team.clone()));
            self.absent.insert((counter, team.clone()));
            self.forget_level();
        }
    }

    /// Changes a team's queue and keeps the orders that depend on what waits in it.
    fn resize(&mut self, team: &TeamName, change: impl FnOnce(&mut TeamQueue)) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        let before = length(queue.len(), queue.weight);
        change(queue);
        let after = length(queue.len(), queue.weight);
        let has_short = !queue.short.is_empty();
        self.lengths.remove(&(before, team.clone()));
        if after > 0 {
            self.lengths.insert((after, team.clone()));
        }
        let counter = self.counters.get(team).map_or(0, |(counter, _)| *counter);
        let entry = (counter, team.clone());
        if has_short {
            self.short.insert(entry);
        } else {
            self.short.remove(&entry);
        }
    }

    fn set_counter(&mut self, team: &TeamName, counter: u64) {
        let Some((old, _)) = self.counters.get_mut(team) else {
            return;
        };
        let before = (std::mem::replace(old, counter), team.clone());
        if self.short.remove(&before) {
            self.short.insert((counter, team.clone()));
        }
        let set = if self.teams.contains_key(team) {
            &mut self.order
        } else {
            &mut self.absent
        };
        set.remove(&before);
        set.insert((counter, team.clone()));
    }

    /// Forgets absent teams that would start at the floor in any case, and those nearest to it if
    /// there are too many.
    fn forget_level(&mut self) {
        while let Some((counter, _)) = self.absent.first()
            && (*counter <= self.floor || self.absent.len() > ABSENT_LIMIT)
            && let Some((_, team)) = self.absent.pop_first()
        {
            self.counters.remove(&team);
        }
    }
}

fn units(tokens: u64, weight: u32) -> u64 {
    tokens.max(1).saturating_mul(TOKEN_UNITS) / u64::from(weight.max(1))
}

fn length(waiting: usize, weight: u32) -> usize {
    waiting * LENGTH_UNITS / weight.max(1) as usize
}
