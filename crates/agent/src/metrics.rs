//! Metrics of an agent.

use comfreyhaven_core::agent::Action;
use prometheus::{IntCounterVec, Opts, Registry};

/// Counters of an agent's decisions.
#[derive(Clone)]
pub(crate) struct Metrics {
    returned: IntCounterVec,
    rejected: IntCounterVec,
    decisions: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let register = |name: &str, help: &str, label: &str| {
            let vec = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        Ok(Self {
            returned: register(
                "comfreyhaven_agent_returned_total",
                "Reservations given back, by reason",
                "reason",
            )?,
            rejected: register(
                "comfreyhaven_agent_rejected_total",
                "Bodies that did not run, by reason",
                "reason",
            )?,
            decisions: register(
                "comfreyhaven_agent_decisions_total",
                "Offers made, bodies run, bodies closed unanswered and inquiries answered",
                "decision",
            )?,
        })
    }

    pub(crate) fn count(&self, action: &Action) {
        match action {
            Action::Offer { .. } => self.decisions.with_label_values(&["offer"]).inc(),
            Action::Run(_) => self.decisions.with_label_values(&["run"]).inc(),
            Action::Close(_) => self.decisions.with_label_values(&["close"]).inc(),
            Action::Report { .. } => self.decisions.with_label_values(&["report"]).inc(),
            Action::Return { reason, .. } => {
                self.returned
                    .with_label_values(&[<&str>::from(reason)])
                    .inc();
            }
            Action::Reject { reason, .. } => {
                self.rejected
                    .with_label_values(&[<&str>::from(reason)])
                    .inc();
            }
        }
    }
}
