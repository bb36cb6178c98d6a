//! Continuous batching: each step prefills a chunk of one prompt and decodes one token of each
//! running sequence. The caller waits for the duration of a step, so that tests need no clock.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::mpsc;

use super::cache::PrefixCache;
use super::sequence::{Output, Sequence};
use super::spec::{LoadReport, Spec, Totals};

/// A prompt that contains this text crashes the engine.
pub const CRASH_MARKER: &str = "crash-this-engine";

/// Maximum number of prompt tokens that one step prefills.
const CHUNK_TOKENS: u64 = 512;

/// The waiting and running requests of one engine, with its cache and counters.
#[derive(Debug)]
pub(super) struct Batch {
    spec: Spec,
    boot: u64,
    down: bool,
    completions: u64,
    step_percent: u64,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
    totals: Totals,
}

/// The result of submitting a request.
#[derive(Debug)]
pub(super) enum Admission {
    Down,
    /// The request was admitted. The receiver gets its output.
    Admitted(mpsc::Receiver<Output>),
    /// The request crashed the engine.
    Crashed,
}

impl Batch {
    /// Creates a cold engine.
    pub(super) fn new(spec: Spec, boot: u64) -> Self {
        Self {
            boot,
            down: false,
            completions: 0,
            step_percent: 100,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: PrefixCache::new(spec.cache_tokens),
            totals: Totals::default(),
            spec,
        }
    }

    /// Admits a request, or crashes if the prompt is marked or the engine is over its capacity.
    pub(super) fn admit(&mut self, prompt: String, limit: u32) -> Admission {
        if self.down {
            return Admission::Down;
        }
        let is_marked = prompt.contains(CRASH_MARKER);
        let (sequence, receiver) = Sequence::new(prompt, limit);
        self.waiting.push_back(sequence);
        let is_overrun = self.active_requests() > self.spec.capacity_after(self.completions);
        if is_overrun {
            self.totals.overruns += 1;
        }
        if is_marked || is_overrun {
            self.crash();
            return Admission::Crashed;
        }
        Admission::Admitted(receiver)
    }

    /// Counts the requests that use capacity. Cancelled requests do not, nor do requests that were
    /// admitted before the engine turned cold.
    fn active_requests(&self) -> usize {
        let uses_capacity =
            |sequence: &&Sequence| !sequence.is_cancelled() && !sequence.before_cold;
        self.waiting
            .iter()
            .chain(&self.running)
            .filter(uses_capacity)
            .count()
    }

    /// Drops all requests. The engine is down until [`Batch::start`].
    pub(super) fn crash(&mut self) {
        let dropped = self.waiting.drain(..).chain(self.running.drain(..));
        self.totals.wasted += dropped
            .map(|sequence| sequence.prefilled_tokens())
            .sum::<u64>();
        self.totals.crashes += 1;
        self.down = true;
    }

    /// Starts cold after a crash. Does nothing if the engine is up.
    pub(super) fn start(&mut self, boot: u64) {
        if self.down {
            self.down = false;
            self.boot = boot;
            self.turn_cold();
        }
    }

    /// Turns cold without a new boot: clears the cache but keeps all requests.
    pub(super) fn turn_cold(&mut self) {
        self.completions = 0;
        self.cache = PrefixCache::new(self.spec.cache_tokens);
        for sequence in self.waiting.iter_mut().chain(&mut self.running) {
            sequence.before_cold = true;
        }
    }

    /// Sets the duration of every step, in percent of its normal duration.
    pub(super) fn set_step_percent(&mut self, percent: u64) {
        self.step_percent = percent.max(1);
    }

    pub(super) fn is_down(&self) -> bool {
        self.down
    }

    pub(super) fn totals(&self) -> Totals {
        self.totals
    }

    pub(super) fn report(&self) -> LoadReport {
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        LoadReport {
            boot: self.boot,
            running: count(self.running.len() + self.waiting.len()),
            queued: count(self.waiting.len()),
        }
    }

    /// Fills the batch and returns the duration of the next step, or `None` if there is no work.
    pub(super) fn next_step(&mut self) -> Option<Duration> {
        self.drop_cancelled();
        while self.running.len() < self.spec.batch_size {
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            sequence.lookup(&mut self.cache);
            self.running.push(sequence);
        }
        if self.running.is_empty() {
            return None;
        }
        let pending_tokens = self.running.iter().map(|sequence| sequence.pending_tokens);
        let chunk = pending_tokens.into_iter().find(|&tokens| tokens > 0);
        let chunk = chunk.unwrap_or(0).min(CHUNK_TOKENS);
        let time = self.spec.step_time(chunk, self.running.len());
        let percent = self.spec.warm_up_percent(self.completions) * self.step_percent / 100;
        Some(time * u32::try_from(percent).unwrap_or(u32::MAX) / 100)
    }

    /// Runs the step whose duration [`Batch::next_step`] returned.
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
        let cancelled = self
            .running
            .iter()
            .chain(&self.waiting)
            .filter(|sequence| sequence.is_cancelled());
        for sequence in cancelled {
            self.totals.cancelled += 1;
            self.totals.wasted += sequence.prefilled_tokens();
        }
        self.running.retain(|sequence| !sequence.is_cancelled());
        self.waiting.retain(|sequence| !sequence.is_cancelled());
    }

    /// Prefills a chunk of the first prompt that has pending tokens. A completely prefilled prompt
    /// is cached.
    fn prefill(&mut self) {
        let is_pending = |sequence: &&mut Sequence| sequence.pending_tokens > 0;
        let Some(sequence) = self.running.iter_mut().find(is_pending) else {
            return;
        };
        let chunk = sequence.pending_tokens.min(CHUNK_TOKENS);
        sequence.pending_tokens -= chunk;
        self.totals.prefill += chunk;
        if sequence.pending_tokens == 0 {
            self.cache.insert(&sequence.prompt);
        }
    }
}

#[cfg(test)]
mod tests;
