//! What the entry's tasks ask of its control thread.

use std::collections::HashMap;

use comfreyhaven_core::entry::{Action, Arrival, Entry, Event};
use comfreyhaven_core::{RequestId, Timestamp};
use comfreyhaven_process::control::Urgency;
use tokio::sync::{mpsc, oneshot};

use crate::metrics::Metrics;

/// A message to the control thread.
pub(crate) enum Command {
    /// An event.
    Event(Event),
    /// A new request, and where to send the actions on it.
    Arrive(Box<Arrival>, mpsc::UnboundedSender<Action>),
    /// A wish for the state.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Whether no request is owned.
    Idle(oneshot::Sender<bool>),
    /// The configuration was confirmed after a pause.
    Confirmed,
}

impl Command {
    /// How the command is treated after a pause of the process.
    pub(crate) fn urgency(&self) -> Urgency {
        match self {
            Self::Event(Event::Configured(_) | Event::Leave) | Self::Dump(_) | Self::Idle(_) => {
                Urgency::Immediate
            }
            Self::Confirmed => Urgency::Confirms,
            _ => Urgency::Waits,
        }
    }
}

/// The state machine and the tasks that carry out its actions.
pub(crate) struct Control {
    entry: Entry,
    metrics: Metrics,
    drivers: HashMap<RequestId, mpsc::UnboundedSender<Action>>,
}

impl Control {
    pub(crate) fn new(entry: Entry, metrics: Metrics) -> Self {
        Self {
            entry,
            metrics,
            drivers: HashMap::new(),
        }
    }

    /// Handles one command, or a wake-up, and tells when to be called next.
    pub(crate) fn step(&mut self, command: Option<Command>, now: Timestamp) -> Timestamp {
        match command {
            None => self.decide(Event::Tick, now),
            Some(Command::Event(event)) => self.decide(event, now),
            Some(Command::Arrive(arrival, driver)) => {
                self.drivers.insert(arrival.id, driver);
                self.decide(Event::Arrived(arrival), now);
            }
            Some(Command::Dump(reply)) => {
                let state = serde_json::to_value(self.entry.state()).unwrap_or_default();
                let _ = reply.send(state);
            }
            Some(Command::Idle(reply)) => {
                let _ = reply.send(self.entry.is_idle());
            }
            Some(Command::Confirmed) => {}
        }
        self.entry.wake()
    }

    fn decide(&mut self, event: Event, now: Timestamp) {
        for action in self.entry.handle(event, now) {
            self.metrics.count(&action);
            let request = action.request();
            let last = matches!(action, Action::Refuse { .. } | Action::Close(_));
            if let Some(driver) = self.drivers.get(&request) {
                let _ = driver.send(action);
            }
            if last {
                self.drivers.remove(&request);
            }
        }
    }
}
