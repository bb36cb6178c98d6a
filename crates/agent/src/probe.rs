//! Probes the endpoint: detects whether it answers, and by its boot identifier whether it has
//! restarted.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::agent::Event;
use comfreyhaven_core::fleet::EndpointKind;
use comfreyhaven_process::control::Mailbox;
use comfreyhaven_process::dial;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use crate::command::Command;

/// Delay between the end of a probe and the next probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which the endpoint must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted load report.
const REPORT_LIMIT_BYTES: usize = 64 * 1024;

/// An engine's load report. Its figures lag behind the engine's actual load.
#[derive(Debug, Deserialize)]
struct LoadReport {
    boot: u64,
    running: u32,
}

/// Probes the endpoint repeatedly until `stop`, and sends each result to the control thread.
pub(crate) async fn watch(
    source: IpAddr,
    target: SocketAddr,
    kind: EndpointKind,
    mailbox: Mailbox<Command>,
    stop: CancellationToken,
) {
    loop {
        let probing = tokio::time::timeout(PROBE_TIMEOUT, probe(source, target, kind));
        let event = match probing.await.ok().flatten() {
            Some(report) => Event::EndpointUp {
                boot: report.boot,
                running: report.running,
            },
            None => Event::EndpointDown,
        };
        let _ = mailbox.send(Command::Event(event));
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
        }
    }
}

async fn probe(source: IpAddr, target: SocketAddr, kind: EndpointKind) -> Option<LoadReport> {
    match kind {
        EndpointKind::Engine => load_report(source, target).await,
        EndpointKind::Service => {
            dial::tcp(source, target).await.ok()?;
            Some(LoadReport {
                boot: 0,
                running: 0,
            })
        }
    }
}

async fn load_report(source: IpAddr, target: SocketAddr) -> Option<LoadReport> {
    let mut connection = dial::http::<Empty<Bytes>>(source, target).await.ok()?;
    let mut request = Request::new(Empty::new());
    *request.uri_mut() = hyper::Uri::from_static("/load");
    request
        .headers_mut()
        .insert(HOST, HeaderValue::from_str(&target.to_string()).ok()?);
    let answer = connection.sender.send_request(request).await.ok()?;
    let body = Limited::new(answer.into_body(), REPORT_LIMIT_BYTES)
        .collect()
        .await
        .ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
