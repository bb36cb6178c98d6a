//! The first bytes of a control connection: protocol, version and service.

use std::time::Duration;

use derive_more::{Display, Error, From};
use strum::FromRepr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Version of the control messages. Processes of different versions do not talk.
pub const VERSION: u8 = 1;

const MAGIC: [u8; 4] = *b"CFHV";

/// How long a server waits for a preface.
pub const PREFACE_TIMEOUT: Duration = Duration::from_secs(2);

/// Which service a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromRepr)]
#[repr(u8)]
pub enum ServiceKind {
    /// [`AgentControl`](crate::service::AgentControl).
    Agent = 1,
    /// [`PeerControl`](crate::service::PeerControl).
    Peer = 2,
}

/// A connection whose first bytes are not a preface of this version.
#[derive(Debug, Display, Error, From)]
pub enum PrefaceError {
    /// The connection failed.
    #[display("connection failed before its preface: {_0}")]
    Io(std::io::Error),
    /// The peer speaks something else.
    #[display("the peer does not speak the control protocol")]
    #[from(ignore)]
    Magic,
    /// The peer speaks another version.
    #[display("the peer speaks version {_0} of the control protocol, this process {VERSION}")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// The peer asks for a service that does not exist.
    #[display("the peer asks for service {_0}, which does not exist")]
    #[from(ignore)]
    Service(#[error(not(source))] u8),
    /// Nothing arrived in [`PREFACE_TIMEOUT`].
    #[display("no preface within {} s", PREFACE_TIMEOUT.as_secs())]
    #[from(ignore)]
    Timeout,
}

/// Opens a connection to a service.
///
/// # Errors
/// Returns the error of the connection.
pub async fn write(
    stream: &mut (impl AsyncWrite + Unpin),
    kind: ServiceKind,
) -> std::io::Result<()> {
    let [a, b, c, d] = MAGIC;
    stream.write_all(&[a, b, c, d, VERSION, kind as u8]).await
}

/// Reads which service a connection is for.
///
/// # Errors
/// Returns a [`PrefaceError`] if the peer is slow or speaks anything else.
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
