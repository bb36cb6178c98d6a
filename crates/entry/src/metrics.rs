//! Metrics of an entry.

use comfreyhaven_core::entry::Action;
use prometheus::{IntCounterVec, Opts, Registry};

/// Counters of an entry's decisions.
#[derive(Clone)]
pub(crate) struct Metrics {
    refused: IntCounterVec,
    decisions: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let register = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vec.clone()))?;
            Ok::<_, prometheus::Error>(vec)
        };
        Ok(Self {
            refused: register(
                "comfreyhaven_entry_refused_total",
                "Requests refused, by kind and by what is known of execution",
                &["kind", "execution"],
            )?,
            decisions: register(
                "comfreyhaven_entry_decisions_total",
                "Reservations, withdrawals, releases, dispatches, inquiries, ends, asks, loans and warnings",
                &["decision"],
            )?,
        })
    }

    pub(crate) fn count(&self, action: &Action) {
        let decision = match action {
            Action::Reserve { .. } => "reserve",
            Action::Withdraw { .. } => "withdraw",
            Action::Release { .. } => "release",
            Action::Dispatch { .. } => "dispatch",
            Action::Inquire { .. } => "inquire",
            Action::Close(_) => "close",
            Action::Borrow(_) => "borrow",
            Action::Lend(_) => "lend",
            Action::Warn { .. } => "warn",
            Action::Refuse { refusal, .. } => {
                let labels: [&str; 2] = [refusal.kind().into(), refusal.execution().into()];
                return self.refused.with_label_values(&labels).inc();
            }
        };
        self.decisions.with_label_values(&[decision]).inc();
    }
}
