//! What operators see of the configuration of one process.

use std::collections::BTreeMap;

use comfreyhaven_config::Problem;
use comfreyhaven_core::config_sync::ConfigSync;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};
use serde::Serialize;

use super::store::Store;

/// The part of a process's state dump that is about its configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Status {
    /// Whether it was compared with peers since the start or the last pause.
    pub confirmed: bool,
    /// Whether the process watches the service, rather than polling it slowly.
    pub watching: bool,
    /// Whether the last call to the service was answered.
    pub service: bool,
    /// Newest versions, by document.
    pub versions: BTreeMap<String, String>,
    /// Documents that wait for others.
    pub waiting: Vec<String>,
    /// Documents of which two texts with one generation were seen.
    pub conflicts: Vec<String>,
    /// Why documents are kept out or wait.
    pub problems: Vec<Problem>,
}

impl Status {
    /// The status of a store and its spread.
    #[must_use]
    pub fn new(store: &Store, spread: &ConfigSync, service: bool) -> Self {
        let versions = spread.known().iter();
        Self {
            confirmed: spread.is_confirmed(),
            watching: spread.is_watcher(),
            service,
            versions: versions
                .map(|(name, version)| (name.clone(), version.to_string()))
                .collect(),
            waiting: store.waiting().map(str::to_owned).collect(),
            conflicts: store.conflicts().map(str::to_owned).collect(),
            problems: store.problems(),
        }
    }
}

/// Metrics of the configuration.
#[derive(Debug, Clone)]
pub struct Metrics {
    generation: IntGaugeVec,
    calls: IntCounterVec,
    confirmed: IntGauge,
    waiting: IntGauge,
    conflicts: IntGauge,
    problems: IntGauge,
}

impl Metrics {
    /// Makes the metrics and registers them.
    ///
    /// # Errors
    /// Returns the error of the registry, as for a name that is taken.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("comfreyhaven_configuration_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let generation = Opts::new(
            "comfreyhaven_configuration_generation",
            "Newest generation, by document",
        );
        let generation = IntGaugeVec::new(generation, &["document"])?;
        registry.register(Box::new(generation.clone()))?;
        let calls = Opts::new(
            "comfreyhaven_configuration_calls_total",
            "Calls to the service and to peers, by result",
        );
        let calls = IntCounterVec::new(calls, &["call", "result"])?;
        registry.register(Box::new(calls.clone()))?;
        Ok(Self {
            generation,
            calls,
            confirmed: gauge("confirmed", "Whether peers or the service confirmed it")?,
            waiting: gauge("waiting_documents", "Documents that wait for others")?,
            conflicts: gauge("conflicts", "Documents with two texts of one generation")?,
            problems: gauge("problems", "Faults of documents that are not in force")?,
        })
    }

    /// Counts a call.
    pub fn count(&self, call: &str, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.calls.with_label_values(&[call, result]).inc();
    }

    /// Shows a status.
    pub fn show(&self, status: &Status, spread: &ConfigSync) {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.confirmed.set(i64::from(status.confirmed));
        self.waiting.set(count(status.waiting.len()));
        self.conflicts.set(count(status.conflicts.len()));
        self.problems.set(count(status.problems.len()));
        for (name, version) in spread.known() {
            let generation = i64::try_from(version.generation.0).unwrap_or(i64::MAX);
            self.generation.with_label_values(&[name]).set(generation);
        }
    }
}
