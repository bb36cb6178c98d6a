//! Fair queueing between the teams of one tier.
//!
//! Each team has a virtual counter of the tokens it was served, divided by its weight; the team with
//! the lowest counter is next. A team that comes back after an absence starts no lower than the
//! teams that wait, so that it neither owes nor saves. The method is the virtual token counter of
//! Sheng et al., "Fairness in Serving Large Language Models" (OSDI 2024).

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::Waiting;
use crate::id::ReservationId;
use crate::name::TeamName;

/// Counter units of one token of a team of weight one.
const TOKEN_UNITS: u64 = 256;

/// Units in which waiting reservations are compared between teams of unlike weight.
const LENGTH_UNITS: usize = 1_024;

/// Absent teams whose counters are kept at most.
const ABSENT_LIMIT: usize = 1_024;

#[derive(Debug)]
struct TeamQueue {
    waiting: BTreeMap<u64, Waiting>,
    weight: u32,
}

/// The waiting reservations of one tier.
#[derive(Debug, Default)]
pub(super) struct TierQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    /// Counters of waiting teams, and of absent ones that are above the floor.
    counters: HashMap<TeamName, (u64, u32)>,
    /// Waiting teams by counter.
    order: BTreeSet<(u64, TeamName)>,
    /// Absent teams by counter.
    absent: BTreeSet<(u64, TeamName)>,
    /// Waiting teams by what waits for their weight.
    lengths: BTreeSet<(usize, TeamName)>,
    /// Counter of the team served last, before it was charged.
    floor: u64,
    depth: usize,
    tokens: u64,
}

impl TierQueue {
    pub(super) fn len(&self) -> usize {
        self.depth
    }

    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(super) fn depths(&self) -> BTreeMap<TeamName, usize> {
        let depth = |(team, queue): (&TeamName, &TeamQueue)| (team.clone(), queue.waiting.len());
        self.teams.iter().map(depth).collect()
    }

    pub(super) fn counters(&self) -> usize {
        self.counters.len()
    }

    pub(super) fn peek(&self) -> Option<&Waiting> {
        let (_, team) = self.order.first()?;
        Some(self.teams.get(team)?.waiting.first_key_value()?.1)
    }

    pub(super) fn insert(&mut self, sequence: u64, waiting: Waiting, weight: u32) {
        let team = waiting.reservation.team.clone();
        if !self.teams.contains_key(&team) {
            self.enter(&team, weight);
        }
        self.depth += 1;
        self.tokens += waiting.reservation.cost.total();
        self.resize(&team, |queue| {
            queue.waiting.insert(sequence, waiting);
        });
    }

    pub(super) fn remove(&mut self, team: &TeamName, sequence: u64) -> Option<Waiting> {
        let mut removed = None;
        self.resize(team, |queue| removed = queue.waiting.remove(&sequence));
        let waiting = removed?;
        self.depth -= 1;
        self.tokens -= waiting.reservation.cost.total();
        if self
            .teams
            .get(team)
            .is_some_and(|queue| queue.waiting.is_empty())
        {
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
        let waiting = self.teams.get(team).map_or(0, |queue| queue.waiting.len());
        let longest = self.lengths.last().map_or(0, |(length, _)| *length);
        length(waiting + 1, weight) < longest
    }

    /// The last reservation of the team that has most waiting for its weight.
    pub(super) fn newest_of_longest(&self) -> Option<ReservationId> {
        let (_, team) = self.lengths.last()?;
        let (_, waiting) = self.teams.get(team)?.waiting.last_key_value()?;
        Some(waiting.reservation.id)
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
            waiting: BTreeMap::new(),
            weight,
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

    /// Changes a team's queue and keeps the order by length.
    fn resize(&mut self, team: &TeamName, change: impl FnOnce(&mut TeamQueue)) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        let before = length(queue.waiting.len(), queue.weight);
        change(queue);
        let after = length(queue.waiting.len(), queue.weight);
        self.lengths.remove(&(before, team.clone()));
        if after > 0 {
            self.lengths.insert((after, team.clone()));
        }
    }

    fn set_counter(&mut self, team: &TeamName, counter: u64) {
        let Some((old, _)) = self.counters.get_mut(team) else {
            return;
        };
        let before = (std::mem::replace(old, counter), team.clone());
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
