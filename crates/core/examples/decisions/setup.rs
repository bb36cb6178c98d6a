//! What an experiment consists of.

use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::agent::Policy;

use crate::engine::Spec;

/// How requests find their engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Binding {
    /// Reservations at some random agents; the first offer is taken.
    Late { fanout: usize },
    /// The agent with the lower reported load of two random ones, by reports of the given age.
    Push { age: Duration },
}

/// What becomes of reservations at an agent that leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Leaving {
    Return,
    Forward,
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    pub engines: Vec<Spec>,
    pub policy: Policy,
    pub binding: Binding,
    pub leaving: Leaving,
    /// One-way delay of messages.
    pub delay: Duration,
    /// Engine that becomes cold without a word, and when.
    pub chill: Option<(usize, Timestamp)>,
    /// Agent that leaves, and when.
    pub leaves: Option<(usize, Timestamp)>,
    /// Agent that restarts, and when.
    pub restarts: Option<(usize, Timestamp)>,
    /// Whether all requests count as one team's, so that agents serve in order of arrival.
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
            chill: None,
            leaves: None,
            restarts: None,
            anonymous: false,
        }
    }
}
