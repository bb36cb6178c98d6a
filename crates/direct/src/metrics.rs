//! Counters and histograms of a direct entry.

use prometheus::{
    Error, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

/// Bounds of the histograms, in seconds.
const BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.8, 1.5, 3.0, 10.0,
];

/// The metrics of one process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Answers by status and cause.
    pub answers: IntCounterVec,
    /// Sends to endpoints by outcome.
    pub sends: IntCounterVec,
    /// Requests that were sent to a second endpoint, or not, since the first one is slow.
    pub hedges: IntCounterVec,
    /// Requests that were to be sent once more, by what the retry budget said.
    pub retries: IntCounterVec,
    /// Calls to endpoints: requests, and reservations of slots.
    pub calls: IntCounterVec,
    /// Endpoints that broke off, by what became of them.
    pub breaks: IntCounterVec,
    /// Messages about borrowed requests that peers have sent.
    pub lending: IntCounterVec,
    /// Requests that take a stream up, by what was known of its origin.
    pub resumptions: IntCounterVec,
    /// Messages that told holders origins of streams, or asked them to confirm one, after a change of the
    /// fleet.
    pub replications: IntCounter,
    /// What endpoints said of themselves for the first time, or of a longer pause or another limit.
    pub notices: IntCounterVec,
    /// Seconds that requests waited for a slot.
    pub waits: Histogram,
    /// Seconds from a request's arrival to the first byte of its answer.
    pub first: Histogram,
    /// Requests that wait for a slot.
    pub waiting: IntGauge,
    /// Known entries, including this one.
    pub members: IntGauge,
    /// Bytes held for callers and endpoints, if they are bounded.
    pub held: IntGauge,
    /// Callers that were ended since they read too slowly.
    pub slow_callers: IntCounter,
    /// Messages of other entries that this build cannot read.
    pub unreadable: IntCounter,
    /// Milliseconds since the configuration was last confirmed.
    pub age: IntGauge,
    /// Milliseconds by which the knowledge of other entries lags behind on average.
    pub lag: IntGauge,
    /// Restorations of the store that this process has seen.
    pub restorations: IntCounter,
    /// Number of restorations of the store, as it states it.
    pub era: IntGauge,
    /// Milliseconds of slot time that teams are due and have, in services without room for all.
    pub team_work: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// Returns the library's error if a name is already registered.
    pub fn new(registry: Registry) -> Result<Self, Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, Error>(counter)
        };
        let count = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, Error>(counter)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, Error>(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, Error>(gauge)
        };
        let team_work = IntGaugeVec::new(
            Opts::new(
                "comfreyhaven_team_work_milliseconds",
                "Slot time that teams are due, have started, lack and wait for here, in services without room for all",
            ),
            &["service", "rank", "team", "work"],
        )?;
        registry.register(Box::new(team_work.clone()))?;
        Ok(Self {
            restorations: count(
                "comfreyhaven_store_restorations_total",
                "Restorations of the store that this process has seen",
            )?,
            slow_callers: count(
                "comfreyhaven_slow_callers_total",
                "Callers that were ended since they read too slowly",
            )?,
            unreadable: count(
                "comfreyhaven_unreadable_messages_total",
                "Messages of other entries that this build cannot read",
            )?,
            replications: count(
                "comfreyhaven_origin_replications_total",
                "Messages that told holders origins of streams, or asked them to confirm one, after a change of the fleet",
            )?,
            held: gauge(
                "comfreyhaven_held_bytes",
                "Bytes held for callers and endpoints, if they are bounded",
            )?,
            answers: counter(
                "comfreyhaven_answers_total",
                "Answers to callers by status and cause",
                &["status", "cause"],
            )?,
            sends: counter(
                "comfreyhaven_sends_total",
                "Requests sent to endpoints by outcome",
                &["outcome"],
            )?,
            hedges: counter(
                "comfreyhaven_hedges_total",
                "Requests sent to a second endpoint because the first one is slow, by outcome, and why others were not",
                &["outcome"],
            )?,
            retries: counter(
                "comfreyhaven_retries_total",
                "Requests to be sent once more: taken from the retry budget, withheld by it, or uncharged as no endpoint had received them",
                &["outcome"],
            )?,
            calls: counter(
                "comfreyhaven_endpoint_calls_total",
                "Calls to endpoints: requests, and reservations of slots",
                &["call"],
            )?,
            breaks: counter(
                "comfreyhaven_endpoint_breaks_total",
                "Endpoints that broke off, by what became of them",
                &["fate"],
            )?,
            lending: counter(
                "comfreyhaven_lending_messages_total",
                "Messages of peers about borrowed requests to limited endpoints",
                &["message"],
            )?,
            resumptions: counter(
                "comfreyhaven_resumptions_total",
                "Requests that take a stream up, by what was known of its origin",
                &["origin"],
            )?,
            notices: counter(
                "comfreyhaven_endpoint_notices_total",
                "Endpoints that said that they leave, want a pause or name a limit, and values that cannot be read",
                &["notice"],
            )?,
            waits: histogram(
                "comfreyhaven_wait_seconds",
                "Time that requests waited for a place",
            )?,
            first: histogram(
                "comfreyhaven_first_byte_seconds",
                "Time from arrival to the first byte of an answer",
            )?,
            waiting: gauge("comfreyhaven_waiting", "Requests that wait for a place")?,
            members: gauge("comfreyhaven_members", "Entries known, with this one")?,
            age: gauge(
                "comfreyhaven_configuration_age_milliseconds",
                "Time since the configuration was confirmed",
            )?,
            lag: gauge(
                "comfreyhaven_report_lag_milliseconds",
                "Average time by which the knowledge of other entries lags behind at most",
            )?,
            era: gauge(
                "comfreyhaven_store_era",
                "Number of restorations of the store, as it states it",
            )?,
            team_work,
            registry,
        })
    }

    /// Returns the registry that holds these metrics.
    #[must_use]
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }
}
