//! Status and metrics of the configuration of one process, for operators.

use std::collections::BTreeMap;

use comfreyhaven_config::Problem;
use comfreyhaven_core::config_sync::ConfigSync;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};
use serde::Serialize;

use super::store::DocumentSet;

/// Part `configuration` of the state that the admin port returns.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Status {
    /// Whether the configuration was confirmed since the start or the last suspension.
    pub confirmed: bool,
    /// Whether the process watches the service; otherwise it polls at long intervals.
    pub watching: bool,
    /// Whether the service answered the last call.
    pub service: bool,
    /// Newest known versions, by document.
    pub versions: BTreeMap<String, String>,
    /// Documents that wait for other documents.
    pub waiting: Vec<String>,
    /// Documents for which two different texts with the same generation were read.
    pub conflicts: Vec<String>,
    /// Faults of rejected documents and missing references of waiting ones.
    pub problems: Vec<Problem>,
}

impl Status {
    /// Creates the status from the documents, the synchronization and the state of the service.
    #[must_use]
    pub fn new(documents: &DocumentSet, sync: &ConfigSync, service: bool) -> Self {
        let versions = sync.known().iter();
        Self {
            confirmed: sync.is_confirmed(),
            watching: sync.is_watcher(),
            service,
            versions: versions
                .map(|(name, version)| (name.clone(), version.to_string()))
                .collect(),
            waiting: documents.waiting().map(str::to_owned).collect(),
            conflicts: documents.conflicts().map(str::to_owned).collect(),
            problems: documents.problems(),
        }
    }
}

/// Prometheus metrics of the configuration.
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
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// Returns an error if a name is already registered.
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

    /// Counts a call to the service or to a peer.
    pub fn count_call(&self, call: &str, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.calls.with_label_values(&[call, result]).inc();
    }

    /// Sets the gauges from a status and the known versions.
    pub fn set_status(&self, status: &Status, sync: &ConfigSync) {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.confirmed.set(i64::from(status.confirmed));
        self.waiting.set(count(status.waiting.len()));
        self.conflicts.set(count(status.conflicts.len()));
        self.problems.set(count(status.problems.len()));
        for (name, version) in sync.known() {
            let generation = i64::try_from(version.generation.0).unwrap_or(i64::MAX);
            self.generation.with_label_values(&[name]).set(generation);
        }
    }
}
