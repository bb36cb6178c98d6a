//! The callers' side: connections, limits on them, and one answer for each request.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::refusal::RefusalKind;
use comfreyhaven_core::request::BodyDigest;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::accept::accept;
use crate::answer::{self, AnswerBody};
use crate::clock;
use crate::context::Context;
use crate::drive::Drive;
use crate::intake::{self, Intake};
use crate::paced::{Paced, Phase};
use crate::upstream;

/// Pause that is named to callers while the configuration is not known to be in force.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(500);

/// Pause that is named to callers while this process runs late.
const STRAIN_PAUSE: Duration = Duration::from_millis(1_500);

/// Idle limit before a configuration names another.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Limit of the time that a header may take before a configuration names another.
const DEFAULT_HEADING: Duration = Duration::from_secs(5);

/// How long a caller may take to accept the answer to a header that took too long.
const FAREWELL: Duration = Duration::from_millis(500);

/// What a caller is told whose header took too long: nothing ran.
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Smallest buffer that the HTTP library takes, in bytes.
const BUFFER_MIN_BYTES: usize = 8 * 1024;

/// Header limit before a configuration names another, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Accepts callers until `stop`, then lets those finish that are there.
pub(crate) async fn serve(listener: TcpListener, context: Rc<Context>, stop: CancellationToken) {
    let serve = |stream| connection(stream, Rc::clone(&context), stop.clone());
    accept(listener, &context.tasks, &stop, serve).await;
}

async fn connection(stream: TcpStream, context: Rc<Context>, stop: CancellationToken) {
    if let Err(error) = upstream::watch_silence(&stream) {
        log::debug!("a caller's connection ended at once: {error}");
        return;
    }
    let plan = context.scheduler.borrow().plan().clone();
    let (idle, heading, header) = if plan.version > 0 {
        (plan.idle_timeout, plan.header_timeout, plan.header_bytes)
    } else {
        (DEFAULT_IDLE, DEFAULT_HEADING, DEFAULT_HEADER_BYTES)
    };
    let phase = Phase::new();
    let answering = Rc::clone(&phase);
    let service = service_fn(move |request| {
        let context = Rc::clone(&context);
        let busy = answering.answer();
        async move {
            let mut response = handle(request, &context).await;
            if context.is_leaving() {
                answer::close(&mut response);
            }
            Ok::<_, Infallible>(response.map(|body| busy.around(body)))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header.max(BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(Paced::new(stream, Rc::clone(&phase))), service);
    let ended = tokio::select! {
        ended = Pin::new(&mut connection) => ended,
        () = phase.overdue(heading) => {
            let stream = connection.into_parts().io.into_inner().into_inner();
            return dismiss(stream).await;
        }
        () = stop.cancelled() => {
            Pin::new(&mut connection).graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection ended: {error}");
    }
}

/// Ends the connection of a caller whose header took too long.
async fn dismiss(mut stream: TcpStream) {
    log::info!(limit = "header"; "a caller is too slow");
    let farewell = async {
        stream.write_all(TOO_SLOW).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(FAREWELL, farewell).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!("a slow caller's connection ended: {error}"),
        Err(_) => log::debug!("a slow caller does not take its answer"),
    }
}

async fn handle(request: Request<Incoming>, context: &Rc<Context>) -> Response<AnswerBody> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    let plan = context.scheduler.borrow().plan().clone();
    let current = context.is_current(arrived);
    let head = match intake::head(&parts, &plan, current, &context.dialect) {
        Ok(head) => head,
        Err(kind) => {
            // The body is read so that the answer is not lost in a reset.
            drop(intake::body(body, plan.body_bytes).await);
            return refuse(context, &parts, kind, None);
        }
    };
    if context.strain().sheds(head.route.rank) {
        drop(intake::body(body, plan.body_bytes).await);
        let pause = Some(STRAIN_PAUSE.min(head.deadline / 3));
        return refuse(context, &parts, RefusalKind::Overloaded, pause);
    }
    let body = match intake::body(body, plan.body_bytes).await {
        Ok(body) => body,
        Err(kind) => return refuse(context, &parts, kind, None),
    };
    let now = clock::now();
    let team = head.team.as_ref().map(|team| team.name.clone());
    let digest = BodyDigest(comfreyhaven_core::direct::digest(&format!(
        "{team:?} {} {:x}",
        parts.uri,
        fold(&body)
    )));
    if context
        .scheduler
        .borrow()
        .suspects()
        .is_refused(digest, now)
    {
        return refuse(context, &parts, RefusalKind::NoEndpoint, None);
    }
    let picked = context
        .scheduler
        .borrow_mut()
        .pick_service(&head.route.split);
    let Some(service) = picked else {
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
            log::info!(request = head.name(), team:% = team.name, units = units; "{excess}");
            return refuse(context, &parts, RefusalKind::RateExceeded, Some(retry));
        }
    }
    let intake = Intake {
        arrived,
        head,
        parts,
        body,
        digest,
    };
    Drive::new(Rc::clone(context), intake, service).run().await
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
        lag = clock::millis(context.strain().lag()),
        age = age.map_or_else(log::kv::Value::null, |age| clock::millis(age).into());
        "refused on arrival"
    );
    drop(scheduler);
    let unavailable = kind == RefusalKind::Unavailable;
    let retry = retry.or(unavailable.then_some(UNAVAILABLE_PAUSE));
    let mut response = answer::refused(kind, retry);
    let answers = &context.metrics.answers;
    answers
        .with_label_values(&[response.status().as_str(), text])
        .inc();
    if matches!(kind, RefusalKind::Malformed | RefusalKind::TooLarge) {
        answer::close(&mut response);
    }
    response
}

fn fold(body: &[u8]) -> u64 {
    use std::hash::{DefaultHasher, Hasher};
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}
