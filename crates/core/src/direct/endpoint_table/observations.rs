//! What this entry observes of the requests that it sends: load, times, failures.

use std::sync::Arc;
use std::time::Duration;

use super::endpoint_state::EndpointState;
use super::{EndpointId, EndpointTable};
use crate::direct::team_shares::Charge;
use crate::time::Timestamp;

/// Weight of a new outcome in an endpoint's average failure rate.
const FAILURE_WEIGHT: f64 = 0.12;

/// Backoff after the first time an endpoint was unreachable or closed a connection early.
const BACKOFF_MIN: Duration = Duration::from_millis(300);

/// Longest backoff.
const BACKOFF_MAX: Duration = Duration::from_millis(2_400);

/// Time for which an endpoint that had no slot to reserve is not chosen.
const FULL_TIME: Duration = Duration::from_millis(60);

/// Longest time for which such an endpoint is not chosen.
const FULL_TIME_MAX: Duration = Duration::from_millis(500);

/// Weight of a new observation in a service's average event interval.
const BASELINE_WEIGHT: f64 = 0.02;

/// Fewest events of an answer from which an interval is derived.
const EVENTS_MIN: u32 = 4;

/// A request that was sent to an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Time at which the request was sent.
    pub sent: Timestamp,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that the request may hold in the endpoint's memory, if they are counted.
    pub held: u64,
    /// The endpoint's incarnation that received the request.
    incarnation: u64,
    /// Prompt tokens pending at the endpoint when the request was sent, including its own.
    ahead: u64,
    started: bool,
    /// Work that the request's team is charged with.
    pub(in crate::direct) charge: Option<Charge>,
}

impl EndpointTable {
    /// Records that a request is sent which has a prompt of `prompt` tokens and may hold `held` tokens in
    /// the endpoint's memory. Returns `None` if the endpoint is unknown.
    pub fn record_send(&mut self, id: &str, prompt: u64, held: u64, now: Timestamp) -> Option<Run> {
        let state = self.endpoints.get_mut(id)?;
        state.own.running += 1;
        state.freed.take();
        state.own.pending += prompt;
        state.own.held += held;
        state.sends.record(now);
        state.last_sent = now;
        Some(Run {
            endpoint: Arc::clone(&state.record.id),
            sent: now,
            prompt,
            held,
            incarnation: state.incarnation,
            ahead: state.load().pending,
            started: false,
            charge: None,
        })
    }

    /// Returns the endpoint of a run, unless it has been replaced by another incarnation since.
    fn state_of(&mut self, run: &Run) -> Option<&mut EndpointState> {
        let state = self.endpoints.get_mut(&run.endpoint)?;
        (state.incarnation == run.incarnation).then_some(state)
    }

    /// Records the first byte of an answer and updates the latency models of the endpoint and its
    /// service.
    pub fn record_first_byte(&mut self, run: &mut Run, now: Timestamp) {
        if std::mem::replace(&mut run.started, true) {
            return;
        }
        let Some(state) = self.state_of(run) else {
            return;
        };
        state.own.pending = state.own.pending.saturating_sub(run.prompt);
        let millis = now.since(run.sent).as_secs_f64() * 1_000.0;
        state.latency.observe(run.ahead, millis);
        let service = Arc::clone(&state.record.service);
        let baseline = self.baselines.entry(Arc::clone(&service)).or_default();
        baseline.latency.observe(run.ahead, millis);
        if let Some(unobserved) = self.unobserved.get_mut(&service) {
            unobserved.remove(&run.endpoint);
            for id in &*unobserved {
                if let Some(other) = self.endpoints.get_mut(id) {
                    other.latency = baseline.latency(&other.event_interval);
                }
            }
        }
    }

    /// Records that a run was cancelled before its first byte. The endpoint's latency model learns of
    /// it if it took longer than expected.
    pub fn record_cancelled(&mut self, run: &Run, now: Timestamp) {
        let millis = now.since(run.sent).as_secs_f64() * 1_000.0;
        if run.started {
            return;
        }
        if let Some(state) = self.state_of(run) {
            state.latency.observe_at_least(run.ahead, millis);
        }
    }

    /// Records the end of a request at its endpoint.
    pub fn record_end(&mut self, run: &Run) {
        if let Some(state) = self.state_of(run) {
            state.own.running = state.own.running.saturating_sub(1);
            state.own.held = state.own.held.saturating_sub(run.held);
            if !run.started {
                state.own.pending = state.own.pending.saturating_sub(run.prompt);
            }
        }
    }

    /// Records the time from the first to the last of an answer's events so far.
    pub fn record_events(&mut self, run: &Run, events: u32, span: Duration) {
        if events < EVENTS_MIN {
            return;
        }
        let millis = span.as_secs_f64() * 1_000.0 / f64::from(events - 1);
        let Some(state) = self.state_of(run) else {
            return;
        };
        state.event_interval.observe(millis);
        let service = Arc::clone(&state.record.service);
        let baseline = self.baselines.entry(Arc::clone(&service)).or_default();
        let interval = baseline.interval.get_or_insert(millis);
        *interval += BASELINE_WEIGHT * (millis - *interval);
        let interval = *interval;
        for id in self.unobserved.get(&service).into_iter().flatten() {
            if let Some(other) = self.endpoints.get_mut(id) {
                other.event_interval.set_baseline(interval);
            }
        }
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, run: &Run) {
        if let Some(state) = self.state_of(run) {
            state.backoffs = 0;
            state.failure_rate -= FAILURE_WEIGHT * state.failure_rate;
        }
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, run: &Run) {
        if let Some(state) = self.state_of(run) {
            state.failure_rate += FAILURE_WEIGHT * (1.0 - state.failure_rate);
        }
    }

    /// Records that an endpoint had no slot to reserve. It is not chosen for [`FULL_TIME`], or until
    /// reports that are `lag` old show the load at this time.
    pub fn record_full(&mut self, run: &Run, lag: Duration, now: Timestamp) {
        if let Some(state) = self.state_of(run) {
            state.freed.clear();
            state.full_until = now + lag.clamp(FULL_TIME, FULL_TIME_MAX);
        }
    }

    /// Records that a request has left a slot that this entry may use again.
    pub fn record_freed(&mut self, run: &Run, now: Timestamp) {
        if let Some(state) = self.state_of(run) {
            state.freed.add(now);
        }
    }

    /// Keeps new requests away from an endpoint that was unreachable or closed a connection early.
    /// The backoff doubles with each repetition.
    pub fn back_off(&mut self, run: &Run, now: Timestamp) {
        if let Some(state) = self.state_of(run) {
            if state.is_avoided(now) {
                return;
            }
            let backoff = BACKOFF_MIN * 2_u32.saturating_pow(state.backoffs.min(4));
            state.backoffs += 1;
            state.avoided_until = now + backoff.min(BACKOFF_MAX);
        }
    }
}
