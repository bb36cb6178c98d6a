//! Tells whether an endpoint's answer is whole, and reads what it says of tokens.
//!
//! An event stream is whole only with its `[DONE]` event. Any other answer is whole once HTTP says
//! so. Tokens are read from the `usage` object of the last JSON text that has one.

use comfreyhaven_core::agent::RunEnd;
use hyper::header::HeaderValue;
use serde::Deserialize;

/// Longest line of an event stream that is looked at, and longest plain answer searched for usage.
const TEXT_LIMIT_BYTES: usize = 256 * 1024;

#[derive(Debug, Default, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    cached_tokens: u32,
}

#[derive(Debug, Deserialize)]
struct WithUsage {
    usage: Option<Usage>,
}

/// Follows an answer as it passes.
#[derive(Debug)]
pub(crate) struct Reader {
    events: bool,
    text: Vec<u8>,
    done: bool,
    usage: Usage,
}

impl Reader {
    /// A reader for an answer of the given content type.
    pub(crate) fn new(kind: Option<&HeaderValue>) -> Self {
        let events = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        Self {
            events,
            text: Vec::new(),
            done: false,
            usage: Usage::default(),
        }
    }

    /// Takes some of the answer.
    pub(crate) fn read(&mut self, bytes: &[u8]) {
        let room = TEXT_LIMIT_BYTES.saturating_sub(self.text.len());
        self.text.extend_from_slice(&bytes[..room.min(bytes.len())]);
        if self.events {
            self.read_lines();
        }
    }

    /// How the run ended, once the transport says that the answer is over.
    pub(crate) fn end(&mut self) -> RunEnd {
        if self.events && !self.done {
            return RunEnd::Broken;
        }
        if !self.events {
            let text = std::mem::take(&mut self.text);
            self.read_usage(&text);
        }
        RunEnd::Whole {
            output: self.usage.completion_tokens,
            prefill: self
                .usage
                .prompt_tokens
                .saturating_sub(self.usage.cached_tokens),
        }
    }

    fn read_lines(&mut self) {
        while let Some(end) = self.text.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            let Some(data) = line.trim_ascii().strip_prefix(b"data:") else {
                continue;
            };
            match data.trim_ascii() {
                b"[DONE]" => self.done = true,
                json => self.read_usage(json),
            }
        }
    }

    fn read_usage(&mut self, json: &[u8]) {
        if !json.windows(7).any(|window| window == b"\"usage\"") {
            return;
        }
        if let Ok(WithUsage { usage: Some(usage) }) = serde_json::from_slice(json) {
            self.usage = usage;
        }
    }
}
