//! The engine as its connections share it, with the time that it takes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::batch::{Admission, Batch};
use super::sequence::Output;
use super::spec::{Report, Spec, Totals};
use crate::answer_text;
use crate::booking::SeenCall;

/// One engine. Clones share it.
#[derive(Debug, Clone)]
pub struct Engine {
    spec: Arc<Spec>,
    batch: Arc<Mutex<Batch>>,
    seen: Arc<Mutex<Vec<SeenCall>>>,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
    reported: Arc<Mutex<Report>>,
    work: Arc<Notify>,
}

impl Engine {
    /// A cold engine.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        Self {
            batch: Arc::new(Mutex::new(Batch::new(spec.clone(), rand::random()))),
            spec: Arc::new(spec),
            seen: Arc::default(),
            runs: Arc::default(),
            reported: Arc::default(),
            work: Arc::default(),
        }
    }

    /// Decodes and reports for ever.
    pub async fn run(self) {
        tokio::join!(self.keep_reporting(), self.keep_decoding());
    }

    async fn keep_reporting(&self) {
        loop {
            let report = self.batch().report();
            tokio::time::sleep(self.spec.lag).await;
            *lock(&self.reported) = report;
        }
    }

    /// Steps follow each other without gaps: one that a timer ended late shortens the next.
    async fn keep_decoding(&self) {
        let mut due = Instant::now();
        loop {
            let planned = self.batch().plan();
            let Some(time) = planned else {
                self.work.notified().await;
                due = Instant::now();
                continue;
            };
            due += time;
            tokio::time::sleep_until(due).await;
            self.batch().advance();
        }
    }

    /// Admits a request, or crashes under it. `None` if the engine is down then.
    pub(super) fn admit(&self, prompt: String, limit: u32) -> Option<mpsc::Receiver<Output>> {
        let name = answer_text::run_name(&prompt);
        let admission = self.batch().admit(prompt, limit);
        if !matches!(admission, Admission::Down) {
            *lock(&self.runs).entry(name).or_default() += 1;
        }
        match admission {
            Admission::Down => None,
            Admission::Admitted(receiver) => {
                self.work.notify_one();
                Some(receiver)
            }
            Admission::Crashed => {
                self.restart_after(self.spec.restart);
                None
            }
        }
    }

    /// Loses everything and comes back cold after `time`, or the usual time.
    pub(super) fn crash(&self, time: Option<Duration>) {
        self.batch().crash();
        self.restart_after(time.unwrap_or(self.spec.restart));
    }

    fn restart_after(&self, time: Duration) {
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            engine.batch().start(rand::random());
        });
    }

    /// Turns cold without a new boot.
    pub(super) fn cool(&self) {
        self.batch().cool();
    }

    /// Makes every step take `percent` of its time.
    pub(super) fn slow(&self, percent: u64) {
        self.batch().slow(percent);
    }

    /// Records a call as it came.
    pub(super) fn saw(&self, call: SeenCall) {
        lock(&self.seen).push(call);
    }

    pub(super) fn seen(&self) -> Vec<SeenCall> {
        lock(&self.seen).clone()
    }

    /// How often each prompt was admitted, by its name.
    pub(super) fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.runs).clone()
    }

    pub(super) fn totals(&self) -> Totals {
        self.batch().totals()
    }

    pub(super) fn is_down(&self) -> bool {
        self.batch().is_down()
    }

    /// The report as it stood some time ago. The boot identifier is never old.
    pub(super) fn reported(&self) -> Report {
        let boot = self.batch().report().boot;
        Report {
            boot,
            ..*lock(&self.reported)
        }
    }

    fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
