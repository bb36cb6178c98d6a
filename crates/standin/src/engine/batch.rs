//! Continuous batching: each step prefills a chunk of one prompt and decodes one token of each
//! running sequence.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};

use super::cache::{BYTES_PER_TOKEN, Cache};
use crate::answer_text;
use crate::booking::SeenCall;

/// Text in a prompt that crashes the engine.
pub const CRASH_MARK: &str = "crash-this-engine";

/// Prompt tokens prefilled in one step at most.
const CHUNK_TOKENS: u64 = 512;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Sequences decoded at once.
    pub batch: usize,
    /// Prompt tokens prefilled a second.
    pub prefill: u64,
    /// Time of a step that decodes one sequence.
    pub step: Duration,
    /// Prompt tokens that the prefix cache holds.
    pub cache: u64,
    /// Requests borne at once while cold, beyond which the engine crashes.
    pub cold: usize,
    /// Completions until the engine is warm.
    pub warm_up: u64,
    /// Requests borne at once while warm, beyond which the engine crashes.
    pub bearing: usize,
    /// Time that a crashed engine takes to come back.
    pub restart: Duration,
    /// Age of the load report.
    pub lag: Duration,
}

/// What the engine reports of its load.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Report {
    /// Changes with each start.
    pub boot: u64,
    /// Requests admitted and not finished.
    pub running: u32,
    /// Requests of those that wait for a place in the batch.
    pub queued: u32,
}

/// What the engine did since its first start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Totals {
    /// Prompt tokens computed.
    pub prefill: u64,
    /// Prompt tokens computed for requests that were then cancelled or lost.
    pub wasted: u64,
    /// Requests that ended whole.
    pub whole: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
}

/// What a running request is sent.
#[derive(Debug)]
pub(super) enum Output {
    Token(String),
    Done {
        prompt: u64,
        cached: u64,
        output: u32,
    },
}

#[derive(Debug)]
struct Sequence {
    prompt: String,
    length: u32,
    tokens: u64,
    cached: u64,
    unfilled: u64,
    produced: u32,
    output: mpsc::Sender<Output>,
}

#[derive(Debug)]
struct Inner {
    boot: u64,
    down: bool,
    completions: u64,
    waiting: VecDeque<Sequence>,
    batch: Vec<Sequence>,
    cache: Cache,
    totals: Totals,
    seen: Vec<SeenCall>,
    reported: Report,
}

/// One engine. Clones share it.
#[derive(Debug, Clone)]
pub struct Engine {
    spec: Arc<Spec>,
    inner: Arc<Mutex<Inner>>,
    work: Arc<Notify>,
}

impl Engine {
    /// A cold engine.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        let inner = Inner {
            boot: rand::random(),
            down: false,
            completions: 0,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            cache: Cache::new(spec.cache),
            totals: Totals::default(),
            seen: Vec::new(),
            reported: Report::default(),
        };
        let (inner, work) = (Arc::new(Mutex::new(inner)), Arc::default());
        Self {
            spec: Arc::new(spec),
            inner,
            work,
        }
    }

    /// Decodes and reports for ever.
    pub async fn run(self) {
        let reporting = async {
            loop {
                let report = self.report();
                tokio::time::sleep(self.spec.lag).await;
                self.lock().reported = report;
            }
        };
        let decoding = async {
            loop {
                match self.plan() {
                    Some(time) => {
                        tokio::time::sleep(time).await;
                        self.advance();
                    }
                    None => self.work.notified().await,
                }
            }
        };
        tokio::join!(reporting, decoding);
    }

    /// Admits a request, or crashes under it. `None` while the engine is down.
    pub(super) fn admit(&self, prompt: String, limit: u32) -> Option<mpsc::Receiver<Output>> {
        let length = answer_text::length(&prompt, limit);
        let (output, receiver) = mpsc::channel(length as usize + 1);
        let mut inner = self.lock();
        if inner.down {
            return None;
        }
        let crash = prompt.contains(CRASH_MARK);
        let tokens = (prompt.len() / BYTES_PER_TOKEN) as u64;
        let cached = inner.cache.visit(&prompt).min(tokens);
        let unfilled = tokens - cached;
        let sequence = Sequence {
            prompt,
            length,
            tokens,
            cached,
            unfilled,
            produced: 0,
            output,
        };
        inner.waiting.push_back(sequence);
        let cold = inner.completions < self.spec.warm_up;
        let bearing = if cold {
            self.spec.cold
        } else {
            self.spec.bearing
        };
        let overrun = inner.waiting.len() + inner.batch.len() > bearing;
        drop(inner);
        if crash || overrun {
            self.crash();
        }
        self.work.notify_one();
        Some(receiver)
    }

    /// Records a call as it came.
    pub(super) fn saw(&self, call: SeenCall) {
        self.lock().seen.push(call);
    }

    pub(super) fn seen(&self) -> Vec<SeenCall> {
        self.lock().seen.clone()
    }

    pub(super) fn totals(&self) -> Totals {
        self.lock().totals
    }

    pub(super) fn is_down(&self) -> bool {
        self.lock().down
    }

    /// The report as it stood some time ago. The boot identifier is never old.
    pub(super) fn reported(&self) -> Report {
        let inner = self.lock();
        Report {
            boot: inner.boot,
            ..inner.reported
        }
    }

    /// Loses everything and comes back cold after a while.
    pub(super) fn crash(&self) {
        let mut inner = self.lock();
        let lost: u64 = inner
            .batch
            .iter()
            .map(|seq| seq.tokens - seq.cached - seq.unfilled)
            .sum();
        inner.totals.wasted += lost;
        inner.totals.crashes += 1;
        inner.waiting.clear();
        inner.batch.clear();
        inner.cache = Cache::new(self.spec.cache);
        inner.completions = 0;
        inner.down = true;
        drop(inner);
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(engine.spec.restart).await;
            let mut inner = engine.lock();
            inner.down = false;
            inner.boot = rand::random();
        });
    }

    fn report(&self) -> Report {
        let inner = self.lock();
        let running = inner.batch.len() + inner.waiting.len();
        Report {
            boot: inner.boot,
            running: u32::try_from(running).unwrap_or(u32::MAX),
            queued: u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// Fills the batch and tells how long the next step takes, or `None` if there is no work.
    fn plan(&self) -> Option<Duration> {
        let mut inner = self.lock();
        inner.drop_cancelled();
        while inner.batch.len() < self.spec.batch {
            let Some(sequence) = inner.waiting.pop_front() else {
                break;
            };
            inner.batch.push(sequence);
        }
        if inner.batch.is_empty() {
            return None;
        }
        let chunk = inner
            .batch
            .iter()
            .map(|seq| seq.unfilled)
            .find(|&tokens| tokens > 0);
        let chunk = chunk.unwrap_or(0).min(CHUNK_TOKENS);
        let prefill = Duration::from_micros(chunk * 1_000_000 / self.spec.prefill.max(1));
        let batch = u32::try_from(inner.batch.len()).unwrap_or(u32::MAX);
        Some(prefill + self.spec.step + self.spec.step * (batch - 1) / 16)
    }

    fn advance(&self) {
        let mut inner = self.lock();
        inner.prefill_chunk();
        for sequence in &mut inner.batch {
            sequence.decode();
        }
        let (done, running): (Vec<_>, Vec<_>) = std::mem::take(&mut inner.batch)
            .into_iter()
            .partition(Sequence::is_done);
        inner.batch = running;
        inner.completions += done.len() as u64;
        inner.totals.whole += done.len() as u64;
        for sequence in done {
            let (prompt, cached) = (sequence.tokens, sequence.cached);
            let done = Output::Done {
                prompt,
                cached,
                output: sequence.produced,
            };
            let _ = sequence.output.try_send(done);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn drop_cancelled(&mut self) {
        let gone = |seq: &Sequence| seq.output.is_closed();
        for sequence in self
            .batch
            .iter()
            .chain(&self.waiting)
            .filter(|seq| gone(seq))
        {
            self.totals.cancelled += 1;
            self.totals.wasted += sequence.tokens - sequence.cached - sequence.unfilled;
        }
        self.batch.retain(|seq| !gone(seq));
        self.waiting.retain(|seq| !gone(seq));
    }

    /// Prefills a chunk of the first prompt that is not filled.
    fn prefill_chunk(&mut self) {
        if let Some(sequence) = self.batch.iter_mut().find(|seq| seq.unfilled > 0) {
            let chunk = sequence.unfilled.min(CHUNK_TOKENS);
            sequence.unfilled -= chunk;
            self.totals.prefill += chunk;
        }
    }
}

impl Sequence {
    fn decode(&mut self) {
        if self.unfilled == 0 && self.produced < self.length {
            let token = answer_text::token(&self.prompt, self.produced);
            self.produced += 1;
            let _ = self.output.try_send(Output::Token(token));
        }
    }

    fn is_done(&self) -> bool {
        self.produced >= self.length
    }
}
