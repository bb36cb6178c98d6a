//! The state of one waiting or running request of an engine.

use tokio::sync::mpsc;

use super::cache::{BYTES_PER_TOKEN, PrefixCache};
use crate::answer_text;

/// An item of the output of a request.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Output {
    /// The text of the next token.
    Token(String),
    /// The end of a complete answer, with its token counts.
    Done {
        prompt_tokens: u64,
        /// Tokens of the prompt that were in the prefix cache.
        cached_tokens: u64,
        output_tokens: u32,
    },
}

#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) prompt: String,
    pub(super) pending_tokens: u64,
    /// Whether the request was admitted before the engine turned cold.
    pub(super) before_cold: bool,
    output_length: u32,
    prompt_tokens: u64,
    cached_tokens: u64,
    generated: u32,
    sender: mpsc::Sender<Output>,
}

impl Sequence {
    pub(super) fn new(prompt: String, limit: u32) -> (Self, mpsc::Receiver<Output>) {
        let output_length = answer_text::length(&prompt, limit);
        let (sender, receiver) = mpsc::channel(output_length as usize + 1);
        let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN) as u64;
        let sequence = Self {
            prompt,
            pending_tokens: prompt_tokens,
            before_cold: false,
            output_length,
            prompt_tokens,
            cached_tokens: 0,
            generated: 0,
            sender,
        };
        (sequence, receiver)
    }

    /// Skips the prefill of prompt tokens that are in the cache.
    pub(super) fn lookup(&mut self, cache: &mut PrefixCache) {
        self.cached_tokens = cache.lookup(&self.prompt).min(self.prompt_tokens);
        self.pending_tokens = self.prompt_tokens - self.cached_tokens;
    }

    /// Returns the number of prompt tokens computed so far.
    pub(super) fn prefilled_tokens(&self) -> u64 {
        self.prompt_tokens - self.cached_tokens - self.pending_tokens
    }

    pub(super) fn decode(mut self) -> Self {
        if self.pending_tokens == 0 && self.generated < self.output_length {
            let token = answer_text::token(&self.prompt, self.generated);
            self.generated += 1;
            let _ = self.sender.try_send(Output::Token(token));
        }
        self
    }

    pub(super) fn is_done(&self) -> bool {
        self.generated >= self.output_length
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.sender.is_closed()
    }

    pub(super) fn finish(self) {
        let _ = self.sender.try_send(Output::Done {
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            output_tokens: self.generated,
        });
    }
}
