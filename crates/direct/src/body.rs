//! Reads the bodies of answers within limits: an endpoint may send bytes without end.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::buffers::Holder;

/// Largest answer that is buffered until it is complete, in bytes.
pub(crate) const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// Bytes of an answer that do not count as part of [`SHARED_LIMIT_BYTES`].
const OWN_LIMIT_BYTES: usize = 256 << 10;

/// Most bytes of all answers that are buffered at a time, beyond [`OWN_LIMIT_BYTES`] of each.
const SHARED_LIMIT_BYTES: usize = 24 << 20;

/// Why a body could not be read.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[from(ignore)]
    #[display("the body has more than {_0} bytes")]
    TooLong(#[error(not(source))] usize),
    /// Too much is buffered of large answers.
    #[from(ignore)]
    #[display("{_0} bytes of large answers are buffered")]
    NoRoom(#[error(not(source))] usize),
    /// The connection broke.
    #[display("the connection broke: {_0}")]
    Broken(hyper::Error),
}

/// Bytes of large answers that are buffered in this process.
#[derive(Debug, Clone, Default)]
pub(crate) struct LargeAnswers(Rc<Cell<usize>>);

/// The part of one answer. It is returned on drop.
struct Share {
    answers: LargeAnswers,
    taken: usize,
}

impl Share {
    fn take(&mut self, bytes: usize) -> Result<(), BodyError> {
        let total = self.answers.0.get() + bytes;
        if total > SHARED_LIMIT_BYTES {
            return Err(BodyError::NoRoom(total));
        }
        self.answers.0.set(total);
        self.taken += bytes;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.answers.0.set(self.answers.0.get() - self.taken);
    }
}

impl LargeAnswers {
    /// Reads a body of at most `limit` bytes, which `holder` holds if held bytes are bounded.
    ///
    /// # Errors
    /// Returns a [`BodyError`] if the body is too long, if other answers have used up what all may buffer
    /// together, or if the connection breaks.
    pub(crate) async fn collect(
        &self,
        mut body: Incoming,
        limit: usize,
        holder: Option<&Arc<Holder>>,
    ) -> Result<Bytes, BodyError> {
        let mut share = Share {
            answers: self.clone(),
            taken: 0,
        };
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let bytes = frame?.into_data().unwrap_or_default();
            let length = collected.len() + bytes.len();
            if length > limit {
                return Err(BodyError::TooLong(limit));
            }
            let needed = length.saturating_sub(OWN_LIMIT_BYTES);
            share.take(needed - share.taken)?;
            if let Some(holder) = holder {
                holder
                    .hold(bytes.len())
                    .map_err(|_| BodyError::NoRoom(length))?;
            }
            collected.extend_from_slice(&bytes);
        }
        Ok(collected.freeze())
    }
}

/// Reads a body of at most `limit` bytes to its end and keeps nothing of it.
///
/// # Errors
/// Returns a [`BodyError`] if the body is too long or the connection breaks.
pub(crate) async fn discard(mut body: Incoming, limit: usize) -> Result<(), BodyError> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        length += frame?.into_data().map_or(0, |bytes| bytes.len());
        if length > limit {
            return Err(BodyError::TooLong(limit));
        }
    }
    Ok(())
}
