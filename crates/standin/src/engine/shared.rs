//! The engine that all connections share. Its tasks run the steps of the batch in real time and
//! delay the load report.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::batch::{Admission, Batch};
use super::sequence::Output;
use super::spec::{LoadReport, Spec, Totals};
use crate::answer_text;
use crate::booking::RecordedCall;

/// One engine. Clones share its state.
#[derive(Debug, Clone)]
pub struct Engine {
    spec: Arc<Spec>,
    batch: Arc<Mutex<Batch>>,
    calls: Arc<Mutex<Vec<RecordedCall>>>,
    run_counts: Arc<Mutex<BTreeMap<String, u32>>>,
    report: Arc<Mutex<LoadReport>>,
    work_added: Arc<Notify>,
}

impl Engine {
    /// Creates a cold engine.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        Self {
            batch: Arc::new(Mutex::new(Batch::new(spec.clone(), rand::random()))),
            spec: Arc::new(spec),
            calls: Arc::default(),
            run_counts: Arc::default(),
            report: Arc::default(),
            work_added: Arc::default(),
        }
    }

    /// Runs the batch and updates the load report. Never returns.
    pub async fn run(self) {
        tokio::join!(self.update_report(), self.run_batch());
    }

    async fn update_report(&self) {
        loop {
            let report = self.batch().report();
            tokio::time::sleep(self.spec.report_lag).await;
            *lock(&self.report) = report;
        }
    }

    /// Runs steps back to back. A late timer shortens the wait for the next step, so that delays do
    /// not add up.
    async fn run_batch(&self) {
        let mut due = Instant::now();
        loop {
            let step = self.batch().next_step();
            let Some(time) = step else {
                self.work_added.notified().await;
                due = Instant::now();
                continue;
            };
            due += time;
            tokio::time::sleep_until(due).await;
            self.batch().advance();
        }
    }

    /// Admits a request, or crashes like [`Batch::admit`]. `None` if the engine is down afterwards.
    pub(super) fn admit(&self, prompt: String, limit: u32) -> Option<mpsc::Receiver<Output>> {
        let key = answer_text::prompt_key(&prompt);
        let admission = self.batch().admit(prompt, limit);
        if !matches!(admission, Admission::Down) {
            *lock(&self.run_counts).entry(key).or_default() += 1;
        }
        match admission {
            Admission::Down => None,
            Admission::Admitted(receiver) => {
                self.work_added.notify_one();
                Some(receiver)
            }
            Admission::Crashed => {
                self.restart_after(self.spec.restart_time);
                None
            }
        }
    }

    /// Drops all requests and restarts cold after `time`, or after the default restart time.
    pub(super) fn crash(&self, time: Option<Duration>) {
        self.batch().crash();
        self.restart_after(time.unwrap_or(self.spec.restart_time));
    }

    fn restart_after(&self, time: Duration) {
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            engine.batch().start(rand::random());
        });
    }

    /// Turns cold without a new boot, see [`Batch::turn_cold`].
    pub(super) fn turn_cold(&self) {
        self.batch().turn_cold();
    }

    /// Sets the duration of every step, in percent of its normal duration.
    pub(super) fn set_step_percent(&self, percent: u64) {
        self.batch().set_step_percent(percent);
    }

    pub(super) fn record_call(&self, call: RecordedCall) {
        lock(&self.calls).push(call);
    }

    pub(super) fn calls(&self) -> Vec<RecordedCall> {
        lock(&self.calls).clone()
    }

    /// Returns how often each prompt was admitted, by [`answer_text::prompt_key`].
    pub(super) fn run_counts(&self) -> BTreeMap<String, u32> {
        lock(&self.run_counts).clone()
    }

    pub(super) fn totals(&self) -> Totals {
        self.batch().totals()
    }

    pub(super) fn is_down(&self) -> bool {
        self.batch().is_down()
    }

    /// Returns a load report that is at least [`Spec::report_lag`] old, with the current boot
    /// identifier.
    pub(super) fn delayed_report(&self) -> LoadReport {
        let boot = self.batch().report().boot;
        LoadReport {
            boot,
            ..*lock(&self.report)
        }
    }

    fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
