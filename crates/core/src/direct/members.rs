//! The other entries, as far as they have been heard.
//!
//! Nobody lists the entries. Each is found through seeds and through what others say of whom they
//! know. A member that fell silent may be dead or cut off: its part of every limit is left to it for
//! [`SILENCE_MEMORY`], since it may go on spending.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::book::digest;
use super::readings::Told;
use crate::request::BodyDigest;
use crate::time::Timestamp;

/// A member that is silent for longer counts as silent, unless reports are that rare.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Reports that a member may miss before it counts as silent.
const MISSED_LIMIT: u32 = 3;

/// How long the part of a silent member is left to it.
const SILENCE_MEMORY: Duration = Duration::from_secs(20);

/// Pause between the reports of a fleet of few entries.
const REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Reports that one entry sends a second at most.
const REPORTS_RATE: u32 = 120;

/// What a report says of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Digest of the endpoint's name.
    pub endpoint: u64,
    /// Requests of the reporter that run there.
    pub running: u16,
    /// Prompt tokens among them that have not been read yet.
    pub pending: u32,
    /// Time between two events that the reporter has seen there, in tenths of milliseconds, or 0.
    pub tempo: u16,
}

/// What a report says of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Digest of the service's name.
    pub service: u64,
    /// Requests that run.
    pub running: u16,
    /// Requests that wait for an endpoint and could still be on time.
    pub waiting: u16,
    /// Those of the highest rank among them.
    pub urgent: u16,
}

/// The last report of the addressee that the reporter has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The addressee's process.
    pub boot: u64,
    /// When it sent that report, on its own clock, in microseconds.
    pub sent: u64,
}

/// What one entry tells another, several times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The process that reports.
    pub boot: u64,
    /// When it reports, on its own clock, in microseconds.
    pub sent: u64,
    /// What it last saw of the addressee.
    pub echo: Option<Echo>,
    /// The configuration's version.
    pub version: u64,
    /// Milliseconds since that version was confirmed, if it ever was.
    pub age: Option<u32>,
    /// What it knows of the store, by section.
    pub readings: [Told; 2],
    /// Its requests by endpoint.
    pub loads: Vec<EndpointLoad>,
    /// Its requests by service.
    pub services: Vec<ServiceLoad>,
    /// Units that it let in and did not give back, by digest of the team, since it started.
    pub spent: Vec<(u64, i64)>,
    /// Crashes that it has seen, by request.
    pub crashes: Vec<(BodyDigest, u32)>,
    /// Entries that it knows.
    pub peers: Vec<SocketAddr>,
    /// Whether it is about to end.
    pub leaving: bool,
}

/// One other entry.
#[derive(Debug)]
pub struct Member {
    boot: u64,
    sent: u64,
    heard: Timestamp,
    spent: HashMap<u64, i64>,
    services: Vec<ServiceLoad>,
    leaving: bool,
    /// Its place in an order of all entries that mixes data centres.
    order: u64,
}

impl Member {
    /// Whether it was heard within `limit`.
    fn is_heard(&self, limit: Duration, now: Timestamp) -> bool {
        now < self.heard + limit
    }
}

/// Where an entry stands in an order that mixes data centres.
fn order(address: SocketAddr) -> u64 {
    digest(&address.to_string())
}

/// News from a report.
#[derive(Debug, Default)]
pub struct News {
    /// Units that the reporter let in since its report before, by digest of the team.
    pub spent: Vec<(u64, i64)>,
    /// Whether the reporter was not known, or started anew.
    pub started: bool,
}

/// Every entry that was heard lately.
#[derive(Debug, Default)]
pub struct Members {
    members: BTreeMap<SocketAddr, Member>,
    /// Addresses that others spoke of, with the time until which they are tried.
    rumours: BTreeMap<SocketAddr, Timestamp>,
}

impl Members {
    /// Takes a report. Returns nothing for one that is older than the last.
    pub fn hear(&mut self, from: SocketAddr, report: &Report, now: Timestamp) -> Option<News> {
        let known = self.members.get(&from);
        let same = known.filter(|member| member.boot == report.boot);
        if same.is_some_and(|member| report.sent <= member.sent) {
            return None;
        }
        let mut news = News {
            started: same.is_none(),
            ..News::default()
        };
        let spent: HashMap<u64, i64> = report.spent.iter().copied().collect();
        if let Some(member) = same {
            for (team, total) in &report.spent {
                let before = member.spent.get(team).copied().unwrap_or(0);
                if before != *total {
                    news.spent.push((*team, total - before));
                }
            }
        }
        let member = Member {
            boot: report.boot,
            sent: report.sent,
            heard: now,
            spent,
            services: report.services.clone(),
            leaving: report.leaving,
            order: known.map_or_else(|| order(from), |member| member.order),
        };
        self.members.insert(from, member);
        self.rumours.remove(&from);
        for peer in &report.peers {
            if !self.members.contains_key(peer) {
                self.rumours.insert(*peer, now + SILENCE_MEMORY);
            }
        }
        Some(news)
    }

    /// Forgets members whose part no longer has to be left to them. Returns whom.
    pub fn forget(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.rumours.retain(|_, until| now < *until);
        let limit = self.silence();
        let memory = SILENCE_MEMORY.max(limit * 2);
        let over = |member: &Member| {
            let memory = if member.leaving { limit } else { memory };
            member.heard + memory <= now
        };
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| over(m))
            .map(|(a, _)| *a)
            .collect();
        self.members.retain(|_, member| !over(member));
        gone
    }

    /// Members that have been silent for a while.
    pub fn silent(&self, now: Timestamp) -> impl Iterator<Item = SocketAddr> + '_ {
        let limit = self.silence();
        self.members
            .iter()
            .filter(move |(_, member)| !member.is_heard(limit, now))
            .map(|(address, _)| *address)
    }

    /// How many entries there are, with this one and the silent ones.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// The place of this entry, at `own`, among all.
    #[must_use]
    pub fn place(&self, own: SocketAddr) -> usize {
        self.members.range(..own).count()
    }

    /// The place of this entry, at `own`, among those that can be heard and stay, in an order that
    /// mixes data centres.
    #[must_use]
    pub fn rank(&self, own: SocketAddr, now: Timestamp) -> usize {
        let limit = self.silence();
        let own = (order(own), own);
        let others = self.members.iter();
        let stay = others.filter(|(_, member)| !member.leaving && member.is_heard(limit, now));
        stay.filter(|(address, member)| (member.order, **address) < own)
            .count()
    }

    /// The part of a shared rate that may be spent by the entries that can be heard.
    #[must_use]
    pub fn heard_part(&self, now: Timestamp) -> f64 {
        let silent = self.silent(now).count();
        1.0 - silent as f64 / self.count() as f64
    }

    /// What this entry last saw of a member.
    #[must_use]
    pub fn echo(&self, address: SocketAddr) -> Option<Echo> {
        let member = self.members.get(&address)?;
        Some(Echo {
            boot: member.boot,
            sent: member.sent,
        })
    }

    /// Running, waiting and urgent waiting requests of one service at all members that can be heard.
    #[must_use]
    pub fn demand(&self, service: u64, now: Timestamp) -> (u32, u32, u32) {
        let limit = self.silence();
        let heard = self.members.values().filter(|m| m.is_heard(limit, now));
        let loads = heard
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

    /// Addresses that reports go to: members, those that others know, and the seeds.
    #[must_use]
    pub fn targets(&self, own: SocketAddr, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut targets: Vec<_> = self
            .members
            .keys()
            .chain(self.rumours.keys())
            .chain(seeds)
            .copied()
            .collect();
        targets.sort();
        targets.dedup();
        targets.retain(|target| *target != own);
        targets
    }

    /// The members' addresses.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.members.keys().copied().collect()
    }

    /// How long a member may be silent: reports of a large fleet are rare.
    fn silence(&self) -> Duration {
        SILENCE_LIMIT.max(self.interval() * MISSED_LIMIT)
    }

    /// Pause between this entry's reports: it grows with their number, so that the load stays flat.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let members = u32::try_from(self.count()).unwrap_or(u32::MAX);
        REPORT_INTERVAL.max(Duration::from_secs(1) * members / REPORTS_RATE)
    }
}
