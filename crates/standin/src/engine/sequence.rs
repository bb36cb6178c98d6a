//! One request while an engine holds it.

use tokio::sync::mpsc;

use super::cache::{BYTES_PER_TOKEN, Cache};
use crate::answer_text;

/// What a running request is sent.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Output {
    /// The next token.
    Token(String),
    /// The end of a whole answer, with what it took.
    Done {
        /// Prompt tokens.
        prompt: u64,
        /// Prompt tokens that were cached.
        cached: u64,
        /// Tokens generated.
        output: u32,
    },
}

#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) prompt: String,
    pub(super) unfilled: u64,
    /// Whether it ran already when the engine turned cold.
    pub(super) settled: bool,
    length: u32,
    tokens: u64,
    cached: u64,
    produced: u32,
    output: mpsc::Sender<Output>,
}

impl Sequence {
    pub(super) fn new(prompt: String, limit: u32) -> (Self, mpsc::Receiver<Output>) {
        let length = answer_text::length(&prompt, limit);
        let (output, receiver) = mpsc::channel(length as usize + 1);
        let tokens = (prompt.len() / BYTES_PER_TOKEN) as u64;
        let sequence = Self {
            prompt,
            unfilled: tokens,
            settled: false,
            length,
            tokens,
            cached: 0,
            produced: 0,
            output,
        };
        (sequence, receiver)
    }

    /// Skips what the cache holds of the prompt.
    pub(super) fn look_up(&mut self, cache: &mut Cache) {
        self.cached = cache.look_up(&self.prompt).min(self.tokens);
        self.unfilled = self.tokens - self.cached;
    }

    /// Prompt tokens computed so far, or none if it has not been in the batch.
    pub(super) fn computed(&self) -> u64 {
        self.tokens - self.cached - self.unfilled
    }

    pub(super) fn decode(mut self) -> Self {
        if self.unfilled == 0 && self.produced < self.length {
            let token = answer_text::token(&self.prompt, self.produced);
            self.produced += 1;
            let _ = self.output.try_send(Output::Token(token));
        }
        self
    }

    pub(super) fn is_done(&self) -> bool {
        self.produced >= self.length
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.output.is_closed()
    }

    pub(super) fn finish(self) {
        let _ = self.output.try_send(Output::Done {
            prompt: self.tokens,
            cached: self.cached,
            output: self.produced,
        });
    }
}
