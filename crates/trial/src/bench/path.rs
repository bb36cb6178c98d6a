//! What the path through one entry and one agent takes itself.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyhaven_harness::{
    Caller, Deployment, EndpointPlan, HarnessError, Plan, Reply, RoutePlan, TeamPlan,
};
use futures::future::join_all;
use hyper::Method;

use crate::error::TrialError;
use crate::fleet::Deployed;
use crate::table::quantile_ms;

/// Calls of each kind, one after another.
const CALLS: usize = 300;

/// Callers at once that find out how many requests a second pass.
const CALLERS: usize = 32;

/// How long they call.
const THROUGHPUT_TIME: Duration = Duration::from_secs(3);

/// Tokens of a timed answer.
const ANSWER_TOKENS: u32 = 4;

/// Tokens of an answer of the load beside the timed calls.
const BACKGROUND_TOKENS: u32 = 64;

/// Callers that keep the engine at about 0.7 of its batch of eight.
const BACKGROUND_CALLERS: usize = 5;

const TEAM: &str = "timing";

/// Measures added latency and requests a second, as a Markdown table.
pub(super) async fn measure(deployed: Deployed) -> Result<String, TrialError> {
    let deployment = Arc::new(Deployment::start(plan(deployed)).await?);
    let through = deployment.caller(0, &format!("key-{TEAM}"))?;
    let engine = direct(&deployment, 0).await?;
    let service = direct(&deployment, 1).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle = latency(&through, &engine, "idle").await?;
    let busy = {
        let load = (0..BACKGROUND_CALLERS).map(|index| background(through.clone(), index));
        let load: Vec<_> = load.map(tokio::spawn).collect();
        let busy = latency(&through, &engine, "busy").await;
        load.iter().for_each(tokio::task::JoinHandle::abort);
        busy?
    };
    let passed = throughput(&through).await;
    let bare = throughput(&service).await;
    let mut text = String::from(
        "### path of one entry and one agent\n\n| measure | direct | through | added |\n|---|---|---|---|\n",
    );
    for (name, times) in [("idle", idle), ("at 0.7", busy)] {
        text += &times.render(name);
    }
    let _ = writeln!(text, "| requests a second | {bare:.0} | {passed:.0} | - |");
    Ok(text)
}

fn plan(deployed: Deployed) -> Plan {
    let centre = deployed.centre_of(0);
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

/// A caller of an endpoint itself.
async fn direct(deployment: &Deployment, index: usize) -> Result<Caller, TrialError> {
    Ok(Caller::new(deployment.endpoint_address(index)?))
}

/// Times of calls made in turn, straight and through.
#[derive(Debug, Default)]
struct Times {
    direct: Vec<Reply>,
    through: Vec<Reply>,
}

impl Times {
    fn render(&self, name: &str) -> String {
        let mut text = String::new();
        for quantile in [0.5, 0.95] {
            let of = |replies: &[Reply], time: fn(&Reply) -> Duration| {
                quantile_ms(replies.iter().map(time), quantile)
            };
            let firsts = (
                of(&self.direct, |r| r.first_byte),
                of(&self.through, |r| r.first_byte),
            );
            let totals = (
                of(&self.direct, |r| r.total),
                of(&self.through, |r| r.total),
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

async fn latency(through: &Caller, direct: &Caller, name: &str) -> Result<Times, TrialError> {
    let mut times = Times::default();
    for index in 0..CALLS {
        let prompt = format!("{name} {index}");
        let reply = direct.chat("timed", &prompt, ANSWER_TOKENS, true).await;
        times.direct.push(reply.map_err(HarnessError::from)?);
        let reply = through.chat("timed", &prompt, ANSWER_TOKENS, true).await;
        times.through.push(reply.map_err(HarnessError::from)?);
    }
    Ok(times)
}

async fn background(caller: Caller, index: usize) {
    for number in 0_u64.. {
        let prompt = format!("background {index} {number}");
        let _ = caller.chat("timed", &prompt, BACKGROUND_TOKENS, true).await;
    }
}

/// Requests a second that some callers get answered.
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
    let counts = join_all((0..CALLERS).map(call).map(tokio::spawn)).await;
    let total: u32 = counts.into_iter().filter_map(Result::ok).sum();
    f64::from(total) / start.elapsed().as_secs_f64()
}
