//! The first bytes of a control connection: protocol, version and service.

use std::time::Duration;

use derive_more::{Display, Error, From};
use strum::FromRepr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the control protocol. Processes with different versions reject each other.
pub const VERSION: u8 = 1;

const MAGIC: [u8; 4] = *b"CFHV";

/// Longest time that a server waits for a preface.
pub const PREFACE_TIMEOUT: Duration = Duration::from_secs(2);

/// Service that the client of a connection requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromRepr)]
#[repr(u8)]
pub enum ServiceKind {
    /// Calls of entries to an agent, [`AgentControl`](crate::service::AgentControl).
    Agent = 1,
    /// Calls between peers, [`PeerControl`](crate::service::PeerControl).
    Peer = 2,
}

/// An error in the preface of a connection.
#[derive(Debug, Display, Error, From)]
pub enum PrefaceError {
    /// The connection failed before the preface was complete.
    #[display("connection failed before its preface: {_0}")]
    Io(std::io::Error),
    /// The connection does not start with the magic bytes of the control protocol.
    #[display("the peer does not use the control protocol")]
    #[from(ignore)]
    Magic,
    /// The peer uses another version.
    #[display("the peer uses version {_0} of the control protocol, this process version {VERSION}")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// The peer requested an unknown service.
    #[display("the peer requested unknown service {_0}")]
    #[from(ignore)]
    Service(#[error(not(source))] u8),
    /// The preface was not complete within [`PREFACE_TIMEOUT`].
    #[display("no preface within {} s", PREFACE_TIMEOUT.as_secs())]
    #[from(ignore)]
    Timeout,
}

/// Writes the preface of a connection to a service.
///
/// # Errors
/// Returns an error if the connection fails.
pub async fn write(
    stream: &mut (impl AsyncWrite + Unpin),
    kind: ServiceKind,
) -> std::io::Result<()> {
    let [a, b, c, d] = MAGIC;
    stream.write_all(&[a, b, c, d, VERSION, kind as u8]).await
}

/// Reads the preface of a connection, and returns the service that it requests.
///
/// # Errors
/// Returns a [`PrefaceError`] if the preface is late, incomplete or invalid.
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<ServiceKind, PrefaceError> {
    let mut bytes = [0; 6];
    let reading = tokio::time::timeout(PREFACE_TIMEOUT, stream.read_exact(&mut bytes));
    reading.await.map_err(|_| PrefaceError::Timeout)??;
    if bytes[..4] != MAGIC {
        return Err(PrefaceError::Magic);
    }
    if bytes[4] != VERSION {
        return Err(PrefaceError::Version(bytes[4]));
    }
    ServiceKind::from_repr(bytes[5]).ok_or(PrefaceError::Service(bytes[5]))
}
