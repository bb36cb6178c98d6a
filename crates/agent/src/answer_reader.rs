//! Determines whether an endpoint's answer is complete, and reads its token usage.
//!
//! An event stream is complete only if it contains the `[DONE]` event. Any other answer is complete
//! when its HTTP body has ended without an error. Token counts are read from the `usage` object of
//! the last JSON text that contains one.

use comfreyhaven_core::agent::RunEnd;
use hyper::header::HeaderValue;
use serde::Deserialize;

/// Maximum number of bytes buffered from a line of an event stream, or from any other answer that
/// is searched for `usage`. Bytes beyond it are ignored, so an event stream counts as incomplete if
/// a longer line precedes its `[DONE]` event.
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
struct AnswerWithUsage {
    usage: Option<Usage>,
}

/// Reads an answer while it is forwarded.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    event_stream: bool,
    text: Vec<u8>,
    done: bool,
    usage: Usage,
}

impl AnswerReader {
    /// Creates a reader for an answer of the given content type.
    pub(crate) fn new(content_type: Option<&HeaderValue>) -> Self {
        let event_stream =
            content_type.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        Self {
            event_stream,
            text: Vec::new(),
            done: false,
            usage: Usage::default(),
        }
    }

    /// Reads the next bytes of the answer.
    pub(crate) fn read(&mut self, bytes: &[u8]) {
        let room = TEXT_LIMIT_BYTES.saturating_sub(self.text.len());
        self.text.extend_from_slice(&bytes[..room.min(bytes.len())]);
        if self.event_stream {
            self.read_lines();
        }
    }

    /// Returns how the run ended. Must be called after the HTTP body has ended without an error.
    pub(crate) fn end(&mut self) -> RunEnd {
        if self.event_stream && !self.done {
            return RunEnd::Broken;
        }
        if !self.event_stream {
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
        if let Ok(AnswerWithUsage { usage: Some(usage) }) = serde_json::from_slice(json) {
            self.usage = usage;
        }
    }
}
