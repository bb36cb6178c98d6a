//! The loads that an aggregator sums for its reports.

use super::Scheduler;
use crate::direct::load_sum::LoadSum;
use crate::direct::report::{EndpointLoad, Report, ServiceLoad};
use crate::direct::source::{Scope, Source};
use crate::direct::team_shares::WorkSum;
use crate::time::Timestamp;

/// The loads that an aggregator sums.
pub(super) struct Sums {
    /// Load by endpoint of all entries of its own data centre, including itself.
    pub(super) endpoints: Vec<EndpointLoad>,
    /// Load by service of the same entries.
    pub(super) services: Vec<ServiceLoad>,
    /// All entries.
    pub(super) fleet: LoadSum,
    /// Work of teams at the entries of its own data centre, and at all entries.
    pub(super) shares: [WorkSum; 2],
}

impl Sums {
    pub(super) fn new(scheduler: &Scheduler, own: &Report, now: Timestamp) -> Self {
        let (mut centre, mut fleet) = (LoadSum::default(), LoadSum::default());
        centre.add(&own.loads, &own.services);
        fleet.add(&own.loads, &own.services);
        for (source, demand) in &scheduler.demand {
            let endpoints = scheduler.endpoints.reported(source);
            if matches!(source, Source::Entry(_)) {
                centre.add(endpoints, &demand.services);
            }
            fleet.add(endpoints, &demand.services);
        }
        Self {
            endpoints: centre.endpoints_without(&[]),
            services: centre.services_without(&[]),
            fleet,
            shares: [Scope::Centre, Scope::Fleet].map(|scope| scheduler.work_sum(scope, now)),
        }
    }
}
