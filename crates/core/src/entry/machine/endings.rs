//! How dispatched requests end, and what becomes of requests that get no answer.

use super::super::message::{Action, Ending};
use super::super::pending::{Pending, Phase};
use super::{Entry, SHUN_TIME};
use crate::agent::RunStatus;
use crate::id::RequestId;
use crate::name::EndpointName;
use crate::refusal::{Execution, NotRunReason, Refusal, RefusalKind};
use crate::time::Timestamp;

impl Entry {
    pub(super) fn begin(&mut self, request: RequestId) {
        let pending = self.requests.get_mut(&request);
        if let Some(Phase::Dispatched { begun, .. }) = pending.map(|pending| &mut pending.phase) {
            *begun = true;
        }
    }

    pub(super) fn end(
        &mut self,
        request: RequestId,
        ending: Ending,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let Phase::Dispatched {
            endpoint,
            offer,
            begun,
        } = pending.phase.clone()
        else {
            return;
        };
        match ending {
            Ending::Whole { output } => self.complete(request, output, now, actions),
            Ending::NotRun(reason) => self.not_run(request, endpoint, reason, now, actions),
            Ending::NotSent => {
                self.not_run(request, endpoint, NotRunReason::EndpointDown, now, actions);
            }
            Ending::Failed => {
                self.suspect(request, now, actions);
                self.fail(request, Execution::InPart, actions);
            }
            Ending::Lost if begun => self.fail(request, Execution::InPart, actions),
            Ending::Lost => {
                pending.phase = Phase::Inquiring {
                    endpoint: endpoint.clone(),
                    offer,
                };
                actions.push(Action::Inquire {
                    request,
                    endpoint,
                    offer,
                });
            }
        }
    }

    fn complete(
        &mut self,
        request: RequestId,
        output: u32,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.forget(request) {
            let unused = pending.arrival.cost.output.saturating_sub(output);
            self.refund(&pending, u64::from(unused), now);
            self.clear(&pending, now, actions);
        }
        actions.push(Action::Close(request));
    }

    fn fail(&mut self, request: RequestId, execution: Execution, actions: &mut Vec<Action>) {
        let kind = match execution {
            Execution::Unknown => RefusalKind::OutcomeUnknown,
            Execution::NotRun | Execution::InPart | Execution::Complete => {
                RefusalKind::EndpointFailed
            }
        };
        self.forget(request);
        let refusal = Refusal::new(kind).with_execution(execution);
        actions.push(Action::Refuse { request, refusal });
    }

    /// Ends a dispatched request whose answer has not begun by its deadline. It may yet run, but its
    /// answer would be worthless.
    pub(super) fn give_up(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        self.forget(request);
        let refusal = Refusal::new(RefusalKind::DeadlineExceeded);
        let refusal = refusal.with_execution(Execution::Unknown);
        actions.push(Action::Refuse { request, refusal });
    }

    /// Binds a request again after the agent's word that nothing ran.
    fn not_run(
        &mut self,
        request: RequestId,
        endpoint: EndpointName,
        reason: NotRunReason,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(reason, NotRunReason::OfferVoid | NotRunReason::KeyUsed) {
            self.placement.shun(endpoint, now + SHUN_TIME);
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempt += 1;
            self.undispatched.insert(pending.rank());
            self.bind(request, now, actions);
        }
    }

    pub(super) fn inquired(
        &mut self,
        request: RequestId,
        status: Option<RunStatus>,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let pending = self.requests.get(&request);
        let Some(Phase::Inquiring { endpoint, .. }) = pending.map(|pending| pending.phase.clone())
        else {
            return;
        };
        match status {
            Some(RunStatus::NeverRuns) => {
                self.not_run(request, endpoint, NotRunReason::EndpointDown, now, actions);
            }
            Some(RunStatus::Running | RunStatus::Ran) => {
                self.fail(request, Execution::InPart, actions);
            }
            Some(RunStatus::Unknown) | None => self.fail(request, Execution::Unknown, actions),
        }
    }

    pub(super) fn caller_gone(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.forget(request) {
            self.take_back(pending, now, actions);
            actions.push(Action::Close(request));
        }
    }

    /// Ends a request that has not run: its tokens go back and its reservations are withdrawn.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.forget(request) {
            self.take_back(pending, now, actions);
        }
        actions.push(Action::Refuse { request, refusal });
    }

    /// Withdraws a request everywhere, and gives its tokens back unless its body has left.
    fn take_back(&mut self, pending: Pending, now: Timestamp, actions: &mut Vec<Action>) {
        if !pending.phase.is_dispatched() {
            self.refund(&pending, pending.arrival.cost.total(), now);
        }
        let id = pending.id();
        let withdraw = |endpoint| Action::Withdraw { endpoint, id };
        actions.extend(pending.waiting.into_iter().map(withdraw));
    }
}
