//! Splits a stream of server-sent events into complete events, so that a partial event is never
//! sent to the caller.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest event, in bytes.
const EVENT_LIMIT_BYTES: usize = 256 << 10;

/// An event is longer than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event of the stream is longer than {EVENT_LIMIT_BYTES} bytes")]
pub struct TooLong;

/// A complete event, including its final blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Bytes as received.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Returns whether there is nothing but comments, which keep a connection open.
    ///
    /// ```
    /// use comfreyhaven_direct::events::Splitter;
    ///
    /// let mut splitter = Splitter::default();
    /// splitter.add(b": still there\n\ndata: a\n\n").unwrap();
    /// assert!(splitter.next().unwrap().is_comment());
    /// assert!(!splitter.next().unwrap().is_comment());
    /// ```
    #[must_use]
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|&byte| byte == b'\n');
        lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

/// Collects the chunks of a stream and returns complete events.
///
/// ```
/// use comfreyhaven_direct::events::Splitter;
///
/// let mut splitter = Splitter::default();
/// splitter.add(b"id: 7\ndata: a\n\nid: 8\nda").unwrap();
/// assert_eq!(splitter.next().unwrap().id, Some(7));
/// assert!(splitter.next().is_none());
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanned: usize,
}

impl Splitter {
    /// Adds a chunk.
    ///
    /// # Errors
    /// Returns [`TooLong`] if more than the longest event is buffered.
    pub fn add(&mut self, chunk: &[u8]) -> Result<(), TooLong> {
        self.buffer.extend_from_slice(chunk);
        if self.buffer.len() > EVENT_LIMIT_BYTES {
            return Err(TooLong);
        }
        Ok(())
    }

    /// Returns whether no part of an event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the position after the first blank line.
    fn event_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let mut position = self.scanned;
        while let Some(offset) = bytes[position..].iter().position(|&byte| byte == b'\n') {
            let line = position + offset + 1;
            match bytes.get(line..) {
                Some([b'\n', ..]) => return Some(line + 1),
                Some([b'\r', b'\n', ..]) => return Some(line + 2),
                Some([] | [b'\r']) | None => break,
                Some(_) => position = line,
            }
        }
        self.scanned = position;
        None
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.event_end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let value = lines
        .into_iter()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
