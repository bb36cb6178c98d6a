//! Keeps long prompts away from endpoints whose running streams they would interrupt for too long.
//!
//! The load: endpoints differ up to fourfold in speed and read prompts between the events of their
//! running streams. A prompt that a fast endpoint reads unnoticed makes every stream of a slow one
//! pause for longer than their callers accept. Slow endpoints therefore take short prompts, which are
//! waiting too when there is no room for all.

use super::{PlacementRequest, Scheduler};
use crate::direct::endpoint_table::EndpointState;
use crate::time::Timestamp;

/// Factor on the shortest pause that any endpoint would make. A prompt that is too long for all of
/// them goes to those that come close to it.
const LEAST_PAUSE_FACTOR: f64 = 1.25;

/// Safety factor on the time in which an endpoint reads prompts.
const READING_FACTOR: f64 = 2.0;

/// Longest pause, in milliseconds, that a request may make in the streams of the endpoint that takes
/// it.
#[derive(Debug, Clone, Copy)]
pub(super) struct PauseLimit(f64);

impl Scheduler {
    /// Returns the limit for a request, if the gap between two events of its kind is bounded.
    pub(super) fn pause_limit(
        &self,
        request: &PlacementRequest,
        now: Timestamp,
    ) -> Option<PauseLimit> {
        let gap = request.event_gap?.as_secs_f64() * 1_000.0;
        let pauses = self.usable(request, now);
        let pauses = pauses.map(|state| self.pause_ms(state, request.prompt));
        let least = pauses.min_by(f64::total_cmp)?;
        Some(PauseLimit(gap.max(least * LEAST_PAUSE_FACTOR)))
    }

    /// Returns whether a request would interrupt the running streams of an endpoint for longer than
    /// `limit`.
    pub(super) fn interrupts(
        &self,
        limit: Option<PauseLimit>,
        state: &EndpointState,
        request: &PlacementRequest,
    ) -> bool {
        let load = state.load();
        let tokens = load.pending + request.prompt;
        load.running > 0 && limit.is_some_and(|limit| self.pause_ms(state, tokens) > limit.0)
    }

    /// Returns the time between two events of a running stream at an endpoint that reads `tokens`
    /// tokens of prompts in between, in milliseconds.
    fn pause_ms(&self, state: &EndpointState, tokens: u64) -> f64 {
        state.stream_ms(1.0) + READING_FACTOR * self.endpoints.token_ms(state) * tokens as f64
    }
}
