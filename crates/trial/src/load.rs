//! Open-loop load generator: sends requests at given times, regardless of the progress of earlier
//! ones, and checks the answer to each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use comfreyhaven_core::refusal::{Execution, RefusalKind};
use comfreyhaven_harness::{CallError, Caller, Reply};
use comfreyhaven_standin::answer_text;
use futures::future::join_all;

use crate::fleet::{RouteSpec, SampleFleet};
use crate::trace::{Record, RequestKind};

/// Time after the deadline of the route at which a caller stops waiting for an answer.
const RESPONSE_GRACE: Duration = Duration::from_secs(15);

/// A request and the time at which it is sent.
#[derive(Debug, Clone)]
pub struct ScheduledRequest {
    /// Time of sending, counted from the start of the load.
    pub at: Duration,
    /// Content and team of the request.
    pub record: Record,
    /// Route that the request matches.
    pub route: &'static RouteSpec,
}

/// Classification of the answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The complete answer to this request.
    Whole,
    /// A seemingly complete answer that does not belong to this request.
    Wrong,
    /// A refusal that states that the request did not run.
    Refused(RefusalKind),
    /// Anything else: a truncated answer, a failure or no response.
    Unknown,
}

/// A request that has ended, and its result.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request as it was scheduled.
    pub request: ScheduledRequest,
    /// Time of sending, counted from the start of the load.
    pub sent: Duration,
    /// Time at which the answer ended or the caller stopped waiting, counted from the start of the
    /// load.
    pub ended: Duration,
    /// Time from sending to the first byte of the answer.
    pub first_byte: Duration,
    /// Classification of the answer.
    pub verdict: Verdict,
}

impl Outcome {
    /// Returns the time from sending to the end of the answer.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.ended.saturating_sub(self.sent)
    }

    /// Returns whether the complete answer arrived within the deadline of the route.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.verdict == Verdict::Whole && self.total() <= self.request.route.deadline
    }
}

/// Schedules the records of a trace at their recorded times. Omits records of undeclared routes.
#[must_use]
pub fn as_recorded(fleet: SampleFleet, records: Vec<Record>) -> Vec<ScheduledRequest> {
    let request = |record: Record| {
        Some(ScheduledRequest {
            at: Duration::from_millis(record.at_ms),
            route: fleet.route(&record.route)?,
            record,
        })
    };
    records.into_iter().filter_map(request).collect()
}

/// Model of the platform's load balancer: distributes callers over the entries that accept
/// connections, in round-robin order.
#[derive(Debug)]
pub struct Balancer {
    targets: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl Balancer {
    /// Creates a balancer in front of the given addresses, of which there must be at least one.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>) -> Self {
        Self {
            targets,
            next: AtomicUsize::new(0),
        }
    }

    fn next_target(&self) -> SocketAddr {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        self.targets[next % self.targets.len()]
    }
}

/// Sends every request at its time and returns the outcomes once all requests have ended.
pub async fn run(balancer: Arc<Balancer>, requests: Vec<ScheduledRequest>) -> Vec<Outcome> {
    let start = Instant::now();
    let send = |request: ScheduledRequest| {
        let balancer = Arc::clone(&balancer);
        tokio::spawn(async move {
            tokio::time::sleep_until((start + request.at).into()).await;
            send_and_check(&balancer, request, start).await
        })
    };
    let outcomes = join_all(requests.into_iter().map(send)).await;
    outcomes.into_iter().filter_map(Result::ok).collect()
}

async fn send_and_check(balancer: &Balancer, request: ScheduledRequest, start: Instant) -> Outcome {
    let sent = start.elapsed();
    let limit = request.route.deadline + RESPONSE_GRACE;
    let reply = tokio::time::timeout(limit, send_to_any_host(balancer, &request)).await;
    let ended = start.elapsed();
    let reply = reply.ok().and_then(Result::ok);
    let first_byte = reply
        .as_ref()
        .map_or(ended.saturating_sub(sent), |reply| reply.first_byte);
    let verdict = reply.map_or(Verdict::Unknown, |reply| {
        check_reply(&request.record.kind, &reply)
    });
    Outcome {
        request,
        sent,
        ended,
        first_byte,
        verdict,
    }
}

/// Tries each host once until one accepts the connection.
async fn send_to_any_host(
    balancer: &Balancer,
    request: &ScheduledRequest,
) -> Result<Reply, CallError> {
    let mut reply = send_to_host(balancer.next_target(), request).await;
    for _ in 1..balancer.targets.len() {
        if !matches!(reply, Err(CallError::Dial(_))) {
            break;
        }
        reply = send_to_host(balancer.next_target(), request).await;
    }
    reply
}

async fn send_to_host(target: SocketAddr, request: &ScheduledRequest) -> Result<Reply, CallError> {
    let caller = Caller::new(target).with_key(&format!("key-{}", request.record.team));
    match &request.record.kind {
        RequestKind::Chat { prompt, tokens, .. } => {
            let model = request.route.model.unwrap_or_default();
            caller.chat(model, prompt, *tokens, true).await
        }
        RequestKind::Call { method, target } => {
            caller.send(method.clone(), target, String::new()).await
        }
    }
}

fn check_reply(kind: &RequestKind, reply: &Reply) -> Verdict {
    if reply.status != 200 {
        return refusal_verdict(reply);
    }
    let matches_request = match kind {
        RequestKind::Chat { prompt, tokens, .. } => match reply.generated() {
            Some(text) => text == answer_text::text(prompt, *tokens),
            None => return Verdict::Unknown,
        },
        RequestKind::Call { method, target } => {
            reply.json()["booked"] == format!("{method} {target}")
        }
    };
    if matches_request {
        Verdict::Whole
    } else {
        Verdict::Wrong
    }
}

fn refusal_verdict(reply: &Reply) -> Verdict {
    let error = &reply.json()["error"];
    let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    match (field("execution").parse(), field("kind").parse()) {
        (Ok(Execution::NotRun), Ok(kind)) => Verdict::Refused(kind),
        _ => Verdict::Unknown,
    }
}
