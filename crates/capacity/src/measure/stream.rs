//! Memory and time of open streams through an entry process and an agent process.

use std::time::{Duration, Instant};

use comfreyhaven_harness::{Caller, Deployment, EndpointPlan, Plan, RoutePlan, TeamPlan};
use tokio::task::JoinSet;

use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::fit::Point;
use crate::gauge;

/// Number of concurrent streams in each round, and the seconds in which tokens are counted.
const ROUNDS: [(u32, u64); 4] = [(50, 1), (100, 2), (200, 3), (300, 4)];

/// Number of concurrent streams that the engine can handle.
const ENGINE_CAPACITY: u32 = 400;

/// Length of each answer in tokens, long enough for all streams to be open at the same time.
const ANSWER_TOKENS: u32 = 600;

/// Time of a decode step with one sequence, in microseconds.
const DECODE_STEP_US: u64 = 5_000;

/// Number of further sequences with which a decode step of the engine takes twice as long.
const DOUBLING_SEQUENCES: f64 = 16.0;

const AMPLE_TOKENS: u64 = 1_000_000_000;

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure(findings))
}

fn plan() -> Plan {
    let engine = EndpointPlan::new_engine("engine-1", "tb1", "hive")
        .with_capacity(ENGINE_CAPACITY, ENGINE_CAPACITY)
        .with_argument("step-us", DECODE_STEP_US)
        .with_argument("batch", u64::from(ENGINE_CAPACITY))
        .with_argument("cold", u64::from(ENGINE_CAPACITY))
        .with_argument("bearing", u64::from(ENGINE_CAPACITY));
    Plan::new()
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_endpoint(engine)
        .with_route(
            RoutePlan::new_model("plan", "hive", "high").with_value("output tokens", "1000000"),
        )
        .with_team(TeamPlan::new(
            "kakheti",
            AMPLE_TOKENS,
            AMPLE_TOKENS,
            &["plan"],
        ))
}

async fn measure(findings: &mut Findings) -> Result<(), CapacityError> {
    let (mut entry, mut agent) = (ProcessUsage::default(), ProcessUsage::default());
    for (count, seconds) in ROUNDS {
        let mut deployment = Deployment::start(plan()).await?;
        let mut streams = JoinSet::new();
        for number in 0..count {
            let caller = deployment.caller(0, "key-kakheti")?;
            streams.spawn(read_stream(caller, number));
        }
        while deployment.entry_state(0).await?["dispatched"] != count {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let entry_pid = deployment.entry(0).id().unwrap_or_default();
        let agent_pid = deployment.agent(0).id().unwrap_or_default();
        let before = (
            gauge::core_micros(entry_pid)?,
            gauge::core_micros(agent_pid)?,
        );
        let start = Instant::now();
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        let tokens = generated_tokens(count, start.elapsed());
        entry.add(count, tokens, before.0, entry_pid)?;
        agent.add(count, tokens, before.1, agent_pid)?;
        streams.shutdown().await;
    }
    findings.add_slope(Cost::EntryStream, "open stream", entry.memory);
    findings.add_slope(Cost::AgentStream, "open stream", agent.memory);
    findings.add_slope(Cost::EntryToken, "token passed on", entry.time);
    findings.add_slope(Cost::AgentToken, "token passed on", agent.time);
    Ok(())
}

/// Returns the number of tokens that the engine generates for `streams` concurrent streams in
/// `time`.
fn generated_tokens(streams: u32, time: Duration) -> f64 {
    let streams = f64::from(streams);
    let step = DECODE_STEP_US as f64 * (1.0 + (streams - 1.0) / DOUBLING_SEQUENCES);
    streams * gauge::micros(time) / step
}

/// Memory and processor time of a process in each round.
#[derive(Default)]
struct ProcessUsage {
    memory: Vec<Point>,
    time: Vec<Point>,
}

impl ProcessUsage {
    fn add(
        &mut self,
        streams: u32,
        tokens: f64,
        before: f64,
        pid: u32,
    ) -> Result<(), CapacityError> {
        self.memory.push(Point {
            size: f64::from(streams),
            cost: gauge::resident_bytes(pid)?,
        });
        self.time.push(Point {
            size: tokens,
            cost: gauge::core_micros(pid)? - before,
        });
        Ok(())
    }
}

/// Requests a long answer and reads it until the measurement ends.
async fn read_stream(caller: Caller, number: u32) {
    // The prompt is too short to need any prefill.
    let prompt = number.to_string();
    let _ = caller.chat("hive", &prompt, ANSWER_TOKENS, true).await;
}
