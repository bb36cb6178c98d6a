//! Which bodies run, and what their runs teach.

use super::{Agent, Running};
use crate::agent::estimate::{Completion, micros};
use crate::agent::history::RunStatus;
use crate::agent::message::{Action, RunEnd};
use crate::agent::queue::Charge;
use crate::agent::slots::LimitCause;
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
                self.drop_attempts(request, actions);
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
            .take(offer, request, now)
            .ok_or(NotRunReason::OfferVoid)?;
        match self.closed() {
            Some(ReturnReason::EndpointDown) => return Err(NotRunReason::EndpointDown),
            Some(_) => return Err(NotRunReason::Leaving),
            None => {}
        }
        if self.doubtful {
            return Err(NotRunReason::EndpointDown);
        }
        if now >= pending.deadline {
            return Err(NotRunReason::Late);
        }
        if self.check_key(&pending.reservation, now).is_err() {
            return Err(NotRunReason::KeyUsed);
        }
        if let Some(key) = pending.reservation.call {
            self.keys.begin(key, request, now);
        }
        Ok(Running {
            offer,
            reservation: pending.reservation,
            class: pending.class,
            started: now,
            first: None,
            progress: (now, 0),
        })
    }

    /// What became of a request. An offer whose body has not come is void from now on, so that a
    /// body still under way is refused.
    pub(super) fn status_for(&mut self, offer: OfferId, request: RequestId) -> RunStatus {
        if self.running.contains_key(&request) {
            return RunStatus::Running;
        }
        if self.history.has_run(request) {
            return RunStatus::Ran;
        }
        if !self.offers.has_made(offer) || !self.history.covers(offer.sequence) {
            return RunStatus::Unknown;
        }
        self.offers.void(offer);
        RunStatus::NeverRuns
    }

    pub(super) fn first_token(&mut self, request: RequestId, now: Timestamp) {
        let Some(run) = self.running.get_mut(&request) else {
            return;
        };
        if run.first.is_some() {
            return;
        }
        run.first = Some(now);
        run.progress = (now, 0);
        let prompt = run.reservation.cost.prompt;
        if let Some(slots) = &mut self.slots {
            slots.on_first_token(now.since(run.started), prompt);
        }
    }

    /// Takes the number of tokens that came since the first one.
    pub(super) fn progress(&mut self, request: RequestId, tokens: u32, now: Timestamp) {
        let Some(run) = self.running.get_mut(&request) else {
            return;
        };
        let (since, earlier) = run.progress;
        let fresh = tokens.saturating_sub(earlier);
        if run.first.is_none() || fresh == 0 {
            return;
        }
        run.progress = (now, tokens);
        if let Some(slots) = &mut self.slots {
            slots.on_gap(now.since(since) / fresh);
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
            self.keys.end(key, request, end, now);
        }
        self.correct(&run, end);
        match end {
            RunEnd::Whole { output, .. } => self.learn(&run, output, now),
            RunEnd::Broken => {
                self.doubtful = true;
                self.cool(LimitCause::Broken);
            }
            RunEnd::NotRun(NotRunReason::EndpointFull) => self.cool(LimitCause::Refused),
            RunEnd::NotRun(NotRunReason::EndpointDown) => self.cool(LimitCause::Unreachable),
            RunEnd::NotRun(_) | RunEnd::Cancelled => {}
        }
    }

    pub(super) fn cool(&mut self, cause: LimitCause) {
        if let Some(slots) = &mut self.slots {
            slots.cool(cause);
        }
    }

    /// Charges the team what the run used, in place of what was expected.
    fn correct(&mut self, run: &Running, end: RunEnd) {
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

    fn learn(&mut self, run: &Running, output: u32, now: Timestamp) {
        let first = run.first.unwrap_or(now);
        let completion = Completion {
            cost: run.reservation.cost,
            first: first.since(run.started),
            rest: now.since(first),
            output,
        };
        self.estimator.observe(&run.reservation.route, completion);
        self.served.observe(micros(now.since(run.started)), 1);
        let Some(slots) = &mut self.slots else { return };
        if output > 1 {
            slots.on_gap(completion.rest / (output - 1));
        }
        slots.on_whole();
    }
}
