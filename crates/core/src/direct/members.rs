//! The other entries of the fleet, as known from their reports.
//!
//! There is no list of entries. Each entry is discovered through seeds and through the peers that
//! others report. An unresponsive member may be dead or only unreachable, so its part of every
//! limit stays reserved for [`MEMBER_RETENTION`], as it may still be spending.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::endpoint_table::digest;
use super::store_progress::SectionStatus;
use crate::request::BodyDigest;
use crate::time::Timestamp;

/// Time without a report after which a member is unresponsive, unless reports are sent less often.
const RESPONSE_LIMIT: Duration = Duration::from_millis(1_500);

/// Consecutive reports that may be lost before a member is unresponsive.
const MISSED_REPORTS: u32 = 3;

/// Time for which the part of an unresponsive member stays reserved.
const MEMBER_RETENTION: Duration = Duration::from_secs(20);

/// Interval between two reports in a small fleet.
const REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of reports that one entry sends per second.
const REPORTS_PER_S: u32 = 120;

/// Load of the reporter at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Requests of the reporter that run at the endpoint.
    pub running: u16,
    /// Prompt tokens of these requests that are not processed yet.
    pub pending: u32,
    /// Time between two events that the reporter observed there, in tenths of milliseconds; 0 if
    /// none.
    #[serde(rename = "tempo")]
    pub event_interval: u16,
}

/// Load of the reporter for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Digest of the service's name.
    pub service: u64,
    /// Running requests.
    pub running: u16,
    /// Requests that wait for a slot and can still meet their objective.
    pub waiting: u16,
    /// Waiting requests of the highest rank among these.
    pub urgent: u16,
}

/// Identifies the last report that the reporter received from the recipient.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The recipient's process.
    pub boot: u64,
    /// Time of that report on the recipient's own clock, in microseconds.
    pub sent: u64,
}

/// The report that an entry sends to each peer several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identifies the reporting process.
    pub boot: u64,
    /// Time of the report on the reporter's own clock, in microseconds.
    pub sent: u64,
    /// The last report that the reporter received from the recipient.
    pub echo: Option<Echo>,
    /// Version of the configuration in force.
    pub version: u64,
    /// Milliseconds since that version was confirmed, if it ever was.
    pub age: Option<u32>,
    /// The reporter's knowledge of the store, by section.
    #[serde(rename = "readings")]
    pub sections: [SectionStatus; 2],
    /// The reporter's load by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// The reporter's load by service.
    pub services: Vec<ServiceLoad>,
    /// Units that the reporter has admitted since it started, less those that it returned, by
    /// digest of the team.
    pub spent: Vec<(u64, i64)>,
    /// Crashes that the reporter counted, by request.
    pub crashes: Vec<(BodyDigest, u32)>,
    /// Peers that the reporter knows.
    pub peers: Vec<SocketAddr>,
    /// Whether the reporter is leaving.
    pub leaving: bool,
}

/// A peer that has sent a report.
#[derive(Debug)]
pub struct Member {
    boot: u64,
    sent: u64,
    received: Timestamp,
    spent: HashMap<u64, i64>,
    services: Vec<ServiceLoad>,
    leaving: bool,
    /// Position in an order of all entries that mixes data centres.
    order: u64,
}

impl Member {
    /// Returns whether a report arrived within `limit`.
    fn is_responsive(&self, limit: Duration, now: Timestamp) -> bool {
        now < self.received + limit
    }
}

/// Returns the position of an entry in an order that mixes data centres.
fn order(address: SocketAddr) -> u64 {
    digest(&address.to_string())
}

/// Changes since the reporter's previous report.
#[derive(Debug, Default)]
pub struct ReportChanges {
    /// Units that the reporter has admitted since, by digest of the team.
    pub spent: Vec<(u64, i64)>,
    /// Whether the reporter was unknown or has restarted.
    pub started: bool,
}

/// The peers that have sent reports.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<SocketAddr, Member>,
    /// Addresses that peers reported, with the time until which they are tried.
    advertised: BTreeMap<SocketAddr, Timestamp>,
}

impl Members {
    /// Applies a report. Returns `None` for one that is not newer than the last.
    pub fn apply_report(
        &mut self,
        from: SocketAddr,
        report: &Report,
        now: Timestamp,
    ) -> Option<ReportChanges> {
        let known = self.members.get(&from);
        let same = known.filter(|member| member.boot == report.boot);
        if same.is_some_and(|member| report.sent <= member.sent) {
            return None;
        }
        let mut changes = ReportChanges {
            started: same.is_none(),
            ..ReportChanges::default()
        };
        let spent: HashMap<u64, i64> = report.spent.iter().copied().collect();
        if let Some(member) = same {
            for (team, total) in &report.spent {
                let before = member.spent.get(team).copied().unwrap_or(0);
                if before != *total {
                    changes.spent.push((*team, total - before));
                }
            }
        }
        let member = Member {
            boot: report.boot,
            sent: report.sent,
            received: now,
            spent,
            services: report.services.clone(),
            leaving: report.leaving,
            order: known.map_or_else(|| order(from), |member| member.order),
        };
        self.members.insert(from, member);
        self.advertised.remove(&from);
        for peer in &report.peers {
            if !self.members.contains_key(peer) {
                self.advertised.insert(*peer, now + MEMBER_RETENTION);
            }
        }
        Some(changes)
    }

    /// Removes the members whose retention has expired, and returns their addresses.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.advertised.retain(|_, until| now < *until);
        let limit = self.response_limit();
        let retention = MEMBER_RETENTION.max(limit * 2);
        let is_expired = |member: &Member| {
            let retention = if member.leaving { limit } else { retention };
            member.received + retention <= now
        };
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| is_expired(m))
            .map(|(a, _)| *a)
            .collect();
        self.members.retain(|_, member| !is_expired(member));
        expired
    }

    /// Returns the unresponsive members.
    pub fn unresponsive(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> + '_ {
        let limit = self.response_limit();
        self.members
            .iter()
            .filter(move |(_, member)| !member.is_responsive(limit, now))
            .map(|(address, _)| *address)
    }

    /// Returns the number of entries, including this one and the unresponsive ones.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Returns the index of this entry, at `own`, among all entries.
    #[must_use]
    pub fn index(&self, own: SocketAddr) -> usize {
        self.members.range(..own).count()
    }

    /// Returns the index of this entry, at `own`, among the responsive entries that are not
    /// leaving, in an order that mixes data centres.
    #[must_use]
    pub fn reader_rank(&self, own: SocketAddr, now: Timestamp) -> usize {
        let limit = self.response_limit();
        let own = (order(own), own);
        let others = self.members.iter();
        let stay = others.filter(|(_, member)| !member.leaving && member.is_responsive(limit, now));
        stay.filter(|(address, member)| (member.order, **address) < own)
            .count()
    }

    /// Returns the part of a shared rate that the responsive entries may spend.
    #[must_use]
    pub fn responsive_part(&self, now: Timestamp) -> f64 {
        let unresponsive = self.unresponsive(now).count();
        1.0 - unresponsive as f64 / self.count() as f64
    }

    /// Returns the last report that this entry received from a member.
    #[must_use]
    pub fn echo(&self, address: SocketAddr) -> Option<Echo> {
        let member = self.members.get(&address)?;
        Some(Echo {
            boot: member.boot,
            sent: member.sent,
        })
    }

    /// Returns the running, waiting and urgent waiting requests of one service at all responsive
    /// members.
    #[must_use]
    pub fn demand(&self, service: u64, now: Timestamp) -> (u32, u32, u32) {
        let limit = self.response_limit();
        let responsive = self
            .members
            .values()
            .filter(|m| m.is_responsive(limit, now));
        let loads = responsive
            .flat_map(|member| &member.services)
            .filter(|load| load.service == service);
        loads.fold((0, 0, 0), |(running, waiting, urgent), load| {
            (
                running + u32::from(load.running),
                waiting + u32::from(load.waiting),
                urgent + u32::from(load.urgent),
            )
        })
    }

    /// Returns the addresses that reports go to: members, addresses that peers reported, and the
    /// seeds.
    #[must_use]
    pub fn targets(&self, own: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut targets: Vec<_> = self
            .members
            .keys()
            .chain(self.advertised.keys())
            .chain(seeds)
            .copied()
            .collect();
        targets.sort();
        targets.dedup();
        targets.retain(|target| *target != own);
        targets
    }

    /// Returns the members' addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.keys().copied().collect()
    }

    /// Returns the time without a report after which a member is unresponsive. It grows with the
    /// report interval of a large fleet.
    fn response_limit(&self) -> Duration {
        RESPONSE_LIMIT.max(self.report_interval() * MISSED_REPORTS)
    }

    /// Returns the interval between this entry's reports. It grows with the fleet, so that the
    /// number of reports per second stays bounded.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        let members = u32::try_from(self.count()).unwrap_or(u32::MAX);
        REPORT_INTERVAL.max(Duration::from_secs(1) * members / REPORTS_PER_S)
    }
}
