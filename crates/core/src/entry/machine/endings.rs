//! Ends of requests: completed and failed runs, inquiries after lost connections, and requests that
//! are refused or whose caller disconnects.

use super::super::message::{Action, Ending};
use super::super::pending::{Pending, Phase};
use super::{AVOIDANCE_TIME, Entry};
use crate::agent::RunStatus;
use crate::id::RequestId;
use crate::name::EndpointName;
use crate::refusal::{Execution, NotRunReason, Refusal, RefusalKind};
use crate::time::Timestamp;

impl Entry {
    pub(super) fn handle_answer_start(&mut self, request: RequestId) {
        let pending = self.requests.get_mut(&request);
        if let Some(Phase::Dispatched { answering, .. }) = pending.map(|pending| &mut pending.phase)
        {
            *answering = true;
        }
    }

    pub(super) fn handle_end(
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
            answering,
        } = pending.phase.clone()
        else {
            return;
        };
        match ending {
            Ending::Whole { output } => self.complete(request, output, now, actions),
            Ending::NotRun(reason) => self.rebind(request, endpoint, reason, now, actions),
            Ending::NotSent => {
                self.rebind(request, endpoint, NotRunReason::EndpointDown, now, actions);
            }
            Ending::Failed => {
                self.record_crash(request, now, actions);
                self.fail(request, Execution::InPart, actions);
            }
            Ending::Lost if answering => self.fail(request, Execution::InPart, actions),
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
        if let Some(pending) = self.remove(request) {
            let unused = pending.arrival.cost.output.saturating_sub(output);
            self.refund(&pending, u64::from(unused), now);
            self.clear_suspect(&pending, now, actions);
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
        self.remove(request);
        let refusal = Refusal::new(kind).with_execution(execution);
        actions.push(Action::Refuse { request, refusal });
    }

    /// Ends a dispatched request whose answer has not started by its deadline. The request may
    /// still run, but its answer would be useless to the caller.
    pub(super) fn expire(&mut self, request: RequestId, actions: &mut Vec<Action>) {
        self.remove(request);
        let refusal = Refusal::new(RefusalKind::DeadlineExceeded);
        let refusal = refusal.with_execution(Execution::Unknown);
        actions.push(Action::Refuse { request, refusal });
    }

    /// Starts another attempt to bind a request after the agent has reported that it did not run.
    fn rebind(
        &mut self,
        request: RequestId,
        endpoint: EndpointName,
        reason: NotRunReason,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(reason, NotRunReason::OfferVoid | NotRunReason::KeyUsed) {
            self.placement.avoid(endpoint, now + AVOIDANCE_TIME);
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempt += 1;
            self.undispatched.insert(pending.shed_key());
            self.bind(request, now, actions);
        }
    }

    pub(super) fn handle_inquiry(
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
                self.rebind(request, endpoint, NotRunReason::EndpointDown, now, actions);
            }
            Some(RunStatus::Running | RunStatus::Ran) => {
                self.fail(request, Execution::InPart, actions);
            }
            Some(RunStatus::Unknown) | None => self.fail(request, Execution::Unknown, actions),
        }
    }

    pub(super) fn handle_disconnect(
        &mut self,
        request: RequestId,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.remove(request) {
            self.withdraw_all(pending, now, actions);
            actions.push(Action::Close(request));
        }
    }

    /// Refuses a request that has not run: refunds its tokens and withdraws its reservations.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(pending) = self.remove(request) {
            self.withdraw_all(pending, now, actions);
        }
        actions.push(Action::Refuse { request, refusal });
    }

    /// Withdraws all reservations of a request, and refunds its tokens unless its body may have
    /// been sent.
    fn withdraw_all(&mut self, pending: Pending, now: Timestamp, actions: &mut Vec<Action>) {
        if !pending.phase.is_dispatched() {
            self.refund(&pending, pending.arrival.cost.total(), now);
        }
        let id = pending.id();
        let withdraw = |endpoint| Action::Withdraw { endpoint, id };
        actions.extend(pending.reserved.into_iter().map(withdraw));
    }
}
