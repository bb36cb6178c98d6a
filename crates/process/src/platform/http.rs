//! The platform's HTTP protocol.
//!
//! `GET /watch?known=R` answers an [`Index`] in JSON, `GET /values/NAME` a text or 404, and
//! `GET /hosts` the host list in JSON.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_config::DOCUMENT_LIMIT_BYTES;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;

use super::{ConfigurationSource, HostListSource, Index, ListedHost, PlatformError};
use crate::dial;

/// How long a read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a watch may take; the service answers sooner by itself.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// The configuration service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpConfiguration {
    source: IpAddr,
    target: SocketAddr,
}

impl HttpConfiguration {
    /// A client that calls `target` from `source`.
    #[must_use]
    pub fn new(source: IpAddr, target: SocketAddr) -> Self {
        Self { source, target }
    }
}

impl ConfigurationSource for HttpConfiguration {
    async fn watch(&self, known: u64) -> Result<Index, PlatformError> {
        let path = format!("/watch?known={known}");
        let body = get(self.source, self.target, &path, WATCH_TIMEOUT).await?;
        let body = body.ok_or(PlatformError::Status(404))?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn read(&self, name: &str) -> Result<Option<String>, PlatformError> {
        let path = format!("/values/{name}");
        let body = get(self.source, self.target, &path, READ_TIMEOUT).await?;
        let text = |bytes: Bytes| String::from_utf8(bytes.into()).map_err(|_| PlatformError::Text);
        body.map(text).transpose()
    }
}

/// The host list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    source: IpAddr,
    target: SocketAddr,
}

impl HttpHostList {
    /// A client that calls `target` from `source`.
    #[must_use]
    pub fn new(source: IpAddr, target: SocketAddr) -> Self {
        Self { source, target }
    }
}

impl HostListSource for HttpHostList {
    async fn list(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let body = get(self.source, self.target, "/hosts", READ_TIMEOUT).await?;
        let body = body.ok_or(PlatformError::Status(404))?;
        Ok(serde_json::from_slice(&body)?)
    }
}

async fn get(
    source: IpAddr,
    target: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Option<Bytes>, PlatformError> {
    tokio::time::timeout(limit, get_untimed(source, target, path))
        .await
        .map_err(|_| PlatformError::Timeout)?
}

async fn get_untimed(
    source: IpAddr,
    target: SocketAddr,
    path: &str,
) -> Result<Option<Bytes>, PlatformError> {
    let mut connection = dial::http::<Empty<Bytes>>(source, target).await?;
    let mut request = Request::new(Empty::new());
    *request.uri_mut() = path.parse().map_err(|_| PlatformError::Text)?;
    let host = hyper::header::HeaderValue::from_str(&target.to_string());
    request
        .headers_mut()
        .insert(hyper::header::HOST, host.map_err(|_| PlatformError::Text)?);
    let answer = connection.sender.send_request(request).await?;
    match answer.status().as_u16() {
        200 => {}
        404 => return Ok(None),
        status => return Err(PlatformError::Status(status)),
    }
    let body = Limited::new(answer.into_body(), DOCUMENT_LIMIT_BYTES)
        .collect()
        .await;
    Ok(Some(body.map_err(|_| PlatformError::Text)?.to_bytes()))
}
