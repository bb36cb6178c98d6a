//! The task of one request, which carries out the control thread's decisions on the request.

use comfreyhaven_core::entry::{Action, Ending, Event};
use comfreyhaven_core::refusal::Refusal;
use comfreyhaven_core::{EndpointName, OfferId, RequestId, Reservation, ReservationId};
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_wire::service::ReserveReply;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::agents::Agents;
use crate::caller::Caller;
use crate::command::Command;
use crate::relay::{self, RelayEnd};
use crate::request_parser::ParsedRequest;

/// One request, its caller and the calls to agents in progress for it.
pub(crate) struct Driver {
    parsed: ParsedRequest,
    caller: Caller,
    agents: Agents,
    mailbox: Mailbox<Command>,
    actions: mpsc::UnboundedReceiver<Action>,
    /// Reservation calls that wait for an offer. They are aborted when the request ends.
    reservations: JoinSet<()>,
    /// Withdrawals and releases, which are completed even after the request has ended.
    calls: JoinSet<()>,
}

impl Driver {
    /// Registers the request with the control thread.
    pub(crate) fn new(
        parsed: ParsedRequest,
        caller: Caller,
        agents: Agents,
        mailbox: Mailbox<Command>,
    ) -> Self {
        let (sender, actions) = mpsc::unbounded_channel();
        let _ = mailbox.send(Command::Arrive(Box::new(parsed.arrival.clone()), sender));
        Self {
            parsed,
            caller,
            agents,
            mailbox,
            actions,
            reservations: JoinSet::new(),
            calls: JoinSet::new(),
        }
    }

    /// Runs until the request has ended, and joins every call made for it.
    pub(crate) async fn run(mut self) {
        let mut disconnected = false;
        loop {
            let action = tokio::select! {
                action = self.actions.recv() => action,
                () = self.caller.disconnected(), if !disconnected => {
                    disconnected = true;
                    self.notify(Event::CallerDisconnected(self.request()));
                    continue;
                }
                Some(_) = self.reservations.join_next() => continue,
                Some(_) = self.calls.join_next() => continue,
            };
            let Some(action) = action else { break };
            if self.perform(action).await {
                break;
            }
        }
        self.reservations.shutdown().await;
        while self.calls.join_next().await.is_some() {}
    }

    fn request(&self) -> RequestId {
        self.parsed.arrival.id
    }

    fn notify(&self, event: Event) {
        let _ = self.mailbox.send(Command::Event(event));
    }

    /// Carries out one action. Returns whether the request has ended.
    async fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Reserve {
                endpoint,
                reservation,
            } => self.reserve(endpoint, *reservation),
            Action::Withdraw { endpoint, id } => {
                withdraw(&mut self.calls, &self.agents, endpoint, id);
            }
            Action::Release {
                endpoint, offer, ..
            } => release(&mut self.calls, &self.agents, endpoint, offer),
            Action::Dispatch {
                endpoint, offer, ..
            } => return self.dispatch(&endpoint, offer).await,
            Action::Inquire {
                endpoint, offer, ..
            } => self.inquire(&endpoint, offer).await,
            Action::Refuse { refusal, .. } => {
                self.refuse(&refusal).await;
                return true;
            }
            Action::Close(_) => return true,
            Action::Borrow(_) | Action::Lend(_) | Action::Warn { .. } => {}
        }
        false
    }

    fn reserve(&mut self, endpoint: EndpointName, reservation: Reservation) {
        let (agents, mailbox) = (self.agents.clone(), self.mailbox.clone());
        self.reservations.spawn(async move {
            let (id, team) = (reservation.id, reservation.team.clone());
            let event = match agents.reserve(&endpoint, reservation).await {
                Ok(ReserveReply::Offered { offer, .. }) => Event::Offered {
                    id,
                    endpoint,
                    offer,
                },
                Ok(ReserveReply::Returned(reason)) => Event::Returned {
                    id,
                    endpoint,
                    reason,
                },
                Err(error) => {
                    log::info!(request:% = id.request, team:% = team; "{endpoint}: {error}");
                    Event::Unreachable { id, endpoint }
                }
            };
            let _ = mailbox.send(Command::Event(event));
        });
    }

    async fn refuse(&mut self, refusal: &Refusal) {
        log::info!(request:% = self.request(), team:% = self.parsed.team; "refused: {refusal}");
        self.caller.refuse(refusal).await;
    }

    /// Sends the body and forwards the answer, unless the control thread ends the request first.
    /// Returns whether the request has ended.
    async fn dispatch(&mut self, endpoint: &EndpointName, offer: OfferId) -> bool {
        let (agents, calls) = (&self.agents, &mut self.calls);
        let (parsed, mailbox, caller) = (&self.parsed, &self.mailbox, &mut self.caller);
        let mut relaying = Box::pin(relay::run(parsed, endpoint, offer, agents, mailbox, caller));
        let ended = loop {
            let action = tokio::select! {
                end = &mut relaying => break Err(end),
                action = self.actions.recv() => action,
            };
            match action {
                Some(Action::Withdraw { endpoint, id }) => withdraw(calls, agents, endpoint, id),
                Some(Action::Release {
                    endpoint, offer, ..
                }) => release(calls, agents, endpoint, offer),
                Some(Action::Refuse { refusal, .. }) => break Ok(Some(refusal)),
                Some(Action::Close(_)) | None => break Ok(None),
                Some(_) => {}
            }
        };
        drop(relaying);
        match ended {
            Err(end) => {
                self.finish_relay(endpoint, end);
                return false;
            }
            Ok(Some(refusal)) => self.refuse(&refusal).await,
            Ok(None) => {}
        }
        true
    }

    fn finish_relay(&mut self, endpoint: &EndpointName, end: RelayEnd) {
        let request = self.request();
        match end {
            RelayEnd::CallerDisconnected => self.notify(Event::CallerDisconnected(request)),
            RelayEnd::Ended(ending) => {
                if let Ending::Whole { .. } = ending {
                    self.caller.finish();
                }
                log::info!(request:% = request, team:% = self.parsed.team; "run ended at {endpoint}: {ending:?}");
                self.notify(Event::Ended { request, ending });
            }
        }
    }

    async fn inquire(&mut self, endpoint: &EndpointName, offer: OfferId) {
        let request = self.request();
        let status = self.agents.inquire(endpoint, request, offer).await.ok();
        self.notify(Event::Inquired { request, status });
    }
}

fn withdraw(calls: &mut JoinSet<()>, agents: &Agents, endpoint: EndpointName, id: ReservationId) {
    let agents = agents.clone();
    calls.spawn(async move { drop(agents.withdraw(&endpoint, id).await) });
}

fn release(calls: &mut JoinSet<()>, agents: &Agents, endpoint: EndpointName, offer: OfferId) {
    let agents = agents.clone();
    calls.spawn(async move { drop(agents.release(&endpoint, offer).await) });
}
