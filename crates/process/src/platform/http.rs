//! Client of the platform's HTTP protocol.
//!
//! `GET /watch?known=R` returns an [`Index`] in JSON, `GET /values/NAME` returns a text or 404, and
//! `GET /hosts` returns the host list in JSON.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_config::DOCUMENT_LIMIT_BYTES;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::header::{ETAG, HOST, HeaderValue, IF_NONE_MATCH};

use super::{ConfigurationSource, HostListSource, Index, ListedHost, PlatformError};
use crate::dial;

/// Longest time of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time of a watch. The service's own time limit is shorter.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of the configuration service.
#[derive(Debug, Clone)]
pub struct HttpConfiguration {
    source: IpAddr,
    target: SocketAddr,
}

impl HttpConfiguration {
    /// Creates a client that calls `target` from `source`.
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

/// Client of the host list.
#[derive(Debug)]
pub struct HttpHostList {
    source: IpAddr,
    target: SocketAddr,
    /// Entity tag and content of the last list. The platform does not send an unchanged list again.
    last: tokio::sync::Mutex<Option<(HeaderValue, Vec<ListedHost>)>>,
}

impl HttpHostList {
    /// Creates a client that calls `target` from `source`.
    #[must_use]
    pub fn new(source: IpAddr, target: SocketAddr) -> Self {
        Self {
            source,
            target,
            last: tokio::sync::Mutex::default(),
        }
    }
}

impl HostListSource for HttpHostList {
    async fn list(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let mut last = self.last.lock().await;
        let known = last.as_ref().map(|(tag, _)| tag.clone());
        let reading = call(self.source, self.target, "/hosts", known);
        let answer = tokio::time::timeout(READ_TIMEOUT, reading).await;
        let answer = answer.map_err(|_| PlatformError::Timeout)??;
        if let (304, Some((_, list))) = (answer.status, &*last) {
            return Ok(list.clone());
        }
        let body = answer.body()?.ok_or(PlatformError::Status(404))?;
        let list: Vec<ListedHost> = serde_json::from_slice(&body)?;
        *last = answer.tag.map(|tag| (tag, list.clone()));
        Ok(list)
    }
}

async fn get(
    source: IpAddr,
    target: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<Option<Bytes>, PlatformError> {
    tokio::time::timeout(limit, call(source, target, path, None))
        .await
        .map_err(|_| PlatformError::Timeout)??
        .body()
}

struct PlatformAnswer {
    status: u16,
    tag: Option<HeaderValue>,
    body: Bytes,
}

impl PlatformAnswer {
    /// Returns the body, or `None` if the value does not exist.
    fn body(&self) -> Result<Option<Bytes>, PlatformError> {
        match self.status {
            200 => Ok(Some(self.body.clone())),
            404 => Ok(None),
            status => Err(PlatformError::Status(status)),
        }
    }
}

/// Makes one call. If `known` is the entity tag of the current content, the answer is 304 without a
/// body.
async fn call(
    source: IpAddr,
    target: SocketAddr,
    path: &str,
    known: Option<HeaderValue>,
) -> Result<PlatformAnswer, PlatformError> {
    let mut connection = dial::http::<Empty<Bytes>>(source, target).await?;
    let mut request = Request::new(Empty::new());
    *request.uri_mut() = path.parse().map_err(|_| PlatformError::Text)?;
    let host = HeaderValue::from_str(&target.to_string()).map_err(|_| PlatformError::Text)?;
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.extend(known.map(|tag| (IF_NONE_MATCH, tag)));
    let answer = connection.sender.send_request(request).await?;
    let status = answer.status().as_u16();
    let tag = answer.headers().get(ETAG).cloned();
    let body = Limited::new(answer.into_body(), DOCUMENT_LIMIT_BYTES)
        .collect()
        .await;
    Ok(PlatformAnswer {
        status,
        tag,
        body: body.map_err(|_| PlatformError::Text)?.to_bytes(),
    })
}
