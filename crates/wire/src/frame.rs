//! Framing of bodies and answers between entry and agent.
//!
//! A body is one [`Frame::Head`] with a [`RunHead`], then the caller's body as it came. An answer is
//! a sequence of frames: a head with a [`RunReply`], data, and an end with a [`RunEnd`]. An answer
//! without its end is not whole, whatever the transport says. An agent that waits for its endpoint
//! sends a sign of life each [`ALIVE_INTERVAL`], so that a frozen agent or a half-open connection can
//! be told from a slow endpoint.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use comfreyhaven_core::agent::RunEnd;
use comfreyhaven_core::refusal::NotRunReason;
use comfreyhaven_core::{OfferId, RequestId, TeamName};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::FromRepr;

/// Time after which an agent that has nothing else to send shows that it is alive.
pub const ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time without a frame after which the connection to an agent counts as lost.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Largest payload of one frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 1 << 20;

const PREFIX_BYTES: usize = 5;

/// What comes before a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHead {
    /// The request.
    pub request: RequestId,
    /// The offer that was accepted.
    pub offer: OfferId,
    /// The team, for logs and for the endpoint.
    pub team: TeamName,
    /// Method of the caller's request.
    pub method: String,
    /// Path and query of the caller's request.
    pub target: String,
    /// Headers that the endpoint may see, by lower-case name.
    pub headers: Vec<(String, String)>,
}

/// What comes before an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReply {
    /// Nothing ran.
    NotRun(NotRunReason),
    /// The endpoint's answer follows.
    Answer {
        /// The endpoint's status.
        status: u16,
        /// Headers that the caller may see.
        headers: Vec<(String, String)>,
    },
}

/// One piece of a body or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// A [`RunHead`] or [`RunReply`] in MessagePack.
    Head(Bytes),
    /// Bytes of the answer.
    Data(Bytes),
    /// A [`RunEnd`] in MessagePack.
    End(Bytes),
    /// A sign of life while there is nothing else to send.
    Alive,
}

#[derive(Debug, Clone, Copy, FromRepr)]
#[repr(u8)]
enum Kind {
    Head = 0,
    Data = 1,
    End = 2,
    Alive = 3,
}

/// Bytes that are no frame.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The payload is over [`FRAME_LIMIT_BYTES`].
    #[display("a frame of {_0} bytes is over the limit of {FRAME_LIMIT_BYTES}")]
    #[from(ignore)]
    TooLong(#[error(not(source))] usize),
    /// There is no such kind of frame.
    #[display("there is no frame of kind {_0}")]
    #[from(ignore)]
    Kind(#[error(not(source))] u8),
    /// The payload cannot be decoded.
    #[display("the payload cannot be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The value cannot be encoded.
    #[display("the value cannot be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
}

impl Frame {
    /// A head frame with a message.
    ///
    /// # Errors
    /// Returns [`FrameError::Encode`] if the message cannot be encoded.
    pub fn head(message: &impl Serialize) -> Result<Self, FrameError> {
        Ok(Self::Head(rmp_serde::to_vec(message)?.into()))
    }

    /// An end frame.
    ///
    /// # Errors
    /// Returns [`FrameError::Encode`] if the message cannot be encoded.
    pub fn end(end: &RunEnd) -> Result<Self, FrameError> {
        Ok(Self::End(rmp_serde::to_vec(end)?.into()))
    }

    /// The frame as bytes.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let (kind, payload) = match self {
            Self::Head(payload) => (Kind::Head, payload),
            Self::Data(payload) => (Kind::Data, payload),
            Self::End(payload) => (Kind::End, payload),
            Self::Alive => (Kind::Alive, &Bytes::new()),
        };
        let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + payload.len());
        bytes.put_u32(u32::try_from(payload.len()).unwrap_or(u32::MAX));
        bytes.put_u8(kind as u8);
        bytes.put_slice(payload);
        bytes.freeze()
    }

    /// Takes the next whole frame off the front of `buffer`, or `None` if it is not all there.
    ///
    /// ```
    /// use bytes::{Bytes, BytesMut};
    /// use comfreyhaven_wire::frame::Frame;
    ///
    /// let frame = Frame::Data(Bytes::from_static(b"hello"));
    /// let mut buffer = BytesMut::from(&frame.encode()[..]);
    /// assert_eq!(Frame::decode(&mut buffer).unwrap(), Some(frame));
    /// assert_eq!(Frame::decode(&mut buffer).unwrap(), None);
    /// ```
    ///
    /// # Errors
    /// Returns a [`FrameError`] if the bytes cannot be a frame.
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        if buffer.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if length > FRAME_LIMIT_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let kind = Kind::from_repr(buffer[4]).ok_or(FrameError::Kind(buffer[4]))?;
        if buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        buffer.advance(PREFIX_BYTES);
        let payload = buffer.split_to(length).freeze();
        Ok(Some(match kind {
            Kind::Head => Self::Head(payload),
            Kind::Data => Self::Data(payload),
            Kind::End => Self::End(payload),
            Kind::Alive => Self::Alive,
        }))
    }
}

/// Decodes the payload of a head or an end.
///
/// # Errors
/// Returns [`FrameError::Decode`] for bytes that are not a `T`.
pub fn message<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    Ok(rmp_serde::from_slice(payload)?)
}
