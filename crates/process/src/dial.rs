//! Outgoing connections. They are bound to the IP that the configuration declares for the process,
//! so that the other side can identify the caller.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use comfreyhaven_wire::preface::{self, ServiceKind};
use comfreyhaven_wire::transport::{self, Control};
use derive_more::{Display, Error, From};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpSocket, TcpStream};

/// Longest time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that could not be opened. No request was sent on it.
#[derive(Debug, Display, Error, From)]
pub enum DialError {
    /// The operating system reported an error.
    #[display("cannot connect: {_0}")]
    Io(std::io::Error),
    /// The peer did not accept within [`CONNECT_TIMEOUT`].
    #[display("cannot connect within {} s", CONNECT_TIMEOUT.as_secs())]
    #[from(ignore)]
    Timeout,
    /// The HTTP handshake failed.
    #[display("cannot set up HTTP: {_0}")]
    Http(hyper::Error),
}

/// Opens a TCP connection from `source`, or from any address if `source` is unspecified.
///
/// # Errors
/// Returns a [`DialError`] if the peer refuses or does not answer.
pub async fn tcp(source: IpAddr, target: SocketAddr) -> Result<TcpStream, DialError> {
    let connecting = async {
        let socket = if target.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if !source.is_unspecified() && source.is_ipv4() == target.is_ipv4() {
            socket.bind((source, 0).into())?;
        }
        let stream = socket.connect(target).await?;
        stream.set_nodelay(true)?;
        Ok::<_, std::io::Error>(stream)
    };
    Ok(tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| DialError::Timeout)??)
}

/// Opens a control connection to the service `kind`.
///
/// # Errors
/// Returns a [`DialError`] if the peer refuses or does not answer.
pub async fn control<Item, SinkItem>(
    source: IpAddr,
    target: SocketAddr,
    kind: ServiceKind,
) -> Result<Control<Item, SinkItem>, DialError>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let mut stream = tcp(source, target).await?;
    preface::write(&mut stream, kind).await?;
    Ok(transport::wrap(stream))
}

/// An HTTP connection for one request. Dropping it closes the connection.
#[derive(Debug)]
pub struct HttpConnection<B> {
    /// Sends the request and receives the answer.
    pub sender: SendRequest<B>,
    driver: tokio::task::JoinHandle<()>,
}

impl<B> Drop for HttpConnection<B> {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens an HTTP connection for one request.
///
/// Connections are not reused, for two reasons. If the peer closes an idle connection just before a
/// request is sent on it, this cannot be distinguished from a request that was lost on the way. And
/// an answer that was cancelled would still occupy the connection.
///
/// # Errors
/// Returns a [`DialError`] if the peer refuses or does not answer.
pub async fn http<B>(source: IpAddr, target: SocketAddr) -> Result<HttpConnection<B>, DialError>
where
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send + 'static,
{
    let stream = tcp(source, target).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {target} ended: {error}");
        }
    });
    Ok(HttpConnection { sender, driver })
}
