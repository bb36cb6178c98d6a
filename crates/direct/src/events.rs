//! Splits a stream of events into whole events, so that a broken one never reaches the caller.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Longest event, in bytes.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// An event is longer than any that a caller could use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an event of the stream is longer than {EVENT_LIMIT_BYTES} bytes")]
pub struct TooLong;

/// A whole event with its closing blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Collects pieces of a stream and gives whole events.
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
    /// Adds a piece.
    ///
    /// # Errors
    /// Returns [`TooLong`] if an event has no end within a megabyte.
    pub fn add(&mut self, piece: &[u8]) -> Result<(), TooLong> {
        self.buffer.extend_from_slice(piece);
        if self.buffer.len() > EVENT_LIMIT_BYTES {
            return Err(TooLong);
        }
        Ok(())
    }

    /// Whether no part of an event is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Where the first blank line ends.
    fn end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let mut at = self.scanned;
        while let Some(offset) = bytes[at..].iter().position(|&byte| byte == b'\n') {
            let line = at + offset + 1;
            match bytes.get(line..) {
                Some([b'\n', ..]) => return Some(line + 1),
                Some([b'\r', b'\n', ..]) => return Some(line + 2),
                Some([] | [b'\r']) | None => break,
                Some(_) => at = line,
            }
        }
        self.scanned = at;
        None
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.end()?;
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = number(&bytes);
        Some(Event { bytes, id })
    }
}

fn number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n');
    let value = lines
        .into_iter()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
