//! Open streams through whole processes: a caller, an entry, an agent and an engine.

use std::time::{Duration, Instant};

use comfreyhaven_harness::{Caller, Deployment, EndpointPlan, Plan, RoutePlan, TeamPlan};
use tokio::task::JoinSet;

use crate::error::CapacityError;
use crate::fit::Point;
use crate::gauge;
use crate::series::{Cost, Findings};

/// Streams open at once in each round, and the seconds in which tokens are counted.
const ROUNDS: [(u32, u64); 4] = [(50, 1), (100, 2), (200, 3), (300, 4)];

/// Streams that the engine bears.
const BEARING: u32 = 400;

/// Tokens of each answer: enough for all streams to be open together.
const ANSWER_TOKENS: u32 = 600;

/// Time of a decoding step of one sequence, in microseconds.
const STEP_MICROS: u64 = 5_000;

/// Sequences that make a decoding step of the engine twice as long.
const STEP_BATCH: f64 = 16.0;

const PLENTY: u64 = 1_000_000_000;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure(findings))
}

fn plan() -> Plan {
    let engine = EndpointPlan::new_engine("engine-1", "tb1", "hive")
        .with_capacity(BEARING, BEARING)
        .with_argument("step-us", STEP_MICROS)
        .with_argument("batch", u64::from(BEARING))
        .with_argument("cold", u64::from(BEARING))
        .with_argument("bearing", u64::from(BEARING));
    Plan::new()
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_endpoint(engine)
        .with_route(
            RoutePlan::new_model("plan", "hive", "high").with_value("output tokens", "1000000"),
        )
        .with_team(TeamPlan::new("kakheti", PLENTY, PLENTY, &["plan"]))
}

async fn measure(findings: &mut Findings) -> Result<(), CapacityError> {
    let (mut entry, mut agent) = (Usage::default(), Usage::default());
    for (count, seconds) in ROUNDS {
        let mut deployment = Deployment::start(plan()).await?;
        let mut streams = JoinSet::new();
        for number in 0..count {
            let caller = deployment.caller(0, "key-kakheti")?;
            streams.spawn(hold(caller, number));
        }
        while deployment.entry_state(0).await?["dispatched"] != count {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let entry_id = deployment.entry(0).id().unwrap_or_default();
        let agent_id = deployment.agent(0).id().unwrap_or_default();
        let before = (gauge::core_micros(entry_id)?, gauge::core_micros(agent_id)?);
        let start = Instant::now();
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        let tokens = tokens(count, start.elapsed());
        entry.add(count, tokens, before.0, entry_id)?;
        agent.add(count, tokens, before.1, agent_id)?;
        streams.shutdown().await;
    }
    findings.add(Cost::EntryStream, "open stream", entry.memory);
    findings.add(Cost::AgentStream, "open stream", agent.memory);
    findings.add(Cost::EntryToken, "token passed on", entry.time);
    findings.add(Cost::AgentToken, "token passed on", agent.time);
    Ok(())
}

/// Tokens that the engine generates for `streams` in a time.
fn tokens(streams: u32, time: Duration) -> f64 {
    let streams = f64::from(streams);
    let step = STEP_MICROS as f64 * (1.0 + (streams - 1.0) / STEP_BATCH);
    streams * gauge::micros(time) / step
}

/// What a process took in each round.
#[derive(Default)]
struct Usage {
    memory: Vec<Point>,
    time: Vec<Point>,
}

impl Usage {
    fn add(
        &mut self,
        streams: u32,
        tokens: f64,
        before: f64,
        id: u32,
    ) -> Result<(), CapacityError> {
        self.memory.push(Point {
            size: f64::from(streams),
            cost: gauge::resident_bytes(id)?,
        });
        self.time.push(Point {
            size: tokens,
            cost: gauge::core_micros(id)? - before,
        });
        Ok(())
    }
}

/// Asks for a long answer and reads it until the measurement ends.
async fn hold(caller: Caller, number: u32) {
    // So short that the engine has nothing to prefill.
    let prompt = number.to_string();
    let _ = caller.chat("hive", &prompt, ANSWER_TOKENS, true).await;
}
