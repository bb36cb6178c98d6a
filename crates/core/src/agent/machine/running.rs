//! Admission of bodies to the endpoint, and the updates that follow from their runs.

use super::{Agent, Running};
use crate::agent::concurrency::LimitCause;
use crate::agent::estimate::{Completion, micros};
use crate::agent::history::RunStatus;
use crate::agent::message::{Action, RunEnd};
use crate::agent::queue::Charge;
use crate::id::{OfferId, RequestId};
use crate::refusal::{NotRunReason, ReturnReason};
use crate::time::Timestamp;

impl Agent {
    pub(super) fn claim(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.running.contains_key(&request) || self.history.has_run(request) {
            actions.push(Action::Close(offer));
            return;
        }
        match self.admit(offer, request, now) {
            Ok(running) => {
                self.running.insert(request, running);
                actions.push(Action::Run(offer));
                self.withdraw_attempts(request, actions);
            }
            Err(reason) => {
                self.rejections.count(reason);
                actions.push(Action::Reject { offer, reason });
            }
        }
    }

    fn admit(
        &mut self,
        offer: OfferId,
        request: RequestId,
        now: Timestamp,
    ) -> Result<Running, NotRunReason> {
        let pending = self
            .offers
            .claim(offer, request, now)
            .ok_or(NotRunReason::OfferVoid)?;
        match self.unavailable_reason() {
            Some(ReturnReason::EndpointDown) => return Err(NotRunReason::EndpointDown),
            Some(_) => return Err(NotRunReason::Leaving),
            None => {}
        }
        if self.unverified {
            return Err(NotRunReason::EndpointDown);
        }
        if now >= pending.deadline {
            return Err(NotRunReason::Late);
        }
        if self.check_key(&pending.reservation, now).is_err() {
            return Err(NotRunReason::KeyUsed);
        }
        if let Some(key) = pending.reservation.call {
            self.keys.record_start(key, request, now);
        }
        Ok(Running {
            offer,
            reservation: pending.reservation,
            class: pending.class,
            started: now,
            first_token: None,
            progress: (now, 0),
        })
    }

    /// Returns the status of a request. If the body for the offer has not arrived, the offer is
    /// voided, so that a body still on its way is rejected.
    pub(super) fn status_for(&mut self, offer: OfferId, request: RequestId) -> RunStatus {
        if self.running.contains_key(&request) {
            return RunStatus::Running;
        }
        if self.history.has_run(request) {
            return RunStatus::Ran;
        }
        if !self.offers.was_created(offer) || !self.history.covers(offer.sequence) {
            return RunStatus::Unknown;
        }
        self.offers.void(offer);
        RunStatus::NeverRuns
    }

    pub(super) fn first_token(&mut self, request: RequestId, now: Timestamp) {
        let Some(run) = self.running.get_mut(&request) else {
            return;
        };
        if run.first_token.is_some() {
            return;
        }
        run.first_token = Some(now);
        run.progress = (now, 0);
        let prompt = run.reservation.cost.prompt;
        if let Some(limiter) = &mut self.limiter {
            limiter.on_first_token(now.since(run.started), prompt);
        }
    }

    /// Records the number of tokens received after the first one.
    pub(super) fn progress(&mut self, request: RequestId, tokens: u32, now: Timestamp) {
        let Some(run) = self.running.get_mut(&request) else {
            return;
        };
        let (since, earlier) = run.progress;
        let received = tokens.saturating_sub(earlier);
        if run.first_token.is_none() || received == 0 {
            return;
        }
        run.progress = (now, tokens);
        if let Some(limiter) = &mut self.limiter {
            limiter.on_token_gap(now.since(since) / received);
        }
    }

    pub(super) fn finish(&mut self, request: RequestId, end: RunEnd, now: Timestamp) {
        let Some(run) = self.running.remove(&request) else {
            return;
        };
        let ran = !matches!(end, RunEnd::NotRun(_));
        if ran {
            self.history.record(request, run.offer.sequence, now);
        }
        if let Some(key) = run.reservation.call {
            self.keys.record_end(key, request, end, now);
        }
        self.correct_charge(&run, end);
        match end {
            RunEnd::Whole { output, .. } => self.record_completion(&run, output, now),
            RunEnd::Broken => {
                self.unverified = true;
                self.reset_limit(LimitCause::Broken);
            }
            RunEnd::NotRun(NotRunReason::EndpointFull) => self.reset_limit(LimitCause::Refused),
            RunEnd::NotRun(NotRunReason::EndpointDown) => self.reset_limit(LimitCause::Unreachable),
            RunEnd::NotRun(_) | RunEnd::Cancelled => {}
        }
    }

    pub(super) fn reset_limit(&mut self, cause: LimitCause) {
        if let Some(limiter) = &mut self.limiter {
            limiter.reset_to_cold(cause);
        }
    }

    /// Replaces the team's charge for the expected tokens by the tokens that the run used.
    fn correct_charge(&mut self, run: &Running, end: RunEnd) {
        let used = match end {
            RunEnd::Whole { output, prefill } => u64::from(output) + u64::from(prefill),
            RunEnd::NotRun(_) => 0,
            RunEnd::Cancelled | RunEnd::Broken => return,
        };
        let (tier, team) = (run.reservation.tier, &run.reservation.team);
        let expected = run.reservation.cost.total();
        let weight = self.weight(team);
        self.queue
            .correct(tier, team, weight, Charge { expected, used });
    }

    fn record_completion(&mut self, run: &Running, output: u32, now: Timestamp) {
        let first = run.first_token.unwrap_or(now);
        let completion = Completion {
            cost: run.reservation.cost,
            first_token: first.since(run.started),
            decode: now.since(first),
            output,
        };
        self.estimator.observe(&run.reservation.route, completion);
        self.run_time.observe(micros(now.since(run.started)), 1);
        let Some(limiter) = &mut self.limiter else {
            return;
        };
        if output > 1 {
            limiter.on_token_gap(completion.decode / (output - 1));
        }
        limiter.on_completion();
    }
}
