//! A model engine with continuous batching: each step prefills a chunk of one prompt and decodes
//! one token of each sequence whose prompt is filled.

use comfreyhaven_core::{RequestId, Timestamp};
use std::time::Duration;

/// Maximum number of prompt tokens prefilled in one step.
const CHUNK_TOKENS: u32 = 512;

/// Factor by which the steps of an engine take longer after it became cold without a restart.
const COLD_SLOWDOWN: u32 = 10;

/// Minimum number of completions after which such an engine is warm again.
const COLD_COMPLETIONS: usize = 16;

/// Speed and capacity of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Spec {
    /// Prompt tokens prefilled per second.
    pub prefill: u32,
    /// Duration of a step that decodes one sequence.
    pub step: Duration,
    /// Concurrent requests that the engine can handle while cold.
    pub cold: usize,
    /// Concurrent requests that the engine can handle while warm.
    pub warm: usize,
    /// Number of completions after which the engine is warm.
    pub warming: usize,
    /// Whether the capacity rises with each completion instead of at once after the last.
    pub gradual: bool,
    /// Concurrent requests above which the decoding time of a step grows with the square of their
    /// number, because memory runs out.
    pub knee: u32,
}

impl Spec {
    /// Creates the spec of an engine with `speed` times the baseline speed.
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

/// An event of a request that an engine step caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepEvent {
    FirstToken(RequestId),
    /// Number of output tokens after the first one.
    Progress(RequestId, u32),
    /// Numbers of output tokens and of prefilled prompt tokens.
    Complete(RequestId, u32, u32),
}

/// Output tokens between two progress events.
const PROGRESS_TOKENS: u32 = 16;

#[derive(Debug)]
pub struct Engine {
    pub spec: Spec,
    pub boot: u64,
    pub down: bool,
    pub crashes: u32,
    /// Prompt tokens computed.
    pub prefill: u64,
    /// Computed prompt tokens that were lost in crashes.
    pub wasted: u64,
    completions: usize,
    batch: Vec<Sequence>,
    pub stepping: bool,
    /// Completions until the engine is as fast as before it became cold.
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

    fn capacity(&self) -> usize {
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

    /// Admits a request. If this exceeds the capacity, the engine crashes and the lost requests are
    /// returned.
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
        if self.batch.len() > self.capacity() {
            self.crash()
        } else {
            Vec::new()
        }
    }

    /// Crashes the engine: it loses all requests, becomes cold and goes down. Returns the lost
    /// requests.
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

    /// Becomes cold without a restart, and is slow until it is warm again.
    pub fn turn_cold(&mut self) {
        self.slow = self.spec.warming.max(COLD_COMPLETIONS);
    }

    /// Returns the duration of the next step, or none if no request runs.
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
            time * COLD_SLOWDOWN
        } else {
            time
        })
    }

    pub fn advance(&mut self) -> Vec<StepEvent> {
        if let Some(next) = self.batch.iter_mut().find(|s| s.unfilled > 0) {
            let chunk = next.unfilled.min(CHUNK_TOKENS);
            next.unfilled -= chunk;
            self.prefill += u64::from(chunk);
        }
        let mut events = Vec::new();
        for sequence in self.batch.iter_mut().filter(|s| s.unfilled == 0) {
            sequence.produced += 1;
            let (request, produced) = (sequence.request, sequence.produced);
            if produced == 1 {
                events.push(StepEvent::FirstToken(request));
            } else if produced % PROGRESS_TOKENS == 0 {
                events.push(StepEvent::Progress(request, produced - 1));
            }
            if produced == sequence.output {
                events.push(StepEvent::Complete(
                    request,
                    sequence.output,
                    sequence.prompt,
                ));
            }
        }
        let before = self.batch.len();
        self.batch.retain(|s| s.produced < s.output);
        let done = before - self.batch.len();
        self.completions += done;
        self.slow = self.slow.saturating_sub(done);
        events
    }
}

/// Converts seconds since the start to a timestamp.
pub fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}
