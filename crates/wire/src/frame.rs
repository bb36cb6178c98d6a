//! Framing of bodies and answers between entry and agent.
//!
//! A body consists of one [`Frame::Head`] with a [`RunHead`], followed by the caller's body without
//! framing. An answer is a sequence of frames: a head with a [`RunReply`], data, and an end with a
//! [`RunEnd`]. An answer without an end frame is incomplete, even if the HTTP connection was closed
//! cleanly. An agent that waits for its endpoint sends a keep-alive frame every
//! [`KEEPALIVE_INTERVAL`], so that the entry can distinguish a slow endpoint from a suspended agent
//! or a half-open connection.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use comfreyhaven_core::agent::RunEnd;
use comfreyhaven_core::refusal::NotRunReason;
use comfreyhaven_core::{OfferId, RequestId, TeamName};
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::FromRepr;

/// Time without another frame after which an agent sends a keep-alive frame.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time without a frame after which an entry treats the connection to an agent as lost.
pub const FRAME_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Largest payload of one frame, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 1 << 20;

const PREFIX_BYTES: usize = 5;

/// Message at the start of a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHead {
    /// Id of the request.
    pub request: RequestId,
    /// Id of the offer that the entry accepted.
    pub offer: OfferId,
    /// Team of the caller, for logs and for the endpoint.
    pub team: TeamName,
    /// HTTP method of the caller's request.
    pub method: String,
    /// Path and query of the caller's request.
    pub target: String,
    /// Headers to forward to the endpoint, with lower-case names.
    pub headers: Vec<(String, String)>,
}

/// Message at the start of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReply {
    /// The request was not run.
    NotRun(NotRunReason),
    /// The endpoint's answer follows in data frames.
    Answer {
        /// HTTP status of the endpoint's answer.
        status: u16,
        /// Headers to forward to the caller.
        headers: Vec<(String, String)>,
    },
}

/// One frame of a body or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// A [`RunHead`] or [`RunReply`] in MessagePack.
    Head(Bytes),
    /// Bytes of the answer.
    Data(Bytes),
    /// A [`RunEnd`] in MessagePack.
    End(Bytes),
    /// A frame without payload, sent while there is nothing else to send.
    KeepAlive,
}

#[derive(Debug, Clone, Copy, FromRepr)]
#[repr(u8)]
enum Kind {
    Head = 0,
    Data = 1,
    End = 2,
    KeepAlive = 3,
}

/// An error in the encoding or decoding of a frame.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The payload is longer than [`FRAME_LIMIT_BYTES`].
    #[display("frame payload of {_0} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes")]
    #[from(ignore)]
    TooLong(#[error(not(source))] usize),
    /// The kind of the frame is unknown.
    #[display("unknown frame kind {_0}")]
    #[from(ignore)]
    Kind(#[error(not(source))] u8),
    /// The payload is not the expected message.
    #[display("cannot decode frame payload: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The message cannot be represented in MessagePack.
    #[display("cannot encode frame payload: {_0}")]
    Encode(rmp_serde::encode::Error),
}

impl Frame {
    /// Creates a head frame with a message.
    ///
    /// # Errors
    /// Returns [`FrameError::Encode`] if the message cannot be encoded.
    pub fn head(message: &impl Serialize) -> Result<Self, FrameError> {
        Ok(Self::Head(rmp_serde::to_vec(message)?.into()))
    }

    /// Creates an end frame.
    ///
    /// # Errors
    /// Returns [`FrameError::Encode`] if the message cannot be encoded.
    pub fn end(end: &RunEnd) -> Result<Self, FrameError> {
        Ok(Self::End(rmp_serde::to_vec(end)?.into()))
    }

    /// Encodes the frame with its length and kind.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let (kind, payload) = match self {
            Self::Head(payload) => (Kind::Head, payload),
            Self::Data(payload) => (Kind::Data, payload),
            Self::End(payload) => (Kind::End, payload),
            Self::KeepAlive => (Kind::KeepAlive, &Bytes::new()),
        };
        let mut bytes = BytesMut::with_capacity(PREFIX_BYTES + payload.len());
        bytes.put_u32(u32::try_from(payload.len()).unwrap_or(u32::MAX));
        bytes.put_u8(kind as u8);
        bytes.put_slice(payload);
        bytes.freeze()
    }

    /// Removes the next frame from the front of `buffer`. Returns `None` if it is not yet complete.
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
    /// Returns [`FrameError::TooLong`] or [`FrameError::Kind`] if the bytes are not a valid frame.
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
            Kind::KeepAlive => Self::KeepAlive,
        }))
    }
}

/// Decodes the payload of a head or end frame.
///
/// # Errors
/// Returns [`FrameError::Decode`] if the payload is not a `T`.
pub fn decode_payload<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    Ok(rmp_serde::from_slice(payload)?)
}
