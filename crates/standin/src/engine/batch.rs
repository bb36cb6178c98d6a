//! Continuous batching: each step prefills a chunk of one prompt and decodes one token of each
//! running sequence. Time is passed by the owner, so that tests need no clock.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::mpsc;

use super::cache::Cache;
use super::sequence::{Output, Sequence};
use super::spec::{Report, Spec, Totals};

/// Text in a prompt that crashes the engine.
pub const CRASH_MARK: &str = "crash-this-engine";

/// Prompt tokens prefilled in one step at most.
const CHUNK_TOKENS: u64 = 512;

/// The state of one engine.
#[derive(Debug)]
pub(super) struct Batch {
    spec: Spec,
    boot: u64,
    down: bool,
    completions: u64,
    slow: u64,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    cache: Cache,
    totals: Totals,
}

/// What became of a request that asked to be admitted.
#[derive(Debug)]
pub(super) enum Admission {
    /// The engine is down.
    Down,
    /// It runs, and its output comes here.
    Admitted(mpsc::Receiver<Output>),
    /// The engine crashed under it.
    Crashed,
}

impl Batch {
    /// A cold engine.
    pub(super) fn new(spec: Spec, boot: u64) -> Self {
        Self {
            boot,
            down: false,
            completions: 0,
            slow: 100,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: Cache::new(spec.cache),
            totals: Totals::default(),
            spec,
        }
    }

    /// Admits a request, or crashes under it.
    pub(super) fn admit(&mut self, prompt: String, limit: u32) -> Admission {
        if self.down {
            return Admission::Down;
        }
        let marked = prompt.contains(CRASH_MARK);
        let (sequence, receiver) = Sequence::new(prompt, limit);
        self.waiting.push_back(sequence);
        let overrun = self.load() > self.spec.bearing_after(self.completions);
        if overrun {
            self.totals.overruns += 1;
        }
        if marked || overrun {
            self.crash();
            return Admission::Crashed;
        }
        Admission::Admitted(receiver)
    }

    /// Requests that count against the bearing: those that nobody cancelled and that did not run
    /// already when the engine turned cold.
    fn load(&self) -> usize {
        let counts = |sequence: &&Sequence| !sequence.is_cancelled() && !sequence.settled;
        self.waiting
            .iter()
            .chain(&self.running)
            .filter(counts)
            .count()
    }

    /// Loses everything. The engine is down until [`Batch::start`].
    pub(super) fn crash(&mut self) {
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        self.totals.wasted += lost.map(|sequence| sequence.computed()).sum::<u64>();
        self.totals.crashes += 1;
        self.down = true;
    }

    /// Comes back cold after a crash.
    pub(super) fn start(&mut self, boot: u64) {
        if self.down {
            self.down = false;
            self.boot = boot;
            self.cool();
        }
    }

    /// Turns cold without a new boot: the cache is empty, and what runs goes on.
    pub(super) fn cool(&mut self) {
        self.completions = 0;
        self.cache = Cache::new(self.spec.cache);
        for sequence in self.waiting.iter_mut().chain(&mut self.running) {
            sequence.settled = true;
        }
    }

    /// Makes every step take `percent` of its time.
    pub(super) fn slow(&mut self, percent: u64) {
        self.slow = percent.max(1);
    }

    pub(super) fn is_down(&self) -> bool {
        self.down
    }

    pub(super) fn totals(&self) -> Totals {
        self.totals
    }

    pub(super) fn report(&self) -> Report {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        Report {
            boot: self.boot,
            running: count(self.running.len() + self.waiting.len()),
            queued: count(self.waiting.len()),
        }
    }

    /// Fills the batch and tells how long the next step takes, or `None` if there is no work.
    pub(super) fn plan(&mut self) -> Option<Duration> {
        self.drop_cancelled();
        while self.running.len() < self.spec.batch {
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            sequence.look_up(&mut self.cache);
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            return None;
        }
        let unfilled = self.running.iter().map(|sequence| sequence.unfilled);
        let chunk = unfilled.into_iter().find(|&tokens| tokens > 0);
        let chunk = chunk.unwrap_or(0).min(CHUNK_TOKENS);
        let time = self.spec.step_time(chunk, self.running.len());
        let percent = self.spec.cold_percent(self.completions) * self.slow / 100;
        Some(time * u32::try_from(percent).unwrap_or(u32::MAX) / 100)
    }

    /// Carries out the step that [`Batch::plan`] told the time of.
    pub(super) fn advance(&mut self) {
        self.prefill();
        let (done, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .map(Sequence::decode)
            .partition(Sequence::is_done);
        self.running = running;
        self.completions += done.len() as u64;
        self.totals.whole += done.len() as u64;
        done.into_iter().for_each(Sequence::finish);
    }

    fn drop_cancelled(&mut self) {
        let gone = self
            .running
            .iter()
            .chain(&self.waiting)
            .filter(|sequence| sequence.is_cancelled());
        for sequence in gone {
            self.totals.cancelled += 1;
            self.totals.wasted += sequence.computed();
        }
        self.running.retain(|sequence| !sequence.is_cancelled());
        self.waiting.retain(|sequence| !sequence.is_cancelled());
    }

    /// Prefills a chunk of the first prompt that is not filled. A prompt that is filled is cached.
    fn prefill(&mut self) {
        let unfilled = |sequence: &&mut Sequence| sequence.unfilled > 0;
        let Some(sequence) = self.running.iter_mut().find(unfilled) else {
            return;
        };
        let chunk = sequence.unfilled.min(CHUNK_TOKENS);
        sequence.unfilled -= chunk;
        self.totals.prefill += chunk;
        if sequence.unfilled == 0 {
            self.cache.insert(&sequence.prompt);
        }
    }
}

#[cfg(test)]
mod tests;
