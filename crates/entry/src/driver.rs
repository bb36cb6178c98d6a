//! The task of one request: carries out the control thread's decisions on it.

use comfreyhaven_core::entry::{Action, Ending, Event};
use comfreyhaven_core::refusal::Refusal;
use comfreyhaven_core::{EndpointName, OfferId, RequestId, Reservation, ReservationId};
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_wire::service::ReserveReply;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::caller::Caller;
use crate::command::Command;
use crate::intake::Intake;
use crate::links::Links;
use crate::relay::{self, Relayed};

/// One request, its caller and the calls to agents that are under way for it.
pub(crate) struct Driver {
    intake: Intake,
    caller: Caller,
    links: Links,
    mailbox: Mailbox<Command>,
    actions: mpsc::UnboundedReceiver<Action>,
    /// Reservations that wait. They end with the request.
    reservations: JoinSet<()>,
    /// Withdrawals and releases, which are made even when the request is over.
    calls: JoinSet<()>,
}

impl Driver {
    /// Announces a request to the control thread.
    pub(crate) fn new(
        intake: Intake,
        caller: Caller,
        links: Links,
        mailbox: Mailbox<Command>,
    ) -> Self {
        let (sender, actions) = mpsc::unbounded_channel();
        let _ = mailbox.send(Command::Arrive(Box::new(intake.arrival.clone()), sender));
        Self {
            intake,
            caller,
            links,
            mailbox,
            actions,
            reservations: JoinSet::new(),
            calls: JoinSet::new(),
        }
    }

    /// Runs until the request is over, and joins every call made for it.
    pub(crate) async fn run(mut self) {
        let mut gone = false;
        loop {
            let action = tokio::select! {
                action = self.actions.recv() => action,
                () = self.caller.gone(), if !gone => {
                    gone = true;
                    self.tell(Event::CallerDisconnected(self.request()));
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
        self.intake.arrival.id
    }

    fn tell(&self, event: Event) {
        let _ = self.mailbox.send(Command::Event(event));
    }

    /// Carries out one action. Tells whether the request is over.
    async fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Reserve {
                endpoint,
                reservation,
            } => self.reserve(endpoint, *reservation),
            Action::Withdraw { endpoint, id } => {
                withdraw(&mut self.calls, &self.links, endpoint, id);
            }
            Action::Release {
                endpoint, offer, ..
            } => release(&mut self.calls, &self.links, endpoint, offer),
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
        let (links, mailbox) = (self.links.clone(), self.mailbox.clone());
        self.reservations.spawn(async move {
            let (id, team) = (reservation.id, reservation.team.clone());
            let event = match links.reserve(&endpoint, reservation).await {
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
        log::info!(request:% = self.request(), team:% = self.intake.team; "refused: {refusal}");
        self.caller.refuse(refusal).await;
    }

    /// Sends the body and passes the answer on, unless the request is ended first. Tells whether the
    /// request is over.
    async fn dispatch(&mut self, endpoint: &EndpointName, offer: OfferId) -> bool {
        let (links, calls) = (&self.links, &mut self.calls);
        let (intake, mailbox, caller) = (&self.intake, &self.mailbox, &mut self.caller);
        let mut relaying = Box::pin(relay::run(intake, endpoint, offer, links, mailbox, caller));
        let ended = loop {
            let action = tokio::select! {
                relayed = &mut relaying => break Err(relayed),
                action = self.actions.recv() => action,
            };
            match action {
                Some(Action::Withdraw { endpoint, id }) => withdraw(calls, links, endpoint, id),
                Some(Action::Release {
                    endpoint, offer, ..
                }) => release(calls, links, endpoint, offer),
                Some(Action::Refuse { refusal, .. }) => break Ok(Some(refusal)),
                Some(Action::Close(_)) | None => break Ok(None),
                Some(_) => {}
            }
        };
        drop(relaying);
        match ended {
            Err(relayed) => {
                self.relayed(endpoint, relayed);
                return false;
            }
            Ok(Some(refusal)) => self.refuse(&refusal).await,
            Ok(None) => {}
        }
        true
    }

    fn relayed(&mut self, endpoint: &EndpointName, relayed: Relayed) {
        let request = self.request();
        match relayed {
            Relayed::CallerGone => self.tell(Event::CallerDisconnected(request)),
            Relayed::Ended(ending) => {
                if let Ending::Whole { .. } = ending {
                    self.caller.finish();
                }
                log::info!(request:% = request, team:% = self.intake.team; "ended at {endpoint}: {ending:?}");
                self.tell(Event::Ended { request, ending });
            }
        }
    }

    async fn inquire(&mut self, endpoint: &EndpointName, offer: OfferId) {
        let request = self.request();
        let status = self.links.inquire(endpoint, request, offer).await.ok();
        self.tell(Event::Inquired { request, status });
    }
}

fn withdraw(calls: &mut JoinSet<()>, links: &Links, endpoint: EndpointName, id: ReservationId) {
    let links = links.clone();
    calls.spawn(async move { drop(links.withdraw(&endpoint, id).await) });
}

fn release(calls: &mut JoinSet<()>, links: &Links, endpoint: EndpointName, offer: OfferId) {
    let links = links.clone();
    calls.spawn(async move { drop(links.release(&endpoint, offer).await) });
}
