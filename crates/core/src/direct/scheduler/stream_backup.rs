//! Copies of streams' memory: where they are kept, and how their streams go on.

use super::{Run, Scheduler};
use crate::direct::plan::{EndpointId, EndpointRecord};
use crate::direct::stream_backup::BackupRequest;
use crate::time::Timestamp;

impl Scheduler {
    /// Chooses the endpoint that keeps a copy of a stream's memory, if the stream gets one.
    pub fn choose_backup(
        &mut self,
        request: &BackupRequest<'_>,
        now: Timestamp,
    ) -> Option<EndpointRecord> {
        if !self.policies.stream_backups || !request.is_worth_copy(self.policies.backup_tokens) {
            return None;
        }
        let plan = self.plan.services.get(&request.record.service)?.backup?;
        let places: Vec<&EndpointRecord> = self
            .endpoints
            .of_service(&request.record.service)
            .filter(|state| {
                let record = state.record();
                request.may_keep(plan, record)
                    && state.is_usable(now)
                    && !self.closed.contains(&record.centre)
                    && !state.is_unlisted()
                    && !state.is_avoided(now)
                    && !state.is_cold(now)
                    && state.availability().limit(now).is_none()
            })
            .map(|state| state.record())
            .collect();
        let id = request.choose(&places, &mut self.random)?;
        Some(self.endpoints.get(&id)?.record().clone())
    }

    /// Takes a slot at the endpoint that keeps a copy, if it may be sent to. The endpoint admits such a
    /// request first.
    pub fn resume_at(&mut self, record: &EndpointRecord, now: Timestamp) -> Option<Run> {
        let state = self.endpoints.get(&record.id)?;
        let is_same = state.record().started_ms == record.started_ms;
        let is_open = !self.closed.contains(&record.centre);
        if !is_same || !is_open || !state.is_usable(now) || !self.is_allowed(state, now) {
            return None;
        }
        let id: EndpointId = record.id.clone();
        self.charge_limit(&id, now);
        self.endpoints.record_send(&id, 0, now)
    }
}
