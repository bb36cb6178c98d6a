//! What endpoints say of themselves in their answers: whether they take requests of this entry.
//!
//! An endpoint's own word binds this entry, and belongs to one incarnation: it outlives the
//! endpoint's record, and does not concern another incarnation under the same id.

use std::collections::VecDeque;
use std::sync::Arc;

use super::{EndpointId, EndpointRecord, EndpointState, EndpointTable};
use crate::direct::report::EndpointNotice;

/// Number of removed endpoints whose own word is remembered.
const FORMER_LIMIT: usize = 1_024;

/// What one answer of an endpoint says of the endpoint itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the endpoint leaves and takes no new requests.
    pub leaving: bool,
}

/// What a [`Notice`] changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeEffect {
    /// The endpoint said for the first time that it leaves.
    Leaves,
}

/// What an endpoint's incarnation has said of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Availability {
    pub(super) leaving: bool,
}

impl Availability {
    /// Returns whether the endpoint has said that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn apply(&mut self, notice: &Notice) -> Option<NoticeEffect> {
        let is_new = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        is_new.then_some(NoticeEffect::Leaves)
    }
}

/// Incarnations that were removed from the table, with what they had said, oldest first. Their
/// records may be listed again.
#[derive(Debug, Default)]
pub(super) struct FormerEndpoints(VecDeque<(EndpointId, u64, Availability)>);

impl FormerEndpoints {
    /// Remembers what a removed endpoint had said.
    pub(super) fn keep(&mut self, record: &EndpointRecord, availability: Availability) {
        if availability == Availability::default() {
            return;
        }
        if self.0.len() >= FORMER_LIMIT {
            self.0.pop_front();
        }
        self.0
            .push_back((Arc::clone(&record.id), record.started_ms, availability));
    }

    /// Returns what an endpoint had said before it was removed.
    pub(super) fn take(&mut self, record: &EndpointRecord) -> Availability {
        self.position(record)
            .and_then(|position| self.0.remove(position))
            .map_or_else(Availability::default, |(_, _, availability)| availability)
    }

    fn get(&self, record: &EndpointRecord) -> Option<&Availability> {
        self.0
            .get(self.position(record)?)
            .map(|(_, _, found)| found)
    }

    fn position(&self, record: &EndpointRecord) -> Option<usize> {
        self.0
            .iter()
            .position(|(id, started, _)| *id == record.id && *started == record.started_ms)
    }
}

impl EndpointTable {
    /// Records what the endpoint of `record` said of itself. It concerns that incarnation only.
    pub fn record_notice(
        &mut self,
        record: &EndpointRecord,
        notice: &Notice,
    ) -> Option<NoticeEffect> {
        match self.endpoints.get_mut(&record.id) {
            Some(state) if state.record.started_ms == record.started_ms => {
                state.availability.apply(notice)
            }
            _ => {
                let mut availability = self.former.take(record);
                let effect = availability.apply(notice);
                self.former.keep(record, availability);
                effect
            }
        }
    }

    /// Returns what the listed endpoints have said of themselves, for this entry's report.
    #[must_use]
    pub fn notices(&self) -> Vec<EndpointNotice> {
        let said = |state: &&EndpointState| state.availability != Availability::default();
        let notice = |state: &EndpointState| EndpointNotice {
            endpoint: state.digest,
            started_ms: state.record.started_ms,
            leaving: state.availability.leaving,
        };
        self.endpoints.values().filter(said).map(notice).collect()
    }

    /// Returns what the incarnation of `record` has said of itself.
    #[must_use]
    pub fn availability(&self, record: &EndpointRecord) -> Availability {
        let state = self.endpoints.get(&record.id);
        let listed = state.filter(|state| state.record.started_ms == record.started_ms);
        let known = listed.map(EndpointState::availability);
        known
            .or_else(|| self.former.get(record))
            .copied()
            .unwrap_or_default()
    }
}
