//! Commands from the entry's tasks to its control thread, and the state of that thread.

use std::collections::HashMap;

use comfreyhaven_core::entry::{Action, Arrival, Entry, Event, Loan, LoanRequest};
use comfreyhaven_core::{RequestId, Timestamp};
use comfreyhaven_process::control::Urgency;
use comfreyhaven_process::decisions::{DecisionLog, Step};
use comfreyhaven_process::query::Query;
use tokio::sync::{mpsc, oneshot};

use crate::describe;
use crate::metrics::Metrics;
use crate::peers::PeerMessage;

/// A message to the control thread.
pub(crate) enum Command {
    /// An event for the state machine.
    Event(Event),
    /// A new request, and the channel to which the actions on it are sent.
    Arrive(Box<Arrival>, mpsc::UnboundedSender<Action>),
    /// A peer's loan request, and the channel to which the answer is sent.
    Borrow(LoanRequest, oneshot::Sender<Option<Loan>>),
    /// A query about the process's state or decisions.
    Query(Query),
    /// The configuration was confirmed after the process had been suspended.
    Confirmed,
}

impl Command {
    /// Returns how the command is handled after the process was suspended.
    pub(crate) fn urgency(&self) -> Urgency {
        match self {
            Self::Event(Event::Configured(_) | Event::Leave) | Self::Query(_) => Urgency::Immediate,
            Self::Confirmed => Urgency::Confirmation,
            _ => Urgency::Deferred,
        }
    }
}

/// The state machine and the channels to the tasks that carry out its actions.
pub(crate) struct Control {
    entry: Entry,
    metrics: Metrics,
    decisions: DecisionLog,
    drivers: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
    messages: mpsc::UnboundedSender<PeerMessage>,
}

impl Control {
    /// Creates the state of the control thread. Messages to peers are sent to `messages`.
    pub(crate) fn new(
        entry: Entry,
        metrics: Metrics,
        messages: mpsc::UnboundedSender<PeerMessage>,
    ) -> Self {
        Self {
            entry,
            metrics,
            decisions: DecisionLog::default(),
            drivers: HashMap::new(),
            messages,
        }
    }

    /// Handles one command, or a wake-up if `command` is `None`. Returns the time of the next
    /// wake-up.
    pub(crate) fn step(&mut self, command: Option<Command>, now: Timestamp) -> Timestamp {
        match command {
            None => drop(self.decide(Event::Tick, now)),
            Some(Command::Event(event)) => drop(self.decide(event, now)),
            Some(Command::Arrive(arrival, driver)) => {
                self.drivers.insert(arrival.id, driver);
                self.decide(Event::Arrived(arrival), now);
            }
            Some(Command::Borrow(request, reply)) => {
                let loan = self.decide(Event::LoanRequested(Box::new(request)), now);
                let _ = reply.send(loan);
            }
            Some(Command::Query(query)) => self.answer(query, now),
            Some(Command::Confirmed) => {}
        }
        self.entry.wake()
    }

    fn answer(&self, query: Query, now: Timestamp) {
        // A failed send is ignored: the task that sent the query may have ended.
        match query {
            Query::State(reply) => {
                let state = serde_json::to_value(self.entry.state(now)).unwrap_or_default();
                let _ = reply.send(state);
            }
            Query::Explain(request, reply) => {
                let steps = self.decisions.steps(request).map(<[Step]>::to_vec);
                let _ = reply.send(steps);
            }
            Query::Idle(reply) => {
                let _ = reply.send(self.entry.is_idle());
            }
        }
    }

    /// Processes an event and forwards the resulting actions. Returns the loan granted to the peer
    /// if the event is a loan request.
    fn decide(&mut self, event: Event, now: Timestamp) -> Option<Loan> {
        let mut granted = None;
        if let Some((request, text)) = describe::event(&event) {
            self.decisions.record(request, now, text);
        }
        for action in self.entry.handle(event, now) {
            self.metrics.count(&action);
            if let (Some(request), Some(text)) = (action.request(), describe::action(&action)) {
                self.decisions.record(request, now, text);
            }
            match action {
                Action::Borrow(request) => drop(self.messages.send(PeerMessage::Borrow(*request))),
                Action::Warn { peer, warning } => {
                    let _ = self.messages.send(PeerMessage::Warning(peer, warning));
                }
                Action::Lend(loan) => granted = Some(loan),
                action => self.forward(action),
            }
        }
        granted
    }

    /// Forwards an action to the task of its request.
    fn forward(&mut self, action: Action) {
        let Some(request) = action.request() else {
            return;
        };
        let last = matches!(action, Action::Refuse { .. } | Action::Close(_));
        if let Some(driver) = self.drivers.get(&request) {
            let _ = driver.send(action);
        }
        if last {
            self.drivers.remove(&request);
        }
    }
}
