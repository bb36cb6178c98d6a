//! Rate and burst limits of a team that uses several entries.

use std::time::Instant;

use comfreyhaven_harness::{Deployment, HarnessError, Plan, TeamPlan};
use comfreyhaven_standin::relay::Flow;
use tokio::task::JoinSet;

use crate::plans;
use crate::support::{execution, until};

const RATE: u64 = 400;
const BURST: u64 = 800;
const CALLERS: usize = 60;
const TOKENS: u32 = 32;
const ROUNDS: u32 = 3;

/// Creates the small deployment with a team that requests far more than its rate.
fn plan() -> Plan {
    plans::small().with_team(TeamPlan::new("greedy", RATE, BURST, &["plan"]))
}

/// Sends concurrent chats of one team to both entries. Returns the tokens of all successful
/// answers.
async fn spend(deployment: &Deployment, name: &str) -> Result<u64, HarnessError> {
    let mut calls = JoinSet::new();
    for index in 0..CALLERS {
        let caller = deployment.caller(index % 2, "key-greedy")?;
        let prompt = format!("{name} {index}");
        calls.spawn(async move { caller.chat("hive", &prompt, TOKENS, false).await });
    }
    let mut spent = 0;
    while let Some(call) = calls.join_next().await {
        let reply = call.expect("a call panicked")?;
        if reply.status == 200 {
            spent += reply.json()["usage"]["completion_tokens"]
                .as_u64()
                .unwrap_or(0);
        } else {
            assert_eq!(execution(&reply), "not_run", "{}", reply.body);
        }
    }
    Ok(spent)
}

/// Asserts that a team got no more tokens than its burst and its rate since `start`.
fn assert_within(spent: u64, start: Instant) {
    let refilled = RATE as f64 * start.elapsed().as_secs_f64();
    let limit = refilled + BURST as f64;
    assert!(
        spent as f64 <= limit,
        "spent {spent} tokens with a limit of {limit}"
    );
}

/// Sends chats until the team gets some tokens. Shares start empty, and they fill only after all
/// their holders are known.
async fn spend_some(
    deployment: &Deployment,
    name: &str,
    start: Instant,
) -> Result<u64, HarnessError> {
    let mut spent = 0;
    let mut round = 0;
    until(async || {
        round += 1;
        spent += spend(deployment, &format!("{name} {round}")).await?;
        assert_within(spent, start);
        Ok(spent > 0)
    })
    .await?;
    Ok(spent)
}

#[tokio::test]
async fn a_team_at_two_entries_gets_no_more_than_its_rate_and_burst() -> Result<(), HarnessError> {
    let start = Instant::now();
    let deployment = Deployment::start(plan()).await?;
    let mut spent = spend_some(&deployment, "first", start).await?;
    for round in 0..ROUNDS {
        spent += spend(&deployment, &format!("round {round}")).await?;
        assert_within(spent, start);
    }
    Ok(())
}

#[tokio::test]
async fn partitioned_entries_keep_a_team_within_its_rate() -> Result<(), HarnessError> {
    let start = Instant::now();
    let deployment = Deployment::start(plan().with_relays()).await?;
    let mut spent = spend_some(&deployment, "together", start).await?;
    for flow in [Flow::HoldBack, Flow::Cut, Flow::Pass] {
        for entry in 0..2 {
            deployment.entry_relay(entry).set_flow(flow);
        }
        for round in 0..ROUNDS {
            spent += spend(&deployment, &format!("{flow:?} {round}")).await?;
            assert_within(spent, start);
        }
    }
    Ok(())
}
