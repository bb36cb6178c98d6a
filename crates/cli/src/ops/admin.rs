//! HTTP client for the admin addresses of processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::RequestId;
use comfreyhaven_process::dial;
use futures::future::join_all;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::header::HOST;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{AdminError, CliError};

/// Time within which a process has to respond, including the connection set-up.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response body, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 64 << 20;

const NOT_FOUND: u16 = 404;

/// One step in the handling of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Step {
    /// Time of the step on the process's clock, in microseconds.
    #[serde(rename = "at_us")]
    pub micros: u64,
    /// The decision and its reason.
    pub what: String,
}

/// The decisions of one process on a request.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// Admin address of the process.
    pub address: SocketAddr,
    /// Decisions, oldest first.
    pub steps: Vec<Step>,
}

/// The response of one process.
#[derive(Debug)]
pub struct AdminResponse {
    /// Admin address of the process.
    pub address: SocketAddr,
    /// The JSON value that the process returned, or why there is none.
    pub result: Result<Value, AdminError>,
}

/// Fetches the state of one process.
///
/// # Errors
/// Returns [`CliError::Ask`] if the request fails.
pub fn state(address: SocketAddr) -> Result<Value, CliError> {
    let response = block_on(get(address, "/state"))?;
    response.map_err(|source| CliError::Ask { address, source })
}

/// Fetches the decisions on a request from each process that has a record of it.
///
/// # Errors
/// Returns [`CliError::UnknownRequest`] if no process has a record of the request. If none has one
/// and a query failed, returns the last such failure instead.
pub fn explain(request: RequestId, addresses: &[SocketAddr]) -> Result<Vec<Explanation>, CliError> {
    let path = format!("/requests/{request}");
    let mut found = Vec::new();
    let mut failure = None;
    for AdminResponse { address, result } in get_all(addresses, &path)? {
        let steps = result.and_then(|value| Ok(serde_json::from_value::<Vec<Step>>(value)?));
        match steps {
            Ok(steps) => found.push(Explanation { address, steps }),
            Err(AdminError::Status(NOT_FOUND)) => {}
            Err(source) => failure = Some(CliError::Ask { address, source }),
        }
    }
    match (found.is_empty(), failure) {
        (false, _) => Ok(found),
        (true, Some(error)) => Err(error),
        (true, None) => Err(CliError::UnknownRequest(request.to_string())),
    }
}

/// Queries several processes in parallel, and returns their responses in the order of `addresses`.
///
/// # Errors
/// Returns [`CliError::Write`] if the async runtime cannot be started.
pub fn get_all(addresses: &[SocketAddr], path: &str) -> Result<Vec<AdminResponse>, CliError> {
    let responses = addresses.iter().map(|&address| async move {
        AdminResponse {
            address,
            result: get(address, path).await,
        }
    });
    block_on(join_all(responses))
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(future))
}

async fn get(address: SocketAddr, path: &str) -> Result<Value, AdminError> {
    let response = tokio::time::timeout(REQUEST_TIMEOUT, get_untimed(address, path));
    response.await.map_err(|_| AdminError::Timeout)?
}

async fn get_untimed(address: SocketAddr, path: &str) -> Result<Value, AdminError> {
    let unspecified = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
    let mut connection = dial::http::<Empty<Bytes>>(unspecified, address).await?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(|_| AdminError::Body)?;
    let response = connection.sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(AdminError::Status(response.status().as_u16()));
    }
    let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES).collect();
    let body = body.await.map_err(|_| AdminError::Body)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
