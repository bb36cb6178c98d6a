//! Reports between entries: what an entry sends to its peers, and how it applies their reports.

use std::net::SocketAddr;
use std::time::Duration;

use super::Scheduler;
use crate::direct::endpoint_table::digest;
use crate::direct::members::{Report, ServiceLoad};
use crate::direct::store_progress::{Section, StoreProgress};
use crate::time::{Timestamp, whole_millis};

/// Age of the configuration's confirmation from which an entry reads the store itself, regardless
/// of its peers' reports.
const CONFIRMATION_AGE_LIMIT: Duration = Duration::from_secs(2);

/// Effect of a peer's report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportEffect {
    /// Whether the reporter was unknown or has restarted.
    pub started: bool,
    /// Whether the reporter knows of a newer revision of the store.
    pub newer: bool,
}

impl Scheduler {
    /// Returns the addresses that reports go to.
    #[must_use]
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.members.targets(self.own, &self.seeds)
    }

    /// Returns the interval between two reports.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        self.members.report_interval()
    }

    /// Returns a report without the fields that differ by recipient.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> Report {
        let services = self.plan.services.keys().map(|service| {
            let running: u32 = self
                .endpoints
                .of_service(service)
                .map(|state| state.own().running)
                .sum();
            let queue = self.queues.get(service);
            let waiting = queue.map_or(0, |queue| queue.timely());
            let urgent = queue.map_or(0, |queue| queue.urgent());
            ServiceLoad {
                service: digest(service),
                running: u16::try_from(running).unwrap_or(u16::MAX),
                waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
                urgent: u16::try_from(urgent).unwrap_or(u16::MAX),
            }
        });
        let age = self.confirmation.age(now).map(whole_millis);
        Report {
            boot: self.boot,
            sent: now.as_micros(),
            echo: None,
            version: self.confirmation.version(),
            age,
            sections: self.store_progress.status(now),
            loads: self.endpoints.loads(),
            services: services
                .filter(|load| load.running > 0 || load.waiting > 0)
                .collect(),
            spent: self
                .spent
                .iter()
                .map(|(team, units)| (*team, *units))
                .collect(),
            crashes: self.suspects.reported(now),
            peers: self.members.addresses(),
            leaving: self.leaving,
        }
    }

    /// Returns the same report for one recipient.
    #[must_use]
    pub fn addressed(&self, report: &Report, to: SocketAddr) -> Report {
        Report {
            echo: self.members.echo(to),
            ..report.clone()
        }
    }

    /// Applies a peer's report. A report that is older than the last one has no effect.
    pub fn apply_report(
        &mut self,
        from: SocketAddr,
        report: Report,
        now: Timestamp,
    ) -> ReportEffect {
        let Some(changes) = self.members.apply_report(from, &report, now) else {
            return ReportEffect::default();
        };
        for (team, units) in &changes.spent {
            if let Some(limiter) = self.rate_limiters.get_mut(team) {
                limiter.record(*units, now);
            }
        }
        self.suspects.apply_report(from, &report.crashes, now);
        let mut newer = report.version > self.confirmation.version();
        for section in Section::ALL {
            newer |=
                self.store_progress
                    .apply_status(section, report.sections[section as usize], now);
        }
        if let (Some(age), Some(echo)) = (report.age, report.echo)
            && echo.boot == self.boot
        {
            let age = Duration::from_millis(age.into());
            self.confirmation.confirm_by_peer(
                report.version,
                age,
                Timestamp::from_micros(echo.sent),
            );
        }
        self.endpoints.apply_report(from, report.loads);
        ReportEffect {
            started: changes.started,
            newer,
        }
    }

    /// Returns how far this entry has read the store.
    #[must_use]
    pub const fn store_progress(&self) -> &StoreProgress {
        &self.store_progress
    }

    /// Records the answer to a read of the store that was sent at `read_at` and whose newest change
    /// is that of `revision`.
    pub fn record_store_answer(&mut self, section: Section, revision: u64, read_at: Timestamp) {
        self.store_progress
            .record_answer(section, revision, read_at);
        if section == Section::Endpoints {
            self.endpoints
                .set_revision(self.store_progress.revision(section));
        }
    }

    /// Returns how far this entry has read the store.
    pub const fn store_progress_mut(&mut self) -> &mut StoreProgress {
        &mut self.store_progress
    }

    /// Returns how long this entry may wait before it reads a section of the store.
    #[must_use]
    pub fn read_delay(&self, section: Section, now: Timestamp) -> Duration {
        // Peers' confirmations count from the time of this entry's own message, which is long ago
        // in a large fleet.
        let reader_rank = if self.confirmation.is_current(CONFIRMATION_AGE_LIMIT, now) {
            self.members.reader_rank(self.own, now)
        } else {
            0
        };
        self.store_progress
            .read_delay(section, reader_rank, self.report_interval(), now)
    }

    /// Discards the load of peers that no longer report and removes those whose retention has
    /// expired. Returns the removed peers.
    pub fn expire_peers(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let unresponsive: Vec<_> = self.members.unresponsive(now).collect();
        let expired = self.members.remove_expired(now);
        for peer in unresponsive.iter().chain(&expired) {
            self.endpoints.apply_report(*peer, Vec::new());
        }
        expired
    }

    /// Returns the number of known entries, including this one.
    #[must_use]
    pub fn members(&self) -> usize {
        self.members.count()
    }

    /// Returns the addresses of the known peers.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.members.addresses()
    }
}
