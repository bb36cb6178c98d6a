//! What the agent's tasks ask of its control thread.

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

/// What becomes of a body.
pub(crate) enum Verdict {
    /// It runs.
    Run,
    /// It does not run, and the entry is told so.
    NotRun(NotRunReason),
    /// Nothing can be said of it: its connection closes without an answer.
    Close,
}

/// A message to the control thread.
pub(crate) enum Command {
    /// An event that nobody waits on.
    Event(Event),
    /// A reservation, answered when it leaves the queue.
    Reserve {
        reservation: Reservation,
        reply: oneshot::Sender<ReserveReply>,
    },
    /// A body under an offer, answered whether it runs.
    Claim {
        offer: OfferId,
        request: RequestId,
        reply: oneshot::Sender<Verdict>,
    },
    /// An inquiry.
    Inquire {
        offer: OfferId,
        request: RequestId,
        reply: oneshot::Sender<RunStatus>,
    },
    /// A question about the process.
    Query(Query),
    /// The configuration was confirmed after a pause.
    Confirmed,
}

impl Command {
    /// How the command is treated after a pause of the process.
    pub(crate) fn urgency(&self) -> Urgency {
        match self {
            Self::Event(Event::Configured(_) | Event::Leave | Event::HostLeaving(_))
            | Self::Query(_) => Urgency::Immediate,
            Self::Confirmed => Urgency::Confirmation,
            _ => Urgency::Deferred,
        }
    }
}

/// The state machine and the tasks that wait for its actions.
pub(crate) struct Control {
    agent: Agent,
    metrics: Metrics,
    decisions: DecisionLog,
    reservations: HashMap<ReservationId, oneshot::Sender<ReserveReply>>,
    claims: HashMap<OfferId, oneshot::Sender<Verdict>>,
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

    /// Handles one command, or a wake-up, and tells when to be called next.
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
        // Whoever asked may be gone.
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
        if let Some((request, what)) = subject {
            self.decisions.record(request, now, what);
        }
        for action in self.agent.handle(event, now) {
            self.metrics.count(&action);
            let (named, what) = describe::action(&action);
            if let Some(request) = named.or(request) {
                self.decisions.record(request, now, what);
            }
            self.perform(action);
        }
    }

    /// Answers the task that waits for an action. A task that is gone needs no answer: the event
    /// that follows from its end undoes what was decided for it.
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
            Action::Run(offer) => self.answer_claim(offer, Verdict::Run),
            Action::Reject { offer, reason } => self.answer_claim(offer, Verdict::NotRun(reason)),
            Action::Close(offer) => self.answer_claim(offer, Verdict::Close),
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

    fn answer_claim(&mut self, offer: OfferId, answer: Verdict) {
        if let Some(reply) = self.claims.remove(&offer) {
            let _ = reply.send(answer);
        }
    }
}
