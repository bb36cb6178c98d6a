//! Pauses of running streams while their endpoint reads other prompts.

use std::collections::BTreeSet;
use std::time::Duration;

/// The streams of every endpoint, and which of them paused for too long.
#[derive(Debug, Default)]
pub struct Pauses {
    gap: Option<Duration>,
    running: Vec<BTreeSet<u64>>,
    streams: Vec<usize>,
    paused: Vec<BTreeSet<u64>>,
}

impl Pauses {
    pub fn new(gap: Duration, engines: usize) -> Self {
        Self {
            gap: Some(gap),
            running: vec![BTreeSet::new(); engines],
            streams: vec![0; engines],
            paused: vec![BTreeSet::new(); engines],
        }
    }

    pub fn gap(&self) -> Option<Duration> {
        self.gap
    }

    /// Forgets the streams so far, but for those that run.
    pub fn clear(&mut self) {
        self.streams.fill(0);
        self.paused.iter_mut().for_each(BTreeSet::clear);
    }

    pub fn record_first(&mut self, engine: usize, job: u64) {
        if self.gap.is_some() {
            self.running[engine].insert(job);
            self.streams[engine] += 1;
        }
    }

    pub fn record_done(&mut self, engine: usize, job: u64) {
        if self.gap.is_some() {
            self.running[engine].remove(&job);
        }
    }

    /// Records the time between two events of the streams that run at an endpoint.
    pub fn record_pause(&mut self, engine: usize, pause: Duration) {
        if self.gap.is_some_and(|gap| gap < pause) {
            self.paused[engine].extend(&self.running[engine]);
        }
    }

    /// Returns the streams at some endpoints, and the part of them that paused for too long.
    pub fn part(&self, engines: impl Iterator<Item = usize> + Clone) -> (usize, f64) {
        let streams: usize = engines.clone().map(|engine| self.streams[engine]).sum();
        let paused: usize = engines.map(|engine| self.paused[engine].len()).sum();
        (streams, paused as f64 / streams.max(1) as f64)
    }
}
