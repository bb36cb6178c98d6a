//! What the entry's tasks ask of its control thread.

use std::collections::HashMap;

use comfreyhaven_core::entry::{Action, Arrival, Entry, Event, Loan, LoanRequest};
use comfreyhaven_core::{RequestId, Timestamp};
use comfreyhaven_process::control::Urgency;
use comfreyhaven_process::decisions::{DecisionLog, Step};
use comfreyhaven_process::query::Query;
use tokio::sync::{mpsc, oneshot};

use crate::describe;
use crate::metrics::Metrics;
use crate::peers::Word;

/// A message to the control thread.
pub(crate) enum Command {
    /// An event.
    Event(Event),
    /// A new request, and where to send the actions on it.
    Arrive(Box<Arrival>, mpsc::UnboundedSender<Action>),
    /// A peer's wish to borrow, and where to send the answer.
    Borrow(LoanRequest, oneshot::Sender<Option<Loan>>),
    /// A question about the process.
    Query(Query),
    /// The configuration was confirmed after a pause.
    Confirmed,
}

impl Command {
    /// How the command is treated after a pause of the process.
    pub(crate) fn urgency(&self) -> Urgency {
        match self {
            Self::Event(Event::Configured(_) | Event::Leave) | Self::Query(_) => Urgency::Immediate,
            Self::Confirmed => Urgency::Confirmation,
            _ => Urgency::Deferred,
        }
    }
}

/// The state machine and the tasks that carry out its actions.
pub(crate) struct Control {
    entry: Entry,
    metrics: Metrics,
    decisions: DecisionLog,
    drivers: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
    words: mpsc::UnboundedSender<Word>,
}

impl Control {
    /// A control state whose words to peers go to `words`.
    pub(crate) fn new(entry: Entry, metrics: Metrics, words: mpsc::UnboundedSender<Word>) -> Self {
        Self {
            entry,
            metrics,
            decisions: DecisionLog::default(),
            drivers: HashMap::new(),
            words,
        }
    }

    /// Handles one command, or a wake-up, and tells when to be called next.
    pub(crate) fn step(&mut self, command: Option<Command>, now: Timestamp) -> Timestamp {
        match command {
            None => drop(self.decide(Event::Tick, now)),
            Some(Command::Event(event)) => drop(self.decide(event, now)),
            Some(Command::Arrive(arrival, driver)) => {
                self.drivers.insert(arrival.id, driver);
                self.decide(Event::Arrived(arrival), now);
            }
            Some(Command::Borrow(ask, reply)) => {
                let loan = self.decide(Event::LoanRequested(Box::new(ask)), now);
                let _ = reply.send(loan);
            }
            Some(Command::Query(query)) => self.answer(query, now),
            Some(Command::Confirmed) => {}
        }
        self.entry.wake()
    }

    fn answer(&self, query: Query, now: Timestamp) {
        // Whoever asked may be gone.
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

    /// Decides on an event and passes the actions on. Returns the loan that a peer is granted.
    fn decide(&mut self, event: Event, now: Timestamp) -> Option<Loan> {
        let mut granted = None;
        if let Some((request, what)) = describe::event(&event) {
            self.decisions.record(request, now, what);
        }
        for action in self.entry.handle(event, now) {
            self.metrics.count(&action);
            if let (Some(request), Some(what)) = (action.request(), describe::action(&action)) {
                self.decisions.record(request, now, what);
            }
            match action {
                Action::Borrow(ask) => drop(self.words.send(Word::Ask(*ask))),
                Action::Warn { peer, warning } => {
                    let _ = self.words.send(Word::Warning(peer, warning));
                }
                Action::Lend(loan) => granted = Some(loan),
                action => self.pass(action),
            }
        }
        granted
    }

    /// Gives an action to the task of its request.
    fn pass(&mut self, action: Action) {
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
