//! Asks endpoints after a restart which requests they run.
//!
//! After a kill of all entries nobody knows which build began a stream that its caller takes up. An
//! endpoint may not have noticed yet that its caller is gone, and its list of runs shows that it began
//! the stream.

use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::direct::EndpointRecord;
use http_body_util::Full;
use hyper::{Request, StatusCode, Uri};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::context::Context;
use crate::dialect::RunList;
use crate::endpoint_call::CallKind;
use crate::origins::stream_digest;

/// Time after the start in which the endpoints have to become known.
const KNOWN_TIME: Duration = Duration::from_secs(3);

/// Interval at which it is checked whether they are.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How long an endpoint may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the endpoints once, as soon as they are known.
pub(crate) async fn run(context: Rc<Context>, stop: CancellationToken) {
    let end = clock::now() + KNOWN_TIME;
    while clock::now() < end && !stop.is_cancelled() {
        let surveyed = {
            let mut scheduler = context.scheduler.borrow_mut();
            scheduler.surveyed_endpoints(clock::now())
        };
        if let Some(records) = surveyed {
            for record in records {
                let asking = ask(Rc::clone(&context), record);
                context.tasks.spawn_local(asking);
            }
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Asks one endpoint, and records the streams that it has begun.
async fn ask(context: Rc<Context>, record: EndpointRecord) {
    let Some(list) = runs(&context, &record).await else {
        return;
    };
    let stated = list.started_ms.filter(|_| record.started_ms > 0);
    if stated.is_some_and(|started| started != record.started_ms) {
        log::info!(endpoint:% = record.id; "ignoring the runs of another incarnation");
        return;
    }
    let begun = list.begun.iter();
    let streams: Vec<_> = begun.map(|id| stream_digest(id.as_bytes())).collect();
    log::info!(endpoint:% = record.id, build:% = record.build, runs = streams.len(); "endpoint lists its runs");
    let mut scheduler = context.scheduler.borrow_mut();
    scheduler.record_runs(&record, &streams, clock::now());
}

/// Returns the runs of an endpoint, or `None` if it does not list them.
async fn runs(context: &Context, record: &EndpointRecord) -> Option<RunList> {
    let call = context.call(record, request(context, record), CallKind::Runs, "-");
    match tokio::time::timeout(ANSWER_TIMEOUT, call).await {
        Ok(Ok((StatusCode::OK, body))) => (context.dialect.runs.decode)(&body),
        Ok(Ok((status, _))) => {
            log::debug!(endpoint:% = record.id, status = status.as_u16(); "endpoint lists no runs");
            None
        }
        Ok(Err(error)) => {
            log::info!(endpoint:% = record.id; "endpoint lists no runs: {error}");
            None
        }
        Err(_) => {
            log::info!(endpoint:% = record.id; "endpoint lists no runs in time");
            None
        }
    }
}

fn request(context: &Context, record: &EndpointRecord) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static(context.dialect.runs.path);
    context.set_recipient(request.headers_mut(), record);
    request
}
