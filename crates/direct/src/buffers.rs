//! Counts the bytes that this process holds for callers and endpoints, and ends the callers that read
//! slowest when too much is held.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use comfreyhaven_core::direct::{BufferLimit, BufferSizes, HoldError, HolderId, Holding};
use prometheus::{IntCounter, IntGauge};
use tokio_util::sync::CancellationToken;

use crate::clock;

/// Bytes that count for each held frame in addition to its own.
const FRAME_BYTES: usize = 128;

/// Size of the system's send buffer of a caller's connection, in bytes.
const SEND_BUFFER_BYTES: usize = 32 << 10;

#[derive(Debug)]
struct Shared {
    limit: BufferLimit,
    /// Ends the connection of each holder's caller.
    ends: HashMap<HolderId, CancellationToken>,
    held: IntGauge,
    ended: IntCounter,
}

impl Shared {
    fn update_gauge(&self) {
        let held = i64::try_from(self.limit.held());
        self.held.set(held.unwrap_or(i64::MAX));
    }
}

/// What this process holds, if that is bounded. The HTTP library drops held frames, and requires that
/// they can be sent between threads.
#[derive(Debug, Clone, Default)]
pub struct Buffers(Option<Arc<Mutex<Shared>>>);

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Buffers {
    /// Bounds what is held by a process that may use `memory` bytes. `held` shows the bytes, `ended`
    /// counts the callers that were ended.
    #[must_use]
    pub fn with_memory(memory: usize, held: IntGauge, ended: IntCounter) -> Self {
        let shared = Shared {
            limit: BufferLimit::new(BufferSizes::of_memory(memory)),
            ends: HashMap::new(),
            held,
            ended,
        };
        Self(Some(Arc::new(Mutex::new(shared))))
    }

    /// Returns a holder of bytes, if they are bounded.
    pub(crate) fn open(&self, holding: Holding) -> Option<Arc<Holder>> {
        let shared = self.0.clone()?;
        let end = CancellationToken::new();
        let id = {
            let mut shared = lock(&shared);
            let id = shared.limit.open(holding);
            shared.ends.insert(id, end.clone());
            id
        };
        Some(Arc::new(Holder { shared, id, end }))
    }

    /// Returns how many frames of a stream may be held at most, if they are bounded by their bytes.
    pub(crate) fn stream_frames(&self) -> Option<usize> {
        let shared = self.0.as_ref()?;
        Some(lock(shared).limit.sizes().stream / FRAME_BYTES + 1)
    }

    /// Returns the size of the system's send buffer of a caller's connection, if it is bounded.
    pub(crate) fn send_buffer(&self) -> Option<usize> {
        self.0.as_ref().map(|_| SEND_BUFFER_BYTES)
    }
}

/// Holds bytes for one request or answer, until it is dropped.
#[derive(Debug)]
pub(crate) struct Holder {
    shared: Arc<Mutex<Shared>>,
    id: HolderId,
    end: CancellationToken,
}

impl Holder {
    /// Holds more bytes, and ends the callers that read slowest if they are too many.
    ///
    /// # Errors
    /// Returns a [`HoldError`] if they may not be held. The caller of a stream or answer is then ended.
    pub(crate) fn hold(&self, bytes: usize) -> Result<(), HoldError> {
        let mut shared = lock(&self.shared);
        let held = shared.limit.hold(self.id, bytes, clock::now());
        let ended = match &held {
            Ok(ended) => ended.clone(),
            Err(HoldError::StreamFull) => vec![self.id],
            Err(HoldError::Ended | HoldError::NoRoom) => Vec::new(),
        };
        for id in ended {
            shared.limit.close(id);
            shared.ended.inc();
            if let Some(end) = shared.ends.remove(&id) {
                end.cancel();
            }
        }
        shared.update_gauge();
        drop(shared);
        held.map(drop)
    }

    /// Records that the answer is complete and on its way to its caller.
    pub(crate) fn deliver(&self) {
        lock(&self.shared).limit.deliver(self.id, clock::now());
    }

    /// Records that the caller has read some of its answer.
    pub(crate) fn record_read(&self) {
        self.release(0);
    }

    fn release(&self, bytes: usize) {
        let mut shared = lock(&self.shared);
        shared.limit.release(self.id, bytes, clock::now());
        shared.update_gauge();
    }

    /// Returns the token that ends the caller's connection.
    pub(crate) fn end(&self) -> CancellationToken {
        self.end.clone()
    }

    /// Holds a frame until it has been written. It is not returned if it may not be held.
    ///
    /// # Errors
    /// Returns a [`HoldError`] like [`Holder::hold`].
    pub(crate) fn hold_frame(self: &Arc<Self>, frame: Bytes) -> Result<Bytes, HoldError> {
        let counted = frame.len() + FRAME_BYTES;
        self.hold(counted)?;
        Ok(Bytes::from_owner(HeldFrame {
            frame,
            counted,
            holder: Arc::clone(self),
        }))
    }

    /// Returns bytes that are held already as a frame that counts until it has been written.
    pub(crate) fn held_frame(self: &Arc<Self>, frame: Bytes) -> Bytes {
        Bytes::from_owner(HeldFrame {
            counted: frame.len(),
            frame,
            holder: Arc::clone(self),
        })
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        let mut shared = lock(&self.shared);
        shared.limit.close(self.id);
        shared.ends.remove(&self.id);
        shared.update_gauge();
    }
}

/// A frame that counts as held until it is dropped.
struct HeldFrame {
    frame: Bytes,
    counted: usize,
    holder: Arc<Holder>,
}

impl AsRef<[u8]> for HeldFrame {
    fn as_ref(&self) -> &[u8] {
        &self.frame
    }
}

impl Drop for HeldFrame {
    fn drop(&mut self) {
        self.holder.release(self.counted);
    }
}
