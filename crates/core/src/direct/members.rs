//! The other entries of the fleet.
//!
//! There is no list of entries. Each entry is discovered through seeds and through the peers that
//! others know. What an entry knows of a peer comes from the peer's own reports or from a third
//! entry that passes on the time of the peer's newest report, so it need not hear from every peer.
//! An unresponsive member may be dead or only unreachable, so its part of every limit stays
//! reserved for [`MEMBER_RETENTION`], as it may still be spending.

mod live;
mod member;

pub(super) use live::LiveMembers;
pub(super) use member::{Member, Precedence};

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::rendezvous::{first_for, rank_key};
use super::report::{Echo, MemberStatus, Report};
use crate::time::{Timestamp, whole_millis};

/// Time without news of a member after which it is unresponsive, unless news come less often.
const RESPONSE_LIMIT: Duration = Duration::from_millis(1_500);

/// Consecutive reports or lists that may be lost before a member is unresponsive.
const MISSED_REPORTS: u32 = 3;

/// Time for which the part of an unresponsive member stays reserved.
pub(super) const MEMBER_RETENTION: Duration = Duration::from_secs(20);

/// Time for which a member that was removed, or a seed that was not found, may still run beyond a cut.
pub(super) const FLEET_MEMORY: Duration = Duration::from_secs(300);

/// Time for which a restarted process divides limits by at least [`ASSUMED_MEMBERS`], as it has not
/// discovered all entries yet.
pub(super) const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Least number of entries that a restarted process assumes.
pub(super) const ASSUMED_MEMBERS: usize = 330;

/// Least time after which a peer that does not answer this entry's reports counts as silent.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Time after which a silent peer is asked again.
const SILENCE_RETRY: Duration = Duration::from_secs(5);

/// What a report from a peer shows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Observed {
    /// Whether the reporter was unknown or has restarted.
    pub(super) started: bool,
}

/// The known peers.
#[derive(Debug)]
pub struct Members {
    own: SocketAddr,
    members: BTreeMap<SocketAddr, Member>,
    /// Members that were removed within [`FLEET_MEMORY`], and when.
    removed: BTreeMap<SocketAddr, Timestamp>,
    /// Increases with each change of the set of members.
    generation: u64,
}

impl Members {
    /// Creates the members as known by the entry at `own`: none yet.
    #[must_use]
    pub const fn new(own: SocketAddr) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            removed: BTreeMap::new(),
            generation: 0,
        }
    }

    /// Records a report that arrived from a member itself. Returns `None` for one that is not newer
    /// than the last.
    pub(super) fn observe(
        &mut self,
        from: SocketAddr,
        report: &Report,
        now: Timestamp,
    ) -> Option<Observed> {
        let same = self
            .members
            .get_mut(&from)
            .filter(|member| member.identity.boot == report.identity.boot);
        let interval = Duration::from_millis(report.interval.into());
        if let Some(member) = same {
            if report.sent <= member.received {
                return None;
            }
            if member.identity.leaving != report.identity.leaving {
                self.generation += 1;
            }
            member.identity = report.identity;
            member.received = report.sent;
            member.sent = member.sent.max(report.sent);
            (member.seen, member.heard) = (now, Some(now));
            member.interval = interval;
            if report.expects {
                member.requested = Some(now);
            }
            return Some(Observed { started: false });
        }
        let member = Member {
            received: report.sent,
            heard: Some(now),
            requested: report.expects.then_some(now),
            interval,
            ..Member::new(from, report.identity, report.sent, now)
        };
        self.members.insert(from, member);
        self.generation += 1;
        Some(Observed { started: true })
    }

    /// Records a message that arrived from another entry and cannot be read: an entry of another
    /// build, whose spending is not known. It counts as unresponsive, so that its part of every
    /// limit stays reserved.
    pub(super) fn observe_unreadable(&mut self, from: SocketAddr, now: Timestamp) {
        match self.members.get_mut(&from) {
            Some(member) if member.unreadable => member.seen = now,
            Some(_) => {}
            None => {
                self.members.insert(from, Member::unreadable(from, now));
                self.generation += 1;
            }
        }
    }

    /// Applies what a peer knows of other members.
    pub(super) fn learn(&mut self, statuses: &[MemberStatus], now: Timestamp) {
        for status in statuses {
            if status.address != self.own {
                self.learn_one(status, now);
            }
        }
    }

    fn learn_one(&mut self, status: &MemberStatus, now: Timestamp) {
        let seen = now - Duration::from_millis(status.age.into());
        let limit = self.response_limit();
        match self.members.get_mut(&status.address) {
            Some(member) if member.identity.boot == status.identity.boot => {
                if status.sent > member.sent {
                    if member.identity.leaving != status.identity.leaving {
                        self.generation += 1;
                    }
                    member.identity = status.identity;
                    member.sent = status.sent;
                    member.seen = member.seen.max(seen);
                }
                return;
            }
            // The peer may not have learned of the member's newest process yet.
            Some(member)
                if status.identity.started <= member.identity.started
                    && member.is_responsive(limit, now) =>
            {
                return;
            }
            Some(member) if !member.unreadable && seen <= member.seen => return,
            Some(_) => {}
            None if seen + MEMBER_RETENTION <= now => return,
            None => {}
        }
        let member = Member {
            seen,
            ..Member::new(status.address, status.identity, status.sent, now)
        };
        self.members.insert(status.address, member);
        self.generation += 1;
    }

    /// Removes the members whose retention has expired, and returns their addresses.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let limit = self.response_limit();
        let retention = MEMBER_RETENTION.max(limit * 2);
        let is_expired = |member: &Member| {
            let retention = if member.identity.leaving {
                limit
            } else {
                retention
            };
            member.seen + retention <= now
        };
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| is_expired(m))
            .map(|(a, _)| *a)
            .collect();
        self.members.retain(|_, member| !is_expired(member));
        self.generation += u64::from(!expired.is_empty());
        self.removed.extend(expired.iter().map(|a| (*a, now)));
        self.removed
            .retain(|a, at| now < *at + FLEET_MEMORY && !self.members.contains_key(a));
        expired
    }

    /// Returns the number of entries that are known or were within [`FLEET_MEMORY`], including this
    /// one.
    #[must_use]
    pub fn recent_count(&self) -> usize {
        self.count() + self.removed.len()
    }

    /// Returns the number of seeds that this process has never found.
    #[must_use]
    pub fn unfound(&self, seeds: &[SocketAddr]) -> usize {
        let is_unfound = |seed: &&SocketAddr| {
            **seed != self.own && !self.contains(seed) && !self.removed.contains_key(seed)
        };
        seeds.iter().filter(is_unfound).count()
    }

    /// Returns the unresponsive members.
    pub fn unresponsive(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> + '_ {
        let limit = self.response_limit();
        self.members
            .iter()
            .filter(move |(_, member)| !member.is_responsive(limit, now))
            .map(|(address, _)| *address)
    }

    /// Returns whether all known peers are unresponsive.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let limit = self.response_limit();
        let mut members = self.members.values();
        !self.members.is_empty() && members.all(|member| !member.is_responsive(limit, now))
    }

    /// Returns the number of entries, including this one and the unresponsive ones.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns a number that increases with each change of the set of members.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether an entry is known.
    #[must_use]
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.members.contains_key(address)
    }

    /// Returns the rank of this entry, among all entries, for one item. Ranks for different items
    /// are independent, and a change of the members moves the rank of another entry by at most one.
    #[must_use]
    pub fn rank_for(&self, item: u64) -> usize {
        let own = rank_key(item, self.own);
        let others = self.members.keys();
        others
            .filter(|address| rank_key(item, **address) < own)
            .count()
    }

    /// Returns the rank that this entry probably has for one item among `count` entries, most of
    /// which it does not know.
    #[must_use]
    pub fn estimated_rank(&self, item: u64, count: usize) -> usize {
        let position = rank_key(item, self.own) as f64 / u64::MAX as f64;
        (position * count as f64) as usize
    }

    /// Returns the first `count` of all entries for one item, including this one and unresponsive ones.
    pub(super) fn first_entries(&self, item: u64, count: usize) -> Vec<SocketAddr> {
        let entries = self.members.keys().copied().chain([self.own]);
        first_for(item, entries, count)
    }

    /// Returns whether there were news of a member lately.
    pub(super) fn is_responsive(&self, address: &SocketAddr, now: Timestamp) -> bool {
        let limit = self.response_limit();
        let member = self.members.get(address);
        member.is_some_and(|member| member.is_responsive(limit, now))
    }

    /// Returns the index of this entry among the responsive entries that are not leaving, in the
    /// order of [`Precedence`].
    #[must_use]
    pub(super) fn reader_rank(&self, own: Precedence, now: Timestamp) -> usize {
        let limit = self.response_limit();
        let others = self.members.values();
        let stay = others.filter(|m| !m.identity.leaving && m.is_responsive(limit, now));
        stay.filter(|member| member.precedence < own).count()
    }

    /// Returns the part of a shared rate that the responsive entries may spend.
    #[must_use]
    pub fn responsive_part(&self, now: Timestamp) -> f64 {
        let unresponsive = self.unresponsive(now).count();
        1.0 - unresponsive as f64 / self.count() as f64
    }

    /// Returns the newest report of a member that this entry knows of.
    #[must_use]
    pub fn echo(&self, address: SocketAddr) -> Option<Echo> {
        let member = self.members.get(&address)?;
        Some(Echo {
            boot: member.identity.boot,
            sent: member.sent,
        })
    }

    /// Returns the members' addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.keys().copied().collect()
    }

    /// Returns the members of a data centre that are responsive, answer this entry and are not
    /// leaving, by precedence.
    pub(super) fn candidates(&self, centre: u64, now: Timestamp) -> Vec<Precedence> {
        let limit = self.response_limit();
        let is_candidate = |member: &&Member| {
            member.identity.centre == centre
                && !member.identity.leaving
                && member.is_responsive(limit, now)
                && !member.is_silent(now)
        };
        let candidates = self.members.values().filter(is_candidate);
        let mut candidates: Vec<_> = candidates.map(|member| member.precedence).collect();
        candidates.sort_unstable();
        candidates
    }

    /// Returns the number of members of a data centre.
    pub(super) fn count_in(&self, centre: u64) -> usize {
        let members = self.members.values();
        members
            .filter(|member| member.identity.centre == centre)
            .count()
    }

    /// Returns the responsive members of a data centre.
    pub(super) fn in_centre(&self, centre: u64, now: Timestamp) -> Vec<SocketAddr> {
        let limit = self.response_limit();
        let members = self.members.iter();
        let inside = members
            .filter(|(_, m)| m.identity.centre == centre && m.is_responsive(limit, now))
            .map(|(address, _)| *address);
        inside.collect()
    }

    /// Returns the data centres of the members, without duplicates.
    pub(super) fn centres(&self) -> Vec<u64> {
        let mut centres: Vec<_> = self.members.values().map(|m| m.identity.centre).collect();
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    /// Returns the digest of a member's data centre.
    pub(super) fn centre_of(&self, address: &SocketAddr) -> Option<u64> {
        self.members
            .get(address)
            .map(|member| member.identity.centre)
    }

    /// Returns up to `count` members that have expected a report within `pause` and were told of the
    /// aggregators longer ago than that, and records that they are told now.
    pub(super) fn introduce(
        &mut self,
        excluded: &BTreeSet<SocketAddr>,
        pause: Duration,
        count: usize,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let is_due = |member: &Member| {
            member.requested.is_some_and(|at| now < at + pause)
                && member.introduced.is_none_or(|at| at + pause <= now)
        };
        let members = self.members.iter();
        let due = members.filter(|(address, m)| !excluded.contains(address) && is_due(m));
        let mut due: Vec<_> = due.map(|(a, member)| (member.introduced, *a)).collect();
        due.sort_unstable();
        due.truncate(count);
        for (_, address) in &due {
            if let Some(member) = self.members.get_mut(address) {
                member.introduced = Some(now);
            }
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the first `count` unresponsive members of a data centre, by precedence.
    pub(super) fn lost_candidates(
        &self,
        centre: u64,
        count: usize,
        now: Timestamp,
    ) -> Vec<SocketAddr> {
        let limit = self.response_limit();
        let members = self.members.values();
        let lost = members.filter(|m| m.identity.centre == centre && !m.is_responsive(limit, now));
        let mut lost: Vec<_> = lost.map(|member| member.precedence).collect();
        lost.sort_unstable();
        lost.truncate(count);
        lost.into_iter().map(|lost| lost.address).collect()
    }

    /// Records that this entry expects reports from a member from now on. A silent one is expected
    /// again after [`SILENCE_RETRY`].
    pub(super) fn expect_reports(&mut self, address: &SocketAddr, now: Timestamp) {
        if let Some(member) = self.members.get_mut(address) {
            member.asked.get_or_insert(now);
        }
    }

    /// Gives members that have been silent for long another chance.
    pub(super) fn forgive_silent(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            if member.asked.is_some() && member.silent_from() + SILENCE_RETRY <= now {
                member.asked = None;
            }
        }
    }

    /// Returns the status of the members that `include` accepts.
    pub(super) fn statuses(
        &self,
        include: impl Fn(&Member) -> bool,
        now: Timestamp,
    ) -> Vec<MemberStatus> {
        let status = |member: &Member| MemberStatus {
            address: member.address(),
            identity: member.identity,
            sent: member.sent,
            age: whole_millis(now.since(member.seen)),
        };
        let members = self.members.values();
        let included = members.filter(|member| !member.unreadable && include(member));
        included.map(status).collect()
    }

    /// Returns the time without news after which a member is unresponsive. It grows with the time
    /// between two lists of members in a large fleet.
    pub(super) fn response_limit(&self) -> Duration {
        loss_limit(super::topology::list_interval(self.count()))
    }
}

/// Returns the time without news of something after which it counts as lost, if news come every
/// `interval`.
pub(super) fn loss_limit(interval: Duration) -> Duration {
    RESPONSE_LIMIT.max(interval * MISSED_REPORTS)
}
