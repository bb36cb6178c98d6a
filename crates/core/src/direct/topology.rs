//! Which entries report to which, and how often.
//!
//! In a small fleet every entry reports to every other one. In a large one, where that would cost
//! each entry the more the larger the fleet, the [`AGGREGATORS`] entries of each data centre that
//! take precedence sum the reports of its entries. They send the sum for their data centre to the
//! aggregators of the others, and the sum for the fleet to the entries of their own. No entry is
//! elected: each follows from the members that an entry knows and that answer it. An entry that
//! chooses another aggregator than its neighbours does is answered with the names of the
//! aggregators.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::members::{Member, Members, Precedence};
use super::report::{Identity, MemberStatus};
use super::source::Scope;
use crate::time::Timestamp;

/// Number of entries up to which every entry reports to every other one.
const MESH_MEMBERS: usize = 8;

/// Number of aggregators in a data centre, so that the loss of one delays nothing.
const AGGREGATORS: usize = 2;

/// Number of entries of its own data centre that a new entry is told of.
const INTRODUCED: usize = 4;

/// Interval between two reports in a small fleet.
const MESH_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of reports that one entry sends per second in a small fleet.
const MESH_REPORTS_PER_S: u32 = 120;

/// Interval between two reports to aggregators.
const ENTRY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two reports of an aggregator. Both aggregators of a data centre report, so
/// their entries hear from one of them twice as often.
const AGGREGATE_INTERVAL: Duration = Duration::from_millis(200);

/// Reports per second that an aggregator sends at most, per processor core.
const AGGREGATE_REPORTS_PER_S: f64 = 800.0;

/// Longest interval between two reports of an aggregator.
const AGGREGATE_INTERVAL_MAX: Duration = Duration::from_millis(1_000);

/// Least interval between two lists of the members in a large fleet.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two lists of the members, per entry, so that their size per second is bounded.
const LIST_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(5);

/// Interval between reports to seeds from which nothing was heard and to lost entries.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which an entry that reports to the wrong entry is told of the aggregators again.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a newly discovered entry is passed on to aggregators.
const NEWS_TIME: Duration = Duration::from_millis(1_000);

/// Entries that are told of the aggregators at once. Many may start in one instant.
const INTRODUCTIONS: usize = 10;

/// Returns the interval between two lists of the members in a fleet of `members` entries.
pub(super) fn list_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    LIST_INTERVAL.max(LIST_INTERVAL_PER_ENTRY * members)
}

/// What an entry does for others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Every entry reports to every other one.
    #[default]
    Mesh,
    /// Reports to the aggregators of its data centre.
    Member,
    /// Sums the reports of its data centre.
    Aggregator,
}

/// The recipient of a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) scope: Scope,
    /// Whether this entry expects reports in return.
    pub(super) expects: bool,
    /// The members that the report lists.
    pub(super) members: Vec<MemberStatus>,
}

/// This entry's part in the exchange of reports.
#[derive(Debug)]
pub(super) struct Topology {
    own: Precedence,
    centre: u64,
    role: Role,
    /// Number of recipients of the last reports.
    target_count: usize,
    /// When the members were last listed, and their generation then.
    listed: Option<(Timestamp, u64)>,
    /// When seeds and lost entries were last probed.
    probed: Option<Timestamp>,
}

impl Topology {
    pub(super) fn new(address: SocketAddr, identity: &Identity) -> Self {
        Self {
            own: Precedence::new(address, identity.capacity),
            centre: identity.centre,
            role: Role::Mesh,
            target_count: 0,
            listed: None,
            probed: None,
        }
    }

    pub(super) const fn role(&self) -> Role {
        self.role
    }

    pub(super) const fn precedence(&self) -> Precedence {
        self.own
    }

    /// Determines this entry's role. Returns whether it has changed.
    pub(super) fn update_role(&mut self, members: &Members, leaving: bool, now: Timestamp) -> bool {
        let role = if members.count() <= MESH_MEMBERS {
            Role::Mesh
        } else if !leaving && self.is_among_first(members, now) {
            Role::Aggregator
        } else {
            Role::Member
        };
        std::mem::replace(&mut self.role, role) != role
    }

    fn is_among_first(&self, members: &Members, now: Timestamp) -> bool {
        let candidates = members.candidates(self.centre, now);
        candidates
            .iter()
            .take(AGGREGATORS)
            .filter(|candidate| **candidate < self.own)
            .count()
            < AGGREGATORS
    }

    /// Returns the interval between this entry's reports.
    pub(super) fn interval(&self, members: &Members) -> Duration {
        match self.role {
            Role::Mesh if members.count() == 1 => ENTRY_INTERVAL,
            Role::Mesh => {
                let count = u32::try_from(members.count()).unwrap_or(u32::MAX);
                MESH_INTERVAL.max(Duration::from_secs(1) * count / MESH_REPORTS_PER_S)
            }
            Role::Member => ENTRY_INTERVAL,
            Role::Aggregator => {
                let cores = f64::from(self.own.capacity.0).max(1.0) / 1_000.0;
                let seconds = self.target_count as f64 / (AGGREGATE_REPORTS_PER_S * cores);
                let interval = Duration::from_secs_f64(seconds);
                interval.clamp(AGGREGATE_INTERVAL, AGGREGATE_INTERVAL_MAX)
            }
        }
    }

    /// Returns the time that a change at one entry takes to reach all others.
    pub(super) fn propagation(&self, members: &Members) -> Duration {
        match self.role {
            Role::Mesh => self.interval(members),
            Role::Member | Role::Aggregator => ENTRY_INTERVAL + AGGREGATE_INTERVAL * 2,
        }
    }

    /// Returns the recipients of this entry's reports, which are sent now.
    pub(super) fn targets(
        &mut self,
        members: &mut Members,
        seeds: &[SocketAddr],
        now: Timestamp,
    ) -> Vec<Target> {
        members.forgive_silent(now);
        let mut targets = match self.role {
            Role::Mesh => self.mesh_targets(members, now),
            Role::Member => self.member_targets(members, now),
            Role::Aggregator => self.aggregator_targets(members, now),
        };
        let known: BTreeSet<_> = targets.iter().map(|target| target.address).collect();
        for address in members.introduce(&known, INTRODUCTION_INTERVAL, INTRODUCTIONS, now) {
            targets.push(self.introduction(address, members, now));
        }
        self.add_probes(&mut targets, members, seeds, now);
        self.target_count = targets.len();
        targets
    }

    /// Returns whether the members are to be listed now.
    fn is_list_due(&mut self, members: &Members, now: Timestamp) -> bool {
        let generation = members.generation();
        let interval = list_interval(members.count());
        let due = self
            .listed
            .is_none_or(|(listed, before)| listed + interval <= now || before != generation);
        if due {
            self.listed = Some((now, generation));
        }
        due
    }

    fn mesh_targets(&mut self, members: &Members, now: Timestamp) -> Vec<Target> {
        let list = if self.is_list_due(members, now) {
            members.statuses(|_| true, now)
        } else {
            Vec::new()
        };
        let target = |address| Target {
            address,
            scope: Scope::Entry,
            expects: true,
            members: list.clone(),
        };
        members.addresses().into_iter().map(target).collect()
    }

    fn member_targets(&self, members: &mut Members, now: Timestamp) -> Vec<Target> {
        let candidates = members.candidates(self.centre, now);
        let aggregators = candidates.into_iter().take(AGGREGATORS);
        // Entries that start report to a seed, which may not be an aggregator.
        let news = members.statuses(|member| member.is_new(NEWS_TIME, now), now);
        let targets = aggregators.map(|Precedence { address, .. }| {
            members.expect_reports(&address, now);
            Target {
                address,
                scope: Scope::Entry,
                expects: true,
                members: news.clone(),
            }
        });
        targets.collect()
    }

    fn aggregator_targets(&mut self, members: &mut Members, now: Timestamp) -> Vec<Target> {
        let due = self.is_list_due(members, now);
        let all = if due {
            members.statuses(|_| true, now)
        } else {
            Vec::new()
        };
        let fellows: Vec<_> = members
            .candidates(self.centre, now)
            .into_iter()
            .take(AGGREGATORS - 1)
            .map(|candidate| candidate.address)
            .collect();
        let mut targets = Vec::new();
        for address in members.in_centre(self.centre, now) {
            let scope = if fellows.contains(&address) {
                members.expect_reports(&address, now);
                Scope::Entry
            } else {
                Scope::Fleet
            };
            targets.push(Target {
                address,
                scope,
                expects: scope == Scope::Entry,
                members: all.clone(),
            });
        }
        for centre in members.centres() {
            if centre == self.centre {
                continue;
            }
            let candidates = members.candidates(centre, now);
            let list = self.news_for(centre, due, members, now);
            for Precedence { address, .. } in candidates.into_iter().take(AGGREGATORS) {
                members.expect_reports(&address, now);
                targets.push(Target {
                    address,
                    scope: Scope::Centre,
                    expects: true,
                    members: list.clone(),
                });
            }
        }
        targets
    }

    /// Returns the members that the aggregators of another data centre are told of: those of this
    /// one, and those of theirs that are new here.
    fn news_for(
        &self,
        centre: u64,
        due: bool,
        members: &Members,
        now: Timestamp,
    ) -> Vec<MemberStatus> {
        if !due {
            return Vec::new();
        }
        let include = |member: &Member| {
            member.centre() == self.centre
                || (member.centre() == centre && member.is_new(NEWS_TIME, now))
        };
        members.statuses(include, now)
    }

    /// Returns the answer to an entry that this one does not report to: it tells which entries are
    /// the aggregators.
    fn introduction(&self, address: SocketAddr, members: &Members, now: Timestamp) -> Target {
        let own_centre = members.centre_of(&address);
        let mut introduced = BTreeSet::new();
        for centre in members.centres() {
            let count = if Some(centre) == own_centre {
                INTRODUCED
            } else {
                AGGREGATORS
            };
            let candidates = members.candidates(centre, now);
            introduced.extend(
                candidates
                    .into_iter()
                    .take(count)
                    .map(|candidate| candidate.address),
            );
        }
        Target {
            address,
            scope: Scope::Entry,
            expects: false,
            members: members.statuses(|member| introduced.contains(&member.address()), now),
        }
    }

    /// Adds the seeds from which nothing was heard and the first of the entries that have become
    /// unresponsive, so that the parts of a fleet that was cut find each other again. They are
    /// probed at [`PROBE_INTERVAL`], or each time while no peer is known.
    fn add_probes(
        &mut self,
        targets: &mut Vec<Target>,
        members: &Members,
        seeds: &[SocketAddr],
        now: Timestamp,
    ) {
        let due = members.count() == 1
            || self
                .probed
                .is_none_or(|probed| probed + PROBE_INTERVAL <= now);
        if !due {
            return;
        }
        self.probed = Some(now);
        let unknown = seeds
            .iter()
            .filter(|seed| **seed != self.own.address && !members.contains(seed));
        let mut probes: Vec<_> = unknown.copied().collect();
        if self.role == Role::Aggregator {
            for centre in members.centres() {
                probes.extend(members.lost_candidates(centre, AGGREGATORS, now));
            }
        }
        let list = members.statuses(|member| member.centre() == self.centre, now);
        targets.extend(probes.into_iter().map(|address| Target {
            address,
            scope: Scope::Entry,
            expects: true,
            members: list.clone(),
        }));
    }
}
