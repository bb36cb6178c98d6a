//! Measures the latency that one entry and one agent add to a request, and their throughput.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyhaven_harness::{
    Caller, Deployment, EndpointPlan, HarnessError, Plan, Reply, RoutePlan, TeamPlan,
};
use futures::future::join_all;
use hyper::Method;

use crate::error::TrialError;
use crate::fleet::SampleFleet;
use crate::table::quantile_ms;

/// Number of sequential calls with and without entry and agent.
const TIMED_CALLS: usize = 300;

/// Number of concurrent callers in the throughput measurement.
const THROUGHPUT_CALLERS: usize = 32;

/// Duration of the throughput measurement.
const THROUGHPUT_TIME: Duration = Duration::from_secs(3);

/// Limit of a timed answer in tokens.
const ANSWER_TOKENS: u32 = 4;

/// Limit of an answer of the background load in tokens.
const BACKGROUND_TOKENS: u32 = 64;

/// Number of background callers; five keep the engine at about 0.7 of its batch of eight.
const BACKGROUND_CALLERS: usize = 5;

const TEAM: &str = "timing";

/// Measures added latency and throughput and formats them as a Markdown table.
pub(super) async fn measure(fleet: SampleFleet) -> Result<String, TrialError> {
    let deployment = Arc::new(Deployment::start(plan(fleet)).await?);
    let through = deployment.caller(0, &format!("key-{TEAM}"))?;
    let engine = endpoint_caller(&deployment, 0).await?;
    let service = endpoint_caller(&deployment, 1).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle = latency(&through, &engine, "idle").await?;
    let busy = {
        let load = (0..BACKGROUND_CALLERS).map(|index| run_background(through.clone(), index));
        let load: Vec<_> = load.map(tokio::spawn).collect();
        let busy = latency(&through, &engine, "busy").await;
        load.iter().for_each(tokio::task::JoinHandle::abort);
        busy?
    };
    let through_rate = throughput(&through).await;
    let direct_rate = throughput(&service).await;
    let mut text = String::from(
        "### path of one entry and one agent\n\n| measure | direct | through | added |\n|---|---|---|---|\n",
    );
    for (name, replies) in [("idle", idle), ("at 0.7", busy)] {
        text += &replies.render(name);
    }
    let _ = writeln!(
        text,
        "| requests a second | {direct_rate:.0} | {through_rate:.0} | - |"
    );
    Ok(text)
}

fn plan(fleet: SampleFleet) -> Plan {
    let centre = fleet.centre_of(0);
    let engine = EndpointPlan::new_engine("engine-1", centre, "timed")
        .with_capacity(16, 16)
        .with_argument("cold", 64)
        .with_argument("bearing", 64)
        .with_argument("batch", 8);
    let service = EndpointPlan::new_service("desk-1", centre, "desk")
        .with_capacity(64, 64)
        .with_argument("delay-ms", 0);
    Plan::new()
        .with_centre(centre)
        .with_entry("entry-1", centre)
        .with_endpoint(engine)
        .with_endpoint(service)
        .with_route(RoutePlan::new_model("timed", "timed", "high"))
        .with_route(RoutePlan::new_service("desk", "/desk/", "desk", "high"))
        .with_team(TeamPlan::new(
            TEAM,
            10_000_000,
            10_000_000,
            &["timed", "desk"],
        ))
}

/// Creates a caller that connects to an endpoint without entry and agent.
async fn endpoint_caller(deployment: &Deployment, index: usize) -> Result<Caller, TrialError> {
    Ok(Caller::new(deployment.endpoint_address(index)?))
}

/// Replies to alternating calls, directly to the endpoint and through entry and agent.
#[derive(Debug, Default)]
struct PairedReplies {
    direct: Vec<Reply>,
    through: Vec<Reply>,
}

impl PairedReplies {
    fn render(&self, name: &str) -> String {
        let mut text = String::new();
        for quantile in [0.5, 0.95] {
            let quantile_of = |replies: &[Reply], time: fn(&Reply) -> Duration| {
                quantile_ms(replies.iter().map(time), quantile)
            };
            let firsts = (
                quantile_of(&self.direct, |r| r.first_byte),
                quantile_of(&self.through, |r| r.first_byte),
            );
            let totals = (
                quantile_of(&self.direct, |r| r.total),
                quantile_of(&self.through, |r| r.total),
            );
            for (what, (direct, through)) in [("first token", firsts), ("total", totals)] {
                let added = through - direct;
                let _ = writeln!(
                    text,
                    "| {what} {name}, quantile {quantile} | {direct:.2} ms | {through:.2} ms | {added:.2} ms |"
                );
            }
        }
        text
    }
}

async fn latency(
    through: &Caller,
    direct: &Caller,
    name: &str,
) -> Result<PairedReplies, TrialError> {
    let mut replies = PairedReplies::default();
    for index in 0..TIMED_CALLS {
        let prompt = format!("{name} {index}");
        let reply = direct.chat("timed", &prompt, ANSWER_TOKENS, true).await;
        replies.direct.push(reply.map_err(HarnessError::from)?);
        let reply = through.chat("timed", &prompt, ANSWER_TOKENS, true).await;
        replies.through.push(reply.map_err(HarnessError::from)?);
    }
    Ok(replies)
}

async fn run_background(caller: Caller, index: usize) {
    for number in 0_u64.. {
        let prompt = format!("background {index} {number}");
        let _ = caller.chat("timed", &prompt, BACKGROUND_TOKENS, true).await;
    }
}

/// Returns the successful requests per second of [`THROUGHPUT_CALLERS`] concurrent callers.
async fn throughput(caller: &Caller) -> f64 {
    let start = Instant::now();
    let call = |index: usize| {
        let caller = caller.clone();
        async move {
            let mut count = 0_u32;
            while start.elapsed() < THROUGHPUT_TIME {
                let target = format!("/desk/{index}/{count}");
                let reply = caller.send(Method::GET, &target, String::new()).await;
                count += u32::from(reply.is_ok_and(|reply| reply.status == 200));
            }
            count
        }
    };
    let counts = join_all((0..THROUGHPUT_CALLERS).map(call).map(tokio::spawn)).await;
    let total: u32 = counts.into_iter().filter_map(Result::ok).sum();
    f64::from(total) / start.elapsed().as_secs_f64()
}
