//! A model engine that batches continuously: each step prefills a chunk of one prompt and decodes
//! one token of each filled sequence.

use comfreyhaven_core::{RequestId, Timestamp};
use std::time::Duration;

/// Prompt tokens prefilled in one step at most.
const CHUNK_TOKENS: u32 = 512;

/// How much slower an engine is that became cold without a word.
const CHILLED_FACTOR: u32 = 10;

/// Completions after which such an engine is warm again, at least.
const CHILLED_COMPLETIONS: usize = 16;

/// How an engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct Spec {
    /// Prompt tokens prefilled a second.
    pub prefill: u32,
    /// Time of a step that decodes one sequence.
    pub step: Duration,
    /// Requests borne at once while cold.
    pub cold: usize,
    /// Requests borne at once while warm.
    pub warm: usize,
    /// Completions until the engine is warm.
    pub warming: usize,
    /// Whether the bearing rises with each completion, not at once.
    pub gradual: bool,
    /// Requests at once above which its steps grow with the square, as its memory runs out.
    pub knee: u32,
}

impl Spec {
    /// An engine of the given speed, where one is a usual one.
    pub fn new(speed: f64) -> Self {
        Self {
            prefill: (8_000.0 * speed) as u32,
            step: Duration::from_micros((20_000.0 / speed) as u64),
            cold: 4,
            warm: 16,
            warming: 0,
            gradual: false,
            knee: u32::MAX,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Sequence {
    request: RequestId,
    prompt: u32,
    unfilled: u32,
    produced: u32,
    output: u32,
}

/// What a step of the engine brought about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    First(RequestId),
    Progress(RequestId, u32),
    Whole(RequestId, u32, u32),
}

/// Tokens between two words of progress.
const PROGRESS_TOKENS: u32 = 16;

#[derive(Debug)]
pub struct Engine {
    pub spec: Spec,
    pub boot: u64,
    pub down: bool,
    pub crashes: u32,
    /// Prompt tokens computed, and those of them that were lost in crashes or cancelled.
    pub prefill: u64,
    pub wasted: u64,
    completions: usize,
    batch: Vec<Sequence>,
    pub stepping: bool,
    /// Completions until it is as fast as before.
    slow: usize,
}

impl Engine {
    pub fn new(spec: Spec) -> Self {
        Self {
            spec,
            boot: 0,
            down: false,
            crashes: 0,
            prefill: 0,
            wasted: 0,
            completions: 0,
            batch: Vec::new(),
            stepping: false,
            slow: 0,
        }
    }

    pub fn running(&self) -> usize {
        self.batch.len()
    }

    fn bearing(&self) -> usize {
        let Spec {
            cold,
            warm,
            warming,
            gradual,
            ..
        } = self.spec;
        if self.completions >= warming {
            return warm;
        }
        if gradual {
            return cold + (warm - cold) * self.completions / warming;
        }
        cold
    }

    /// Admits a request. Returns the requests that were lost if the engine falls over.
    pub fn admit(&mut self, request: RequestId, prompt: u32, output: u32) -> Vec<RequestId> {
        let output = output.max(1);
        let sequence = Sequence {
            request,
            prompt,
            unfilled: prompt,
            produced: 0,
            output,
        };
        self.batch.push(sequence);
        if self.batch.len() > self.bearing() {
            self.crash()
        } else {
            Vec::new()
        }
    }

    /// Loses everything.
    pub fn crash(&mut self) -> Vec<RequestId> {
        self.crashes += 1;
        self.down = true;
        self.completions = 0;
        self.boot += 1;
        let lost = std::mem::take(&mut self.batch);
        let filled = lost.iter().map(|s| u64::from(s.prompt - s.unfilled));
        self.wasted += filled.sum::<u64>();
        lost.into_iter().map(|s| s.request).collect()
    }

    /// Becomes cold without a word: slow until it has warmed up again.
    pub fn chill(&mut self) {
        self.slow = self.spec.warming.max(CHILLED_COMPLETIONS);
    }

    /// Time of the next step.
    pub fn step_time(&self) -> Option<Duration> {
        let batch = u32::try_from(self.batch.len())
            .ok()
            .filter(|len| *len > 0)?;
        let chunk = self
            .batch
            .iter()
            .map(|s| s.unfilled)
            .find(|&tokens| tokens > 0);
        let chunk = u64::from(chunk.unwrap_or(0).min(CHUNK_TOKENS));
        let prefill = Duration::from_micros(chunk * 1_000_000 / u64::from(self.spec.prefill));
        let over = f64::from(batch.max(self.spec.knee)) / f64::from(self.spec.knee);
        let decode = self.spec.step + self.spec.step * (batch - 1) / 16;
        let time = prefill + decode.mul_f64(over * over);
        Some(if self.slow > 0 {
            time * CHILLED_FACTOR
        } else {
            time
        })
    }

    pub fn advance(&mut self) -> Vec<News> {
        if let Some(next) = self.batch.iter_mut().find(|s| s.unfilled > 0) {
            let chunk = next.unfilled.min(CHUNK_TOKENS);
            next.unfilled -= chunk;
            self.prefill += u64::from(chunk);
        }
        let mut news = Vec::new();
        for sequence in self.batch.iter_mut().filter(|s| s.unfilled == 0) {
            sequence.produced += 1;
            let (request, produced) = (sequence.request, sequence.produced);
            if produced == 1 {
                news.push(News::First(request));
            } else if produced % PROGRESS_TOKENS == 0 {
                news.push(News::Progress(request, produced - 1));
            }
            if produced == sequence.output {
                news.push(News::Whole(request, sequence.output, sequence.prompt));
            }
        }
        let before = self.batch.len();
        self.batch.retain(|s| s.produced < s.output);
        let done = before - self.batch.len();
        self.completions += done;
        self.slow = self.slow.saturating_sub(done);
        news
    }
}

/// The timestamp at some seconds.
pub fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}
