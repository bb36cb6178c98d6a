//! Endpoints that say in their answers that they take no requests.

use std::time::Duration;

use rand::Rng;

use super::placement::has_build;
use super::{PlacementRequest, Reason, Scheduler};
use crate::direct::endpoint_table::{EndpointState, Notice, NoticeEffect};
use crate::direct::plan::EndpointRecord;
use crate::direct::report::EndpointNotice;
use crate::direct::source::{Scope, Source};
use crate::time::Timestamp;

/// Time after the first endpoint takes requests again in which refused callers may return, each at a random time.
const RETURN_SPREAD: Duration = Duration::from_secs(2);

/// Why a service has no usable endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Absence {
    pub(super) reason: Reason,
    /// Time at which the first pause ends, or the first limit allows a request.
    pub(super) until: Option<Timestamp>,
}

impl Scheduler {
    /// Records what the endpoint of `record` said of itself in an answer to this entry.
    pub fn record_notice(
        &mut self,
        record: &EndpointRecord,
        notice: &Notice,
        now: Timestamp,
    ) -> NoticeEffect {
        self.endpoints.record_notice(record, notice, now)
    }

    /// Returns whether a request that was placed at the endpoint of `record` may still be sent there.
    #[must_use]
    pub fn may_send(&self, record: &EndpointRecord, now: Timestamp) -> bool {
        self.endpoints.availability(record).takes_requests(now)
    }

    /// Returns after which delay a caller may return, if every endpoint of a service, of the required
    /// build, has asked for a pause.
    pub fn pause_delay(
        &mut self,
        service: &str,
        build: Option<&str>,
        now: Timestamp,
    ) -> Option<Duration> {
        let absence = self.absence(service, build, now);
        self.return_delay(&absence, now)
    }

    /// Returns a delay until some random time after the first endpoint takes requests again.
    pub(super) fn return_delay(&mut self, absence: &Absence, now: Timestamp) -> Option<Duration> {
        let remaining = absence.until?.since(now);
        Some(remaining + RETURN_SPREAD.mul_f64(self.random.random()))
    }

    /// Returns what endpoints have said of themselves, for a report of the given scope.
    pub(super) fn notices(
        &self,
        scope: Scope,
        recipient: Option<Source>,
        now: Timestamp,
    ) -> Vec<EndpointNotice> {
        let own = self.endpoints.notices(now);
        self.peer_notices.reported(&own, scope, recipient, now)
    }

    /// Returns why a service without a usable endpoint of the required build has none.
    pub(super) fn absence(&self, service: &str, build: Option<&str>, now: Timestamp) -> Absence {
        let mut until = None;
        let mut reason = Reason::NoEndpoint;
        let listed = self.listed(service, now);
        for state in listed.filter(|state| has_build(state, build)) {
            let availability = state.availability();
            if availability.takes_requests(now) {
                return Absence {
                    reason: Reason::NoEndpoint,
                    until: None,
                };
            }
            if availability.is_leaving() {
                reason = Reason::EndpointsLeaving;
            } else {
                let end = availability.paused_until();
                until = Some(until.map_or(end, |first: Timestamp| first.min(end)));
            }
        }
        if until.is_some() {
            reason = Reason::EndpointsPaused;
        }
        Absence { reason, until }
    }

    /// Returns why waiting is of no use, if every endpoint that a request may go to has said that it
    /// takes none, or takes it too late.
    pub(super) fn hopeless(&self, request: &PlacementRequest, now: Timestamp) -> Option<Absence> {
        if !self.has_no_endpoint(request, now) {
            return self.limited_too_long(request, now);
        }
        let absence = self.absence(&request.service, request.build.as_deref(), now);
        (absence.reason != Reason::NoEndpoint).then_some(absence)
    }

    /// Returns the endpoints of a service that may be used according to the store.
    fn listed<'a>(
        &'a self,
        service: &str,
        now: Timestamp,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let endpoints = self.endpoints.of_service(service);
        endpoints.filter(move |state| {
            state.is_listed_for_use(now) && !self.closed.contains(&state.record().centre)
        })
    }

    /// Returns whether this entry may send a request to an endpoint whose pause may just have ended.
    /// All entries together fill its slots by and by, each no more than its own part of them.
    pub(super) fn may_return(
        &self,
        state: &EndpointState,
        streaming: bool,
        now: Timestamp,
    ) -> bool {
        let Some(part) = state.availability().return_part(now) else {
            return true;
        };
        let limit = (f64::from(Self::slots(state, streaming)) * part).max(1.0);
        (state.own().running as usize) < self.own_part(state, limit, now)
    }
}
