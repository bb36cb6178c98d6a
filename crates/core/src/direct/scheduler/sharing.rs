//! What an entry tells its peers, and what it takes from them.

use std::net::SocketAddr;
use std::time::Duration;

use super::Scheduler;
use crate::direct::book::digest;
use crate::direct::members::{Report, ServiceLoad};
use crate::direct::readings::{Readings, Section};
use crate::time::{Timestamp, whole_millis};

/// Age of the configuration's confirmation from which an entry reads the store whatever its peers say.
const CONFIRMED_LIMIT: Duration = Duration::from_secs(2);

/// What a peer's report calls for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    /// The reporter was not known, or started anew.
    pub started: bool,
    /// The reporter knows of something newer in the store.
    pub newer: bool,
}

impl Scheduler {
    /// Where reports go now.
    #[must_use]
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.members.targets(self.own, &self.seeds)
    }

    /// Pause until the next reports.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.members.interval()
    }

    /// A report without what differs by addressee.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> Report {
        let services = self.plan.services.keys().map(|service| {
            let running: u32 = self.book.of(service).map(|known| known.own().running).sum();
            let line = self.lines.get(service);
            let waiting = line.map_or(0, |line| line.hopeful());
            let urgent = line.map_or(0, |line| line.urgent());
            ServiceLoad {
                service: digest(service),
                running: u16::try_from(running).unwrap_or(u16::MAX),
                waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
                urgent: u16::try_from(urgent).unwrap_or(u16::MAX),
            }
        });
        let age = self.currency.age(now).map(whole_millis);
        Report {
            boot: self.boot,
            sent: now.as_micros(),
            echo: None,
            version: self.currency.version(),
            age,
            readings: self.readings.told(now),
            loads: self.book.loads(),
            services: services
                .filter(|load| load.running > 0 || load.waiting > 0)
                .collect(),
            spent: self
                .spent
                .iter()
                .map(|(team, units)| (*team, *units))
                .collect(),
            crashes: self.suspects.told(now),
            peers: self.members.addresses(),
            leaving: self.leaving,
        }
    }

    /// The same report for one addressee.
    #[must_use]
    pub fn addressed(&self, report: &Report, to: SocketAddr) -> Report {
        Report {
            echo: self.members.echo(to),
            ..report.clone()
        }
    }

    /// Takes a peer's report.
    pub fn hear(&mut self, from: SocketAddr, report: Report, now: Timestamp) -> Heard {
        let Some(news) = self.members.hear(from, &report, now) else {
            return Heard::default();
        };
        for (team, units) in &news.spent {
            if let Some(allowance) = self.allowances.get_mut(team) {
                allowance.note(*units, now);
            }
        }
        self.suspects.hear(from, &report.crashes, now);
        let mut newer = report.version > self.currency.version();
        for section in Section::ALL {
            newer |= self
                .readings
                .hear(section, report.readings[section as usize], now);
        }
        if let (Some(age), Some(echo)) = (report.age, report.echo)
            && echo.boot == self.boot
        {
            let age = Duration::from_millis(age.into());
            self.currency
                .hear(report.version, age, Timestamp::from_micros(echo.sent));
        }
        self.book.report(from, report.loads);
        Heard {
            started: news.started,
            newer,
        }
    }

    /// How much of the store is known.
    #[must_use]
    pub const fn readings(&self) -> &Readings {
        &self.readings
    }

    /// Takes the answer to what this entry asked the store at `asked`: the newest change is that of
    /// `revision`.
    pub fn note_reading(&mut self, section: Section, revision: u64, asked: Timestamp) {
        self.readings.note(section, revision, asked);
        if section == Section::Endpoints {
            self.book.stamp(self.readings.revision(section));
        }
    }

    /// How much of the store is known.
    pub const fn readings_mut(&mut self) -> &mut Readings {
        &mut self.readings
    }

    /// For how long this entry need not ask the store for a section.
    #[must_use]
    pub fn rest(&self, section: Section, now: Timestamp) -> Duration {
        // What peers say counts from when they were asked, which is long ago in a large fleet.
        let rank = if self.currency.is_current(CONFIRMED_LIMIT, now) {
            self.members.rank(self.own, now)
        } else {
            0
        };
        self.readings.rest(section, rank, self.interval(), now)
    }

    /// Forgets what silent peers said.
    pub fn forget(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let silent: Vec<_> = self.members.silent(now).collect();
        let gone = self.members.forget(now);
        for peer in silent.iter().chain(&gone) {
            self.book.report(*peer, Vec::new());
        }
        gone
    }

    /// How many entries there are, with this one.
    #[must_use]
    pub fn members(&self) -> usize {
        self.members.count()
    }

    /// The entries that are known.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.members.addresses()
    }
}
