//! Reports between entries: what an entry sends to its peers, and how it applies their reports.

use std::net::SocketAddr;
use std::time::Duration;

use super::report_sums::Sums;
use super::{Demand, Scheduler};
use crate::direct::digest::digest;
use crate::direct::members::loss_limit;
use crate::direct::report::{Report, ServiceLoad};
use crate::direct::source::{Scope, Source};
use crate::direct::spending::ReportedCounters;
use crate::direct::store_progress::Section;
use crate::direct::topology::{Role, Target};
use crate::time::{Timestamp, whole_millis};

/// Effect of a peer's report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportEffect {
    /// Whether the reporter was unknown or has restarted.
    pub started: bool,
    /// Whether the reporter knows of a newer revision of the store.
    pub newer: bool,
}

impl Scheduler {
    /// Returns the interval between two reports.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        self.topology.interval(&self.members)
    }

    /// Returns the reports that this entry sends now, with their recipients.
    pub fn reports(&mut self, now: Timestamp) -> Vec<(SocketAddr, Report)> {
        self.update_role(now);
        let own = self.report(now);
        let sums = (self.topology.role() == Role::Aggregator).then(|| Sums::new(self, &own, now));
        let targets = self.topology.targets(&mut self.members, &self.seeds, now);
        let message = |target: Target| (target.address, self.report_to(&own, &sums, target, now));
        targets.into_iter().map(message).collect()
    }

    /// Returns the report of this entry alone, without the fields that differ by recipient.
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
        let interval = self.report_interval().as_millis();
        Report {
            scope: Scope::Entry,
            identity: self.identity,
            sent: now.as_micros(),
            interval: u16::try_from(interval).unwrap_or(u16::MAX),
            expects: true,
            echo: None,
            lag: 0,
            version: self.confirmation.version(),
            age,
            sections: self.store_progress.status(now),
            loads: self.endpoints.loads(),
            services: services
                .filter(|load| load.running > 0 || load.waiting > 0)
                .collect(),
            spent: self.spending.counters(Scope::Entry, self.own),
            containment: self.containment.reported(Scope::Entry, None, now),
            members: Vec::new(),
            notices: self.notices(Scope::Entry, None, now),
            shares: self.reported_work(&self.work_sum(Scope::Entry, now), None, now),
            answer_times: self.reported_times(Scope::Entry, None, now),
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

    /// Returns the report for one recipient, with the loads of the scope that it needs.
    fn report_to(
        &self,
        own: &Report,
        sums: &Option<Sums>,
        target: Target,
        now: Timestamp,
    ) -> Report {
        let base = Report {
            members: target.members,
            expects: target.expects,
            ..self.addressed(own, target.address)
        };
        let Some(sums) = sums.as_ref().filter(|_| target.scope != Scope::Entry) else {
            return base;
        };
        let recipient = Source::Entry(target.address);
        let (loads, services, shares) = if target.scope == Scope::Fleet {
            let demand = self.demand.get(&recipient);
            let services = demand.map_or(&[][..], |demand| &demand.services);
            let endpoints = self.endpoints.reported(&recipient);
            (
                sums.fleet.endpoints_without(endpoints),
                sums.fleet.services_without(services),
                self.reported_work(&sums.shares[1], Some(&recipient), now),
            )
        } else {
            let shares = self.reported_work(&sums.shares[0], None, now);
            (sums.endpoints.clone(), sums.services.clone(), shares)
        };
        let lag = self.knowledge_lag(now, |source| {
            source.is_within(target.scope) && *source != recipient
        });
        Report {
            scope: target.scope,
            lag: whole_millis(lag),
            loads,
            services,
            spent: self.spending.counters(target.scope, target.address),
            containment: self
                .containment
                .reported(target.scope, Some(recipient), now),
            notices: self.notices(target.scope, Some(recipient), now),
            shares,
            answer_times: self.reported_times(target.scope, Some(recipient), now),
            ..base
        }
    }

    /// Applies a peer's report. A report that is older than the last one has no effect.
    pub fn apply_report(
        &mut self,
        from: SocketAddr,
        report: Report,
        now: Timestamp,
    ) -> ReportEffect {
        let generation = self.members.generation();
        self.members.learn(&report.members, now);
        let observed = self.members.observe(from, &report, now);
        if self.members.generation() != generation {
            self.update_role(now);
        }
        let Some(observed) = observed else {
            return ReportEffect::default();
        };
        let newer_version = report.version > self.plan.version;
        let mut newer = report.version > self.confirmation.version();
        for section in Section::ALL {
            newer |=
                self.store_progress
                    .apply_status(section, report.sections[section as usize], now);
        }
        if newer_version {
            self.restoration.record_reported(report.version, now);
        }
        if let (Some(age), Some(echo)) = (report.age, report.echo)
            && echo.boot == self.identity.boot
        {
            let age = Duration::from_millis(age.into());
            self.confirmation.confirm_by_peer(
                report.version,
                age,
                Timestamp::from_micros(echo.sent),
            );
        }
        self.confirm_after_report(now);
        if let Some(source) = self.accepted_source(from, &report) {
            self.apply_source(source, from, report, now);
        }
        ReportEffect {
            started: observed.started,
            newer,
        }
    }

    /// Returns the part of a shared rate that the entries may spend which this entry hears of.
    #[must_use]
    pub fn responsive_part(&self, now: Timestamp) -> f64 {
        self.members.responsive_part(now)
    }

    /// Records a message of another entry that cannot be read.
    pub fn observe_unreadable(&mut self, from: SocketAddr, now: Timestamp) {
        self.members.observe_unreadable(from, now);
    }

    /// Returns the source whose load a report replaces, unless this entry gets that load from
    /// another source too.
    fn accepted_source(&self, from: SocketAddr, report: &Report) -> Option<Source> {
        let own_centre = report.identity.centre == self.identity.centre;
        match (self.topology.role(), report.scope) {
            (Role::Mesh, Scope::Entry) => Some(Source::Entry(from)),
            (Role::Member, Scope::Fleet) => Some(Source::Fleet),
            (Role::Member, Scope::Entry) if !self.demand.contains_key(&Source::Fleet) => {
                Some(Source::Entry(from))
            }
            (Role::Aggregator, Scope::Entry) if own_centre => Some(Source::Entry(from)),
            (Role::Aggregator, Scope::Centre) if !own_centre => {
                Some(Source::Centre(report.identity.centre))
            }
            _ => None,
        }
    }

    fn apply_source(&mut self, source: Source, from: SocketAddr, report: Report, now: Timestamp) {
        if source == Source::Fleet && !self.demand.contains_key(&source) {
            self.drop_sources(now, |_| true);
        }
        let known = self.known_until(&report, now);
        let started = Timestamp::from_micros(report.identity.started);
        let uptime = Timestamp::from_micros(report.sent).since(started);
        let spent = self.spending.apply(&ReportedCounters {
            source,
            from,
            boot: report.identity.boot,
            young: report.identity.started > 0 && uptime < self.bounds.rate_policy.window,
            spent: &report.spent,
        });
        for (team, units) in spent {
            if let Some(limiter) = self.rate_limiters.get_mut(&team) {
                limiter.record(units, now);
            }
        }
        self.containment
            .apply_report(source, report.containment, now);
        self.endpoints.apply_report(source, report.loads);
        self.peer_notices.apply_report(source, &report.notices, now);
        self.endpoints.learn_limits(&report.notices, now);
        self.hedging.apply_report(source, report.answer_times, now);
        let interval = Duration::from_millis(report.interval.into());
        let demand = Demand {
            expires: now + loss_limit(interval),
            known,
            entries: self.entries_of(&source),
            services: report.services,
            shares: report.shares,
            received: now,
        };
        self.demand.insert(source, demand);
    }

    /// Returns the time before which a report knows all that the entries did for which it speaks. The
    /// reporter made it after it had the report of this entry that it echoes.
    fn known_until(&self, report: &Report, now: Timestamp) -> Timestamp {
        let lag = Duration::from_millis(report.lag.into());
        let echo = report.echo.filter(|echo| echo.boot == self.identity.boot);
        let made = match echo {
            Some(echo) => Timestamp::from_micros(echo.sent),
            None => now - Duration::from_millis(report.interval.into()) * 2,
        };
        made - lag
    }

    /// Returns the number of entries that a source stands for.
    fn entries_of(&self, source: &Source) -> usize {
        match source {
            Source::Entry(_) => 1,
            Source::Centre(centre) => self.members.count_in(*centre),
            Source::Fleet => self.members.count() - 1,
        }
    }

    /// Returns the average time by which this entry's knowledge of the others lags behind at most.
    #[must_use]
    pub fn report_lag(&self, now: Timestamp) -> Duration {
        self.knowledge_lag(now, |_| true)
    }

    /// Returns by how much this entry's knowledge of the entries of some sources lags behind on
    /// average. Sources that report no longer do not count.
    pub(super) fn knowledge_lag(
        &self,
        now: Timestamp,
        includes: impl Fn(&Source) -> bool,
    ) -> Duration {
        let (mut total, mut entries) = (0.0, 0);
        let included = self
            .demand
            .iter()
            .filter(|(source, demand)| now < demand.expires && includes(source));
        for (_, demand) in included {
            total += now.since(demand.known).as_secs_f64() * demand.entries as f64;
            entries += demand.entries;
        }
        Duration::from_secs_f64(total / entries.max(1) as f64)
    }

    /// Returns the running, waiting and urgent waiting requests of one service at all peers.
    pub(super) fn peer_demand(&self, service: u64) -> (u32, u32, u32) {
        let loads = self.demand.values().flat_map(|demand| &demand.services);
        let of_service = loads.filter(|load| load.service == service);
        of_service.fold((0, 0, 0), |(running, waiting, urgent), load| {
            (
                running + u32::from(load.running),
                waiting + u32::from(load.waiting),
                urgent + u32::from(load.urgent),
            )
        })
    }

    /// Determines this entry's role. A new role receives its loads from other sources.
    fn update_role(&mut self, now: Timestamp) {
        let leaving = self.identity.leaving;
        if !self.topology.update_role(&self.members, leaving, now) {
            return;
        }
        let role = self.topology.role();
        self.drop_sources(now, |source| match source {
            Source::Entry(_) => role == Role::Member,
            Source::Centre(_) => role != Role::Aggregator,
            Source::Fleet => role != Role::Member,
        });
    }

    fn drop_sources(&mut self, now: Timestamp, is_dropped: impl Fn(&Source) -> bool) {
        let dropped: Vec<_> = self.demand.keys().copied().filter(is_dropped).collect();
        for source in dropped {
            self.drop_load(source, now);
            self.containment.forget_source(source);
        }
    }

    fn drop_load(&mut self, source: Source, now: Timestamp) {
        self.demand.remove(&source);
        self.endpoints.apply_report(source, Vec::new());
        self.peer_notices.apply_report(source, &[], now);
        self.hedging.forget_source(source);
    }

    /// Discards the load of sources that no longer report and removes the peers whose retention has
    /// expired. Returns the removed peers.
    pub fn expire_peers(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let overdue = self.demand.iter().filter(|(_, d)| d.expires <= now);
        let overdue: Vec<_> = overdue.map(|(source, _)| *source).collect();
        for source in overdue {
            self.drop_load(source, now);
        }
        let expired = self.members.remove_expired(now);
        for peer in &expired {
            self.spending.forget(*peer);
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
