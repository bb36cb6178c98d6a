//! Commands from the agent's tasks to its control thread, and the state of that thread.

use std::collections::HashMap;

use comfreyhaven_core::agent::{Action, Agent, Event, RunStatus};
use comfreyhaven_core::refusal::{NotRunReason, ReturnReason};
use comfreyhaven_core::{OfferId, RequestId, Reservation, ReservationId, Timestamp};
use comfreyhaven_process::control::Urgency;
use comfreyhaven_process::decisions::{DecisionLog, Step};
use comfreyhaven_process::query::Query;
use comfreyhaven_wire::service::ReserveReply;
use tokio::sync::oneshot;

use crate::describe;
use crate::metrics::Metrics;

/// Decision on a body that arrived under an offer.
pub(crate) enum BodyReply {
    Run,
    /// The body does not run, and the entry receives the reason.
    NotRun(NotRunReason),
    /// The body's connection closes without an answer, because the request runs or ran under
    /// another copy of the body and any status sent for this copy would be wrong.
    Close,
}

/// A message to the control thread.
pub(crate) enum Command {
    /// An event for the state machine, without a reply.
    Event(Event),
    /// A reservation. The reply is sent when the reservation leaves the queue.
    Reserve {
        reservation: Reservation,
        reply: oneshot::Sender<ReserveReply>,
    },
    /// A body that arrived under an offer. The reply is the decision on it.
    Claim {
        offer: OfferId,
        request: RequestId,
        reply: oneshot::Sender<BodyReply>,
    },
    /// An inquiry about a request. The reply is the request's status.
    Inquire {
        offer: OfferId,
        request: RequestId,
        reply: oneshot::Sender<RunStatus>,
    },
    /// A query about the process's state or decisions.
    Query(Query),
    /// The configuration was confirmed after the process had been suspended.
    Confirmed,
}

impl Command {
    /// Returns how the command is handled after the process was suspended.
    pub(crate) fn urgency(&self) -> Urgency {
        match self {
            Self::Event(Event::Configured(_) | Event::Leave | Event::HostLeaving(_))
            | Self::Query(_) => Urgency::Immediate,
            Self::Confirmed => Urgency::Confirmation,
            _ => Urgency::Deferred,
        }
    }
}

/// The state machine and the reply channels of the tasks that wait for its actions.
pub(crate) struct Control {
    agent: Agent,
    metrics: Metrics,
    decisions: DecisionLog,
    reservations: HashMap<ReservationId, oneshot::Sender<ReserveReply>>,
    claims: HashMap<OfferId, oneshot::Sender<BodyReply>>,
    inquiries: HashMap<RequestId, Vec<oneshot::Sender<RunStatus>>>,
}

impl Control {
    pub(crate) fn new(agent: Agent, metrics: Metrics) -> Self {
        Self {
            agent,
            metrics,
            decisions: DecisionLog::default(),
            reservations: HashMap::new(),
            claims: HashMap::new(),
            inquiries: HashMap::new(),
        }
    }

    /// Handles one command, or a wake-up if `command` is `None`. Returns the time of the next
    /// wake-up.
    pub(crate) fn step(&mut self, command: Option<Command>, now: Timestamp) -> Timestamp {
        match command {
            None => self.decide(Event::Tick, now),
            Some(Command::Event(event)) => self.decide(event, now),
            Some(Command::Reserve { reservation, reply }) => {
                self.reservations.insert(reservation.id, reply);
                self.decide(Event::Reserve(reservation), now);
            }
            Some(Command::Claim {
                offer,
                request,
                reply,
            }) => {
                self.claims.insert(offer, reply);
                self.decide(Event::Claim { offer, request }, now);
            }
            Some(Command::Inquire {
                offer,
                request,
                reply,
            }) => {
                self.inquiries.entry(request).or_default().push(reply);
                self.decide(Event::Inquire { offer, request }, now);
            }
            Some(Command::Query(query)) => self.answer(query),
            Some(Command::Confirmed) => {}
        }
        self.agent.wake()
    }

    fn answer(&self, query: Query) {
        // A failed send is ignored: the task that sent the query may have ended.
        match query {
            Query::State(reply) => {
                let state = serde_json::to_value(self.agent.state()).unwrap_or_default();
                let _ = reply.send(state);
            }
            Query::Explain(request, reply) => {
                let steps = self.decisions.steps(request).map(<[Step]>::to_vec);
                let _ = reply.send(steps);
            }
            Query::Idle(reply) => {
                let _ = reply.send(self.agent.is_idle());
            }
        }
    }

    fn decide(&mut self, event: Event, now: Timestamp) {
        let subject = describe::event(&event);
        let request = subject.as_ref().map(|(request, _)| *request);
        if let Some((request, text)) = subject {
            self.decisions.record(request, now, text);
        }
        for action in self.agent.handle(event, now) {
            self.metrics.count(&action);
            let (named, text) = describe::action(&action);
            if let Some(request) = named.or(request) {
                self.decisions.record(request, now, text);
            }
            self.perform(action);
        }
    }

    /// Sends an action to the task that waits for it. A failed send is ignored: if the task has
    /// ended, an event that follows from its end reverts the decision.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Offer {
                id,
                offer,
                lifetime,
            } => {
                self.answer_reservation(id, ReserveReply::Offered { offer, lifetime });
            }
            Action::Return { id, reason } => self.return_reservation(id, reason),
            Action::Run(offer) => self.answer_claim(offer, BodyReply::Run),
            Action::Reject { offer, reason } => self.answer_claim(offer, BodyReply::NotRun(reason)),
            Action::Close(offer) => self.answer_claim(offer, BodyReply::Close),
            Action::Report { request, status } => {
                for reply in self.inquiries.remove(&request).unwrap_or_default() {
                    let _ = reply.send(status);
                }
            }
        }
    }

    fn return_reservation(&mut self, id: ReservationId, reason: ReturnReason) {
        self.answer_reservation(id, ReserveReply::Returned(reason));
    }

    fn answer_reservation(&mut self, id: ReservationId, answer: ReserveReply) {
        if let Some(reply) = self.reservations.remove(&id) {
            let _ = reply.send(answer);
        }
    }

    fn answer_claim(&mut self, offer: OfferId, answer: BodyReply) {
        if let Some(reply) = self.claims.remove(&offer) {
            let _ = reply.send(answer);
        }
    }
}
