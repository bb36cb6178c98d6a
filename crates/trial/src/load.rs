//! The load tool: sends requests at given times, whatever became of earlier ones, and says what
//! each caller got.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use comfreyhaven_core::refusal::{Execution, RefusalKind};
use comfreyhaven_harness::{CallError, Caller, Reply};
use comfreyhaven_standin::answer_text;
use futures::future::join_all;

use crate::fleet::{Deployed, RouteSpec};
use crate::trace::{Ask, Record};

/// How long a caller waits for an answer beyond its route's deadline.
const PATIENCE: Duration = Duration::from_secs(15);

/// A request with the time at which it is sent.
#[derive(Debug, Clone)]
pub struct Shot {
    /// Time since the start of the load.
    pub at: Duration,
    /// What is sent.
    pub record: Record,
    /// Its route.
    pub route: &'static RouteSpec,
}

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer to its own request.
    Whole,
    /// Something that looks whole and is not the answer to its request.
    Wrong,
    /// A refusal that says that the request did not run.
    Refused(RefusalKind),
    /// Anything else: a cut answer, a failure, or no word.
    Unknown,
}

/// One request after its end.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub shot: Shot,
    /// When it was sent, since the start of the load.
    pub sent: Duration,
    /// When it ended, since the start of the load.
    pub ended: Duration,
    /// Time from sending to the first byte of the answer.
    pub first: Duration,
    /// What came.
    pub verdict: Verdict,
}

impl Outcome {
    /// Time from sending to the end.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.ended.saturating_sub(self.sent)
    }

    /// Whether the whole answer came within its route's deadline.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.verdict == Verdict::Whole && self.total() <= self.shot.route.deadline
    }
}

/// A trace at its recorded times. Records of unknown routes are left out.
#[must_use]
pub fn as_recorded(deployed: Deployed, records: Vec<Record>) -> Vec<Shot> {
    let shot = |record: Record| {
        Some(Shot {
            at: Duration::from_millis(record.at_ms),
            route: deployed.route(&record.route)?,
            record,
        })
    };
    records.into_iter().filter_map(shot).collect()
}

/// The platform's balancer: spreads callers over the hosts that accept connections.
#[derive(Debug)]
pub struct Balancer {
    targets: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl Balancer {
    /// A balancer in front of some addresses.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>) -> Self {
        Self {
            targets,
            next: AtomicUsize::new(0),
        }
    }

    fn pick(&self) -> SocketAddr {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        self.targets[next % self.targets.len()]
    }
}

/// Sends every request at its time and waits until all have ended.
pub async fn run(balancer: Arc<Balancer>, shots: Vec<Shot>) -> Vec<Outcome> {
    let start = Instant::now();
    let send = |shot: Shot| {
        let balancer = Arc::clone(&balancer);
        tokio::spawn(async move {
            tokio::time::sleep_until((start + shot.at).into()).await;
            one(&balancer, shot, start).await
        })
    };
    let ended = join_all(shots.into_iter().map(send)).await;
    ended.into_iter().filter_map(Result::ok).collect()
}

async fn one(balancer: &Balancer, shot: Shot, start: Instant) -> Outcome {
    let sent = start.elapsed();
    let patience = shot.route.deadline + PATIENCE;
    let reply = tokio::time::timeout(patience, ask(balancer, &shot)).await;
    let ended = start.elapsed();
    let reply = reply.ok().and_then(Result::ok);
    let first = reply
        .as_ref()
        .map_or(ended.saturating_sub(sent), |reply| reply.first_byte);
    let verdict = reply.map_or(Verdict::Unknown, |reply| judge(&shot.record.ask, &reply));
    Outcome {
        shot,
        sent,
        ended,
        first,
        verdict,
    }
}

/// Asks one host after the other until one accepts the connection.
async fn ask(balancer: &Balancer, shot: &Shot) -> Result<Reply, CallError> {
    let mut reply = ask_once(balancer.pick(), shot).await;
    for _ in 1..balancer.targets.len() {
        if !matches!(reply, Err(CallError::Dial(_))) {
            break;
        }
        reply = ask_once(balancer.pick(), shot).await;
    }
    reply
}

async fn ask_once(target: SocketAddr, shot: &Shot) -> Result<Reply, CallError> {
    let caller = Caller::new(target).with_key(&format!("key-{}", shot.record.team));
    match &shot.record.ask {
        Ask::Chat { prompt, tokens, .. } => {
            let model = shot.route.model.unwrap_or_default();
            caller.chat(model, prompt, *tokens, true).await
        }
        Ask::Call { method, target } => caller.send(method.clone(), target, String::new()).await,
    }
}

fn judge(ask: &Ask, reply: &Reply) -> Verdict {
    if reply.status != 200 {
        return refused(reply);
    }
    let own = match ask {
        Ask::Chat { prompt, tokens, .. } => match reply.generated() {
            Some(text) => text == answer_text::text(prompt, *tokens),
            None => return Verdict::Unknown,
        },
        Ask::Call { method, target } => reply.json()["booked"] == format!("{method} {target}"),
    };
    if own { Verdict::Whole } else { Verdict::Wrong }
}

fn refused(reply: &Reply) -> Verdict {
    let error = &reply.json()["error"];
    let word = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    match (word("execution").parse(), word("kind").parse()) {
        (Ok(Execution::NotRun), Ok(kind)) => Verdict::Refused(kind),
        _ => Verdict::Unknown,
    }
}
