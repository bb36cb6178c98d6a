//! The server for callers: accepts connections, enforces their limits and answers each request.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{Contained, Fingerprint, Origin, Route};
use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_core::request::BodyDigest;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accept::accept;
use crate::answer::{self, AnswerBody, CallerEnd};
use crate::clock;
use crate::context::Context;
use crate::dispatch::Dispatch;
use crate::header_timeout::{ConnectionPhase, MonitoredStream, Overdue, PhaseLimits};
use crate::incoming::{self, IncomingRequest};
use crate::origins;
use crate::prompt_parts;
use crate::upstream;

/// Retry delay sent to callers while the configuration is not confirmed.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay sent to callers while this process sheds load because its timers fire late.
const LAG_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Retry delay sent to callers that take up a stream whose origin is not known. Another entry may
/// know it.
const ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Idle timeout of connections before a configuration is in force.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time in which a header must arrive before a configuration is in force.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a caller may take to accept the answer to a header timeout.
const TIMEOUT_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Answer to a caller whose header did not arrive in time; no request has run.
const TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Smallest buffer that the HTTP library accepts, in bytes.
const BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Header limit before a configuration is in force, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Accepts connections until `stop`, then lets open connections finish their requests. The task of
/// each connection is spawned on `callers`.
pub(crate) async fn serve(
    listener: TcpListener,
    callers: TaskTracker,
    context: Rc<Context>,
    stop: CancellationToken,
) {
    let serve = |stream| serve_connection(stream, Rc::clone(&context), stop.clone());
    accept(listener, &callers, &stop, serve).await;
}

async fn serve_connection(stream: TcpStream, context: Rc<Context>, stop: CancellationToken) {
    if let Err(error) = set_up(&stream, &context) {
        log::debug!("cannot set up a caller's connection: {error}");
        return;
    }
    let phase = ConnectionPhase::new();
    let service_phase = Rc::clone(&phase);
    let shared = Rc::clone(&context);
    let service = service_fn(move |request| {
        let context = Rc::clone(&shared);
        let busy = service_phase.start_answer();
        async move {
            let mut response = handle(request, &context).await;
            if context.is_leaving() {
                answer::set_close(&mut response);
            }
            let end = response.extensions_mut().remove::<CallerEnd>();
            Ok::<_, Infallible>(response.map(|body| busy.wrap(body, end)))
        }
    });
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(header_bytes(&context).max(BUFFER_MIN_BYTES))
        .serve_connection(
            TokioIo::new(MonitoredStream::new(stream, Rc::clone(&phase))),
            service,
        );
    let mut stopping = false;
    let ended = loop {
        // A request that has arrived is read before the connection is closed.
        tokio::select! {
            biased;
            ended = Pin::new(&mut connection) => break ended,
            overdue = phase.overdue(|| phase_limits(&context)) => match overdue {
                Overdue::Idle => return log::info!("an idle connection of a caller is closed"),
                Overdue::Unread(request) => {
                    let id = request.to_str().unwrap_or("-");
                    return log::info!(request = id; "a caller that reads too slowly is ended");
                }
                Overdue::Header => {
                    let stream = connection.into_parts().io.into_inner().into_inner();
                    return answer_timeout(stream).await;
                }
            },
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    if let Err(error) = ended {
        let cause = std::error::Error::source(&error).map(ToString::to_string);
        log::info!(cause = cause.as_deref().unwrap_or("-"); "a caller's connection failed: {error}");
    }
}

/// Sets the options of a caller's connection.
fn set_up(stream: &TcpStream, context: &Context) -> std::io::Result<()> {
    upstream::detect_dead_peer(stream)?;
    match context.buffers.send_buffer() {
        Some(bytes) => SockRef::from(stream).set_send_buffer_size(bytes),
        None => Ok(()),
    }
}

/// Returns the limits in force for callers' connections.
fn phase_limits(context: &Context) -> PhaseLimits {
    let scheduler = context.scheduler.borrow();
    let plan = scheduler.plan();
    if plan.version == 0 {
        return PhaseLimits {
            idle: DEFAULT_IDLE_TIMEOUT,
            header: DEFAULT_HEADER_TIMEOUT,
        };
    }
    PhaseLimits {
        idle: plan.idle_timeout,
        header: plan.header_timeout,
    }
}

/// Returns the header limit in force, in bytes.
fn header_bytes(context: &Context) -> usize {
    let scheduler = context.scheduler.borrow();
    match scheduler.plan().version {
        0 => DEFAULT_HEADER_BYTES,
        _ => scheduler.plan().header_bytes,
    }
}

/// Answers a header timeout and closes the connection.
async fn answer_timeout(mut stream: TcpStream) {
    log::info!(limit = "header"; "caller too slow: header timeout");
    let answering = async {
        stream.write_all(TIMEOUT_ANSWER).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(TIMEOUT_ANSWER_TIME, answering).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("cannot answer a header timeout: {error}"),
        Err(_) => log::debug!("caller did not accept the answer to a header timeout in time"),
    }
}

async fn handle(request: Request<Incoming>, context: &Rc<Context>) -> Response<AnswerBody> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let plan = context.scheduler.borrow().plan().clone();
    let current = context.is_current(arrived);
    let head = match incoming::head(&parts, &plan, current, &context.dialect) {
        Ok(head) => head,
        Err(kind) => {
            // Closing with an unread body would reset the connection, and the answer could be lost.
            drop(incoming::body(body, plan.body_bytes, &context.buffers).await);
            return refuse(context, &parts, kind, None);
        }
    };
    if context.process_lag().sheds(head.route.rank) {
        drop(incoming::body(body, plan.body_bytes, &context.buffers).await);
        let retry = Some(LAG_RETRY_DELAY.min(head.deadline / 3));
        return refuse(context, &parts, RefusalKind::Overloaded, retry);
    }
    let body = match incoming::body(body, plan.body_bytes, &context.buffers).await {
        Ok(body) => body,
        Err(kind) => {
            let is_full = kind == RefusalKind::Overloaded;
            let retry = is_full.then(|| LAG_RETRY_DELAY.min(head.deadline / 3));
            return refuse(context, &parts, kind, retry);
        }
    };
    let now = clock::now();
    let team = head.team.as_ref().map(|team| team.name.clone());
    let digest = BodyDigest(comfreyhaven_core::direct::digest(&format!(
        "{team:?} {} {:x}",
        parts.uri,
        body_hash(&body)
    )));
    let fingerprint = Fingerprint {
        body: digest,
        parts: Arc::clone(&head.parts),
    };
    let admitted = context.scheduler.borrow_mut().admit(&fingerprint, now);
    if let Err(contained) = admitted {
        log_contained(head.id_text(), &contained);
        return refuse(
            context,
            &parts,
            RefusalKind::Contained,
            Some(contained.wait),
        );
    }
    let origin = match &head.resumption {
        Some(resumption) => match origins::find(context, &head, resumption).await {
            Some(origin) => Some(origin),
            None => {
                let retry = Some(ORIGIN_RETRY_DELAY.min(head.deadline / 3));
                return refuse(context, &parts, RefusalKind::NoEndpoint, retry);
            }
        },
        None => None,
    };
    let Some(service) = service(context, &head.route, origin.as_ref()) else {
        return refuse(context, &parts, RefusalKind::NoEndpoint, None);
    };
    context.scheduler.borrow_mut().count_request(&service, now);
    if let Some(team) = &head.team {
        let units = head.units();
        let charged = context
            .scheduler
            .borrow_mut()
            .charge(team, units, head.route.rank, now);
        if let Err(excess) = charged {
            let retry = excess.refill.min(head.deadline / 3);
            log::info!(request = head.id_text(), team:% = team.name, units = units; "{excess}");
            return refuse(context, &parts, RefusalKind::RateExceeded, Some(retry));
        }
    }
    let incoming = IncomingRequest {
        arrived,
        head,
        parts,
        body,
        fingerprint,
    };
    Dispatch::new(Rc::clone(context), incoming, service, origin)
        .run()
        .await
}

/// Chooses the service of a request. A stream goes on at the service that began it, if the route
/// still leads there.
fn service(context: &Context, route: &Route, origin: Option<&Origin>) -> Option<Arc<str>> {
    let Some(origin) = origin else {
        return context.scheduler.borrow_mut().pick_service(&route.split);
    };
    let mut services = route.split.iter().map(|part| &part.service);
    services.find(|name| **name == origin.service).cloned()
}

/// Logs why a request is not sent, so that the crashes can be found by their parts.
pub(crate) fn log_contained(request: &str, contained: &Contained) {
    log::info!(
        request = request,
        parts:% = prompt_parts::text(&contained.parts),
        wait = clock::millis(contained.wait);
        "contained: requests like it have crashed endpoints"
    );
}

fn refuse(
    context: &Context,
    parts: &hyper::http::request::Parts,
    kind: RefusalKind,
    retry: Option<Duration>,
) -> Response<AnswerBody> {
    let text: &'static str = kind.into();
    let id = parts.headers.get(&context.dialect.request);
    let scheduler = context.scheduler.borrow();
    let age = scheduler.confirmation().age(clock::now());
    log::info!(
        request = id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
        cause = text,
        version = scheduler.confirmation().version(),
        lag = clock::millis(context.process_lag().lag()),
        age = age.map_or_else(log::kv::Value::null, |age| clock::millis(age).into());
        "refused on arrival"
    );
    drop(scheduler);
    let unavailable = kind == RefusalKind::Unavailable;
    let retry = retry.or(unavailable.then_some(UNAVAILABLE_RETRY_DELAY));
    let mut response = answer::refusal(kind, retry);
    let answers = &context.metrics.answers;
    answers
        .with_label_values(&[response.status().as_str(), text])
        .inc();
    if matches!(kind, RefusalKind::Malformed | RefusalKind::TooLarge) {
        answer::set_close(&mut response);
    }
    response
}

fn body_hash(body: &[u8]) -> u64 {
    use std::hash::{DefaultHasher, Hasher};
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}
