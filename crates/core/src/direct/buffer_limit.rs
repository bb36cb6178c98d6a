//! Bounds the bytes that an entry holds for callers and endpoints that read slowly.
//!
//! Answers the load of some hundred callers that read their answers slowly, or of an endpoint that reads
//! its requests slowly, while others go on.

use std::cmp::Reverse;
use std::collections::HashMap;

use derive_more::{Display, Error};

use crate::Timestamp;

/// Part of a process's memory that may be held.
const MEMORY_PART: usize = 4;

/// Part of all held bytes that requests may hold that are not over.
const REQUEST_PART: usize = 2;

/// Part of all held bytes that the unread part of one stream may hold.
const STREAM_PART: usize = 32;

/// Most bytes that may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferSizes {
    /// In all.
    pub total: usize,
    /// For requests that are not over: their bodies, and answers that are being read.
    pub requests: usize,
    /// For the unread part of one stream.
    pub stream: usize,
}

impl BufferSizes {
    /// Returns the sizes for a process that may use `bytes` of memory.
    ///
    /// ```
    /// use comfreyhaven_core::direct::BufferSizes;
    ///
    /// let sizes = BufferSizes::of_memory(256 << 20);
    /// assert_eq!((sizes.total, sizes.requests), (64 << 20, 32 << 20));
    /// assert_eq!(sizes.stream, 2 << 20);
    /// ```
    #[must_use]
    pub const fn of_memory(bytes: usize) -> Self {
        let total = bytes / MEMORY_PART;
        Self {
            total,
            requests: total / REQUEST_PART,
            stream: total / STREAM_PART,
        }
    }
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// A request that is not over: its body, or its answer, which is being read. It is not ended
    /// halfway.
    Request,
    /// A complete answer that its caller has not read yet.
    Answer,
    /// The part of a stream that its caller has not read yet.
    Stream,
}

/// Identifies a holder within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HolderId(u64);

/// Why bytes may not be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HoldError {
    /// The caller has left too much of its stream unread.
    #[display("its caller has left too much of it unread")]
    StreamFull,
    /// The holder has been ended, since its caller read slowest while too much was held.
    #[display("its caller reads slowest while too much is held")]
    Ended,
    /// Requests that are not over hold too much.
    #[display("too much is held for requests that are not over")]
    NoRoom,
}

#[derive(Debug)]
struct Holder {
    holding: Holding,
    bytes: usize,
    /// When its reader last took something, or since when something is held.
    taken: Timestamp,
}

impl Holder {
    /// Returns the unread bytes times the milliseconds for which nothing was read.
    fn slowness(&self, now: Timestamp) -> u128 {
        self.bytes as u128 * now.since(self.taken).as_millis()
    }
}

/// The bytes that one entry holds, and for whom.
///
/// ```
/// use comfreyhaven_core::Timestamp;
/// use comfreyhaven_core::direct::{BufferLimit, BufferSizes, HoldError, Holding};
///
/// let sizes = BufferSizes { total: 100, requests: 50, stream: 60 };
/// let mut limit = BufferLimit::new(sizes);
/// let (slow, other) = (limit.open(Holding::Stream), limit.open(Holding::Stream));
/// assert_eq!(limit.hold(slow, 60, Timestamp::from_millis(0)), Ok(vec![]));
/// assert_eq!(limit.hold(other, 60, Timestamp::from_millis(500)), Ok(vec![slow]));
/// assert_eq!(limit.hold(other, 1, Timestamp::from_millis(500)), Err(HoldError::StreamFull));
/// ```
#[derive(Debug)]
pub struct BufferLimit {
    sizes: BufferSizes,
    held: usize,
    requests: usize,
    holders: HashMap<HolderId, Holder>,
    next: u64,
}

impl BufferLimit {
    /// Creates a limit under which nothing is held yet.
    #[must_use]
    pub fn new(sizes: BufferSizes) -> Self {
        Self {
            sizes: BufferSizes {
                requests: sizes.requests.min(sizes.total),
                ..sizes
            },
            held: 0,
            requests: 0,
            holders: HashMap::new(),
            next: 0,
        }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns the sizes that are kept.
    #[must_use]
    pub const fn sizes(&self) -> BufferSizes {
        self.sizes
    }

    /// Adds a holder that holds nothing yet.
    pub fn open(&mut self, holding: Holding) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            holding,
            bytes: 0,
            taken: Timestamp::ZERO,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder with all that it holds. One that is not known has been ended.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.subtract(holder.holding, holder.bytes);
        }
    }

    /// Holds more bytes, and returns the holders that are ended for that, slowest first; the holder
    /// itself may be among them. Nothing counts for them any more.
    ///
    /// # Errors
    /// Returns a [`HoldError`] if the bytes may not be held.
    pub fn hold(
        &mut self,
        id: HolderId,
        bytes: usize,
        now: Timestamp,
    ) -> Result<Vec<HolderId>, HoldError> {
        let sizes = self.sizes;
        let holder = self.holders.get_mut(&id).ok_or(HoldError::Ended)?;
        let holding = holder.holding;
        if holding == Holding::Stream && holder.bytes + bytes > sizes.stream {
            return Err(HoldError::StreamFull);
        }
        if holding == Holding::Request && self.requests + bytes > sizes.requests {
            return Err(HoldError::NoRoom);
        }
        if holder.bytes == 0 {
            holder.taken = now;
        }
        holder.bytes += bytes;
        self.held += bytes;
        if holding == Holding::Request {
            self.requests += bytes;
        }
        Ok(self.end_slowest(now))
    }

    /// Ends the slowest callers until no more than the total is held.
    fn end_slowest(&mut self, now: Timestamp) -> Vec<HolderId> {
        if self.held <= self.sizes.total {
            return Vec::new();
        }
        let may_end = |holder: &Holder| holder.holding != Holding::Request && holder.bytes > 0;
        let candidates = self.holders.iter().filter(|(_, holder)| may_end(holder));
        let mut slowest: Vec<_> = candidates
            .map(|(id, holder)| (Reverse((holder.slowness(now), holder.bytes)), *id))
            .collect();
        slowest.sort_unstable();
        let mut ended = Vec::new();
        for (_, id) in slowest {
            if self.held <= self.sizes.total {
                break;
            }
            self.close(id);
            ended.push(id);
        }
        ended
    }

    /// Records that a reader took bytes.
    pub fn release(&mut self, id: HolderId, bytes: usize, now: Timestamp) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(holder.bytes);
        holder.bytes -= bytes;
        holder.taken = now;
        let holding = holder.holding;
        self.subtract(holding, bytes);
    }

    /// Records that an answer has been read to its end and is on its way to its caller.
    pub fn deliver(&mut self, id: HolderId, now: Timestamp) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if holder.holding == Holding::Request {
            holder.holding = Holding::Answer;
            holder.taken = now;
            self.requests -= holder.bytes;
        }
    }

    fn subtract(&mut self, holding: Holding, bytes: usize) {
        self.held -= bytes;
        if holding == Holding::Request {
            self.requests -= bytes;
        }
    }
}
