//! Parameters of an experiment.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::agent::Policy;

use crate::engine::Spec;

/// How requests are assigned to engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Binding {
    /// Reserves at `fanout` random agents and accepts the first offer.
    Late { fanout: usize },
    /// Sends to the agent with the lower reported load of two random ones. Reports are up to `age`
    /// old.
    Push { age: Duration },
}

/// What a leaving agent does with the reservations in its queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Leaving {
    /// Returns them to the entry.
    Return,
    /// Forwards them to a random other agent.
    Forward,
}

/// The parameters of one experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    pub engines: Vec<Spec>,
    pub policy: Policy,
    pub binding: Binding,
    pub leaving: Leaving,
    /// One-way delay of messages.
    pub delay: Duration,
    /// Engine that becomes cold without a restart, and the time.
    pub turns_cold: Option<(usize, Timestamp)>,
    /// Agent that leaves, and the time.
    pub leaves: Option<(usize, Timestamp)>,
    /// Agent that restarts, and the time.
    pub restarts: Option<(usize, Timestamp)>,
    /// Whether all requests are sent as one team, so that agents serve them in order of arrival.
    pub anonymous: bool,
}

impl Setup {
    pub fn new(engines: Vec<Spec>) -> Self {
        Self {
            engines,
            policy: Policy::default(),
            binding: Binding::Late { fanout: 3 },
            leaving: Leaving::Return,
            delay: Duration::from_micros(500),
            turns_cold: None,
            leaves: None,
            restarts: None,
            anonymous: false,
        }
    }
}
