//! Endpoints that say in their answers that they take no requests.

use super::{PlacementRequest, Reason, Scheduler};
use crate::direct::endpoint_table::{EndpointState, Notice, NoticeEffect};
use crate::direct::plan::EndpointRecord;
use crate::direct::report::{EndpointNotice, Scope, Source};
use crate::time::Timestamp;

impl Scheduler {
    /// Records what the endpoint of `record` said of itself in an answer to this entry.
    pub fn record_notice(
        &mut self,
        record: &EndpointRecord,
        notice: &Notice,
    ) -> Option<NoticeEffect> {
        self.endpoints.record_notice(record, notice)
    }

    /// Returns whether a request that was placed at the endpoint of `record` may still be sent there.
    #[must_use]
    pub fn may_send(&self, record: &EndpointRecord) -> bool {
        !self.endpoints.availability(record).is_leaving()
    }

    /// Returns what endpoints have said of themselves, for a report of the given scope.
    pub(super) fn notices(&self, scope: Scope, recipient: Option<Source>) -> Vec<EndpointNotice> {
        let own = self.endpoints.notices();
        self.peer_notices.reported(own, scope, recipient)
    }

    /// Returns why a service without a usable endpoint has none.
    pub(super) fn absence(&self, service: &str, now: Timestamp) -> Reason {
        let mut listed = self.listed(service, now).peekable();
        if listed.peek().is_some() && listed.all(|state| state.availability().is_leaving()) {
            Reason::EndpointsLeaving
        } else {
            Reason::NoEndpoint
        }
    }

    /// Returns whether waiting is of no use, since every endpoint that a request may go to has said
    /// that it takes none.
    pub(super) fn is_hopeless(&self, request: &PlacementRequest, now: Timestamp) -> bool {
        self.has_no_endpoint(request, now)
            && self.absence(&request.service, now) != Reason::NoEndpoint
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
}
