//! Messages between entries, sent as datagrams.
//!
//! During an upgrade, entries of several builds exchange them. A message is a map of one kind to its
//! content. What a build may change of it is in `CONTRIBUTING.md`.

#[cfg(test)]
mod tests;

use std::fmt;
use std::io;
use std::net::SocketAddr;

use comfreyhaven_core::direct::{LendingMessage, OriginMessage, Report};
use derive_more::{Display, Error, From};
use serde::de::{IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use tokio::net::UdpSocket;

/// Largest message, in bytes.
pub(crate) const MESSAGE_LIMIT_BYTES: usize = 60_000;

/// A message between entries.
#[derive(Debug, Serialize, Deserialize)]
#[cfg_attr(test, derive(PartialEq))]
pub(crate) enum PeerMessage {
    /// The state of the sender.
    #[serde(rename = "r")]
    Report(Box<Report>),
    /// Where a stream began.
    #[serde(rename = "o")]
    Origin(OriginMessage),
    /// Requests to a limited endpoint that one entry lends another.
    #[serde(rename = "l")]
    Lending(LendingMessage),
}

/// Why no message could be received.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ReceiveError {
    /// The socket failed.
    #[display("cannot receive: {_0}")]
    Socket(io::Error),
    /// A datagram of another entry cannot be read.
    #[display("cannot read a message of {from}: {fault}")]
    #[from(ignore)]
    Unreadable {
        /// The other entry.
        from: SocketAddr,
        /// What is wrong with the datagram.
        fault: MessageFault,
    },
}

/// Why a datagram cannot be read.
#[derive(Debug, Display, Error)]
pub(crate) enum MessageFault {
    /// The kind of message is not known to this build.
    #[display("unknown kind {_0:?}")]
    #[error(ignore)]
    Kind(Box<str>),
    /// The datagram is no message, or the content of a known kind cannot be read.
    #[display("{_0}")]
    Content(rmp_serde::decode::Error),
}

/// The kind of a message whose content is skipped.
struct MessageKind(Box<str>);

impl<'de> Deserialize<'de> for MessageKind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct KindVisitor;
        impl<'de> Visitor<'de> for KindVisitor {
            type Value = MessageKind;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a map of one kind to its content")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<MessageKind, A::Error> {
                let entry = map.next_entry::<Box<str>, IgnoredAny>()?;
                let kind = entry.map(|(kind, _)| kind);
                kind.map(MessageKind)
                    .ok_or_else(|| serde::de::Error::missing_field("kind"))
            }
        }
        deserializer.deserialize_map(KindVisitor)
    }
}

/// Reads a message.
pub(crate) fn decode(bytes: &[u8]) -> Result<PeerMessage, MessageFault> {
    const KINDS: [&str; 3] = ["r", "o", "l"];
    rmp_serde::from_slice(bytes).map_err(|error| {
        let kind = rmp_serde::from_slice::<MessageKind>(bytes).ok();
        match kind.filter(|kind| !KINDS.contains(&&*kind.0)) {
            Some(kind) => MessageFault::Kind(kind.0),
            None => MessageFault::Content(error),
        }
    })
}

/// The socket on which an entry exchanges messages with its peers.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
}

impl PeerSocket {
    /// Listens on `address`, which peers also know as the sender's.
    ///
    /// # Errors
    /// Returns the error of the bind call.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Sends a message. A message that cannot be sent counts as lost.
    pub(crate) async fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let Some(bytes) = encode(message) else {
            return;
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!(peer:% = to; "cannot send a message: {error}");
        }
    }

    /// Sends a message if the socket takes it now. A message that cannot be sent counts as lost.
    pub(crate) fn try_send(&self, to: SocketAddr, message: &PeerMessage) {
        let Some(bytes) = encode(message) else {
            return;
        };
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!(peer:% = to; "cannot send a message: {error}");
        }
    }

    /// Receives the next message from another entry, by way of a buffer of
    /// [`MESSAGE_LIMIT_BYTES`].
    ///
    /// # Errors
    /// Returns a [`ReceiveError`] if the socket fails or a datagram cannot be decoded.
    pub(crate) async fn receive(
        &self,
        buffer: &mut [u8],
    ) -> Result<(SocketAddr, PeerMessage), ReceiveError> {
        let own = self.socket.local_addr()?.port();
        loop {
            let (length, from) = self.socket.recv_from(buffer).await?;
            // Entries send from the port that they listen on.
            if from.port() == own {
                return match decode(&buffer[..length]) {
                    Ok(message) => Ok((from, message)),
                    Err(fault) => Err(ReceiveError::Unreadable { from, fault }),
                };
            }
            log::debug!(peer:% = from; "ignoring a message from another port");
        }
    }
}

pub(crate) fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    rmp_serde::to_vec(message)
        .inspect_err(|error| log::warn!("cannot encode a message: {error}"))
        .ok()
}
