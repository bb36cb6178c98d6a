//! Asking processes at their operators' ports.

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

use crate::error::{AskError, CliError};

/// How long a process may take to answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 << 20;

const NOT_FOUND: u16 = 404;

/// One decision on a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Step {
    /// Time on the process's clock, in microseconds.
    #[serde(rename = "at_us")]
    pub micros: u64,
    /// What was decided, and why.
    pub what: String,
}

/// What one process decided on a request.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// The process's operators' port.
    pub address: SocketAddr,
    /// Its decisions, oldest first.
    pub steps: Vec<Step>,
}

/// What one process answered.
#[derive(Debug)]
pub struct Asked {
    /// The process's operators' port.
    pub address: SocketAddr,
    /// Its answer.
    pub answer: Result<Value, AskError>,
}

/// The state of one process.
///
/// # Errors
/// Returns [`CliError::Ask`] if it does not answer.
pub fn state(address: SocketAddr) -> Result<Value, CliError> {
    let answer = block_on(get(address, "/state"))?;
    answer.map_err(|source| CliError::Ask { address, source })
}

/// What each process that knows a request decided on it.
///
/// # Errors
/// Returns [`CliError::UnknownRequest`] if none knows it, or the first failure to ask if nobody
/// answered that it does.
pub fn explain(request: RequestId, addresses: &[SocketAddr]) -> Result<Vec<Explanation>, CliError> {
    let path = format!("/requests/{request}");
    let mut found = Vec::new();
    let mut failed = None;
    for Asked { address, answer } in get_all(addresses, &path)? {
        let steps = answer.and_then(|value| Ok(serde_json::from_value::<Vec<Step>>(value)?));
        match steps {
            Ok(steps) => found.push(Explanation { address, steps }),
            Err(AskError::Status(NOT_FOUND)) => {}
            Err(source) => failed = Some(CliError::Ask { address, source }),
        }
    }
    match (found.is_empty(), failed) {
        (false, _) => Ok(found),
        (true, Some(error)) => Err(error),
        (true, None) => Err(CliError::UnknownRequest(request.to_string())),
    }
}

/// The answers of several processes, asked at once.
///
/// # Errors
/// Returns [`CliError::Write`] if no runtime can be made.
pub fn get_all(addresses: &[SocketAddr], path: &str) -> Result<Vec<Asked>, CliError> {
    let answers = addresses.iter().map(|&address| async move {
        Asked {
            address,
            answer: get(address, path).await,
        }
    });
    block_on(join_all(answers))
}

fn block_on<T>(future: impl Future<Output = T>) -> Result<T, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(future))
}

async fn get(address: SocketAddr, path: &str) -> Result<Value, AskError> {
    let answer = tokio::time::timeout(ASK_TIMEOUT, get_untimed(address, path));
    answer.await.map_err(|_| AskError::Timeout)?
}

async fn get_untimed(address: SocketAddr, path: &str) -> Result<Value, AskError> {
    let any = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
    let mut connection = dial::http::<Empty<Bytes>>(any, address).await?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::new())
        .map_err(|_| AskError::Body)?;
    let answer = connection.sender.send_request(request).await?;
    if !answer.status().is_success() {
        return Err(AskError::Status(answer.status().as_u16()));
    }
    let body = Limited::new(answer.into_body(), ANSWER_LIMIT_BYTES).collect();
    let body = body.await.map_err(|_| AskError::Body)?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
