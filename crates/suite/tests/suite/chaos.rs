//! Concurrent callers during faults that are chosen by seed. Timing differs between runs, but the
//! checked invariants hold for every timing.

use std::collections::BTreeMap;

use comfreyhaven_harness::{CallError, Deployment, HarnessError, Reply};
use comfreyhaven_standin::answer_text;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use strum::{EnumIter, IntoEnumIterator};
use tokio::task::JoinSet;

use crate::plans;
use crate::support::execution;

const CHATS: u32 = 60;
const TOKENS: u32 = 120;
const BOOKINGS: u32 = 20;
const FAULTS: u32 = 6;

#[derive(Debug, Clone, Copy, EnumIter)]
enum Fault {
    AgentKilled,
    AgentReplaced,
    AgentSuspended,
    EngineCrashed,
    ConfigurationDown,
    EntrySuspended,
}

/// The request of one caller and its outcome.
struct Exchange {
    prompt: String,
    outcome: Result<Reply, CallError>,
}

#[tokio::test]
async fn no_request_runs_twice_and_no_refusal_misstates_execution_during_faults()
-> Result<(), HarnessError> {
    for seed in [3, 17] {
        println!("seed {seed}");
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut deployment = Deployment::start(plans::pair()).await?;
        let mut calls = start_calls(&deployment)?;
        for _ in 0..FAULTS {
            let faults: Vec<_> = Fault::iter().collect();
            let fault = *faults.choose(&mut random).expect("there is no fault");
            inject_fault(&mut deployment, fault, random.random_range(0..2)).await?;
        }
        let mut exchanges = Vec::new();
        while let Some(call) = calls.join_next().await {
            exchanges.push(call.expect("a call panicked"));
        }
        check(&deployment, &exchanges).await?;
    }
    Ok(())
}

fn start_calls(deployment: &Deployment) -> Result<JoinSet<Exchange>, HarnessError> {
    let mut calls = JoinSet::new();
    for index in 0..CHATS {
        let caller = deployment.caller(0, "key-kakheti")?;
        calls.spawn(async move {
            let prompt = format!("plan {index}");
            let outcome = caller.chat("hive", &prompt, TOKENS, index % 2 == 0).await;
            Exchange { prompt, outcome }
        });
    }
    for index in 0..BOOKINGS {
        let caller = deployment.caller(0, "key-kakheti")?;
        calls.spawn(async move {
            let prompt = format!("/orders/book/{index}");
            let outcome = caller.get(&prompt).await;
            Exchange { prompt, outcome }
        });
    }
    Ok(calls)
}

async fn inject_fault(
    deployment: &mut Deployment,
    fault: Fault,
    index: usize,
) -> Result<(), HarnessError> {
    println!("{fault:?} {index}");
    let delay = comfreyhaven_core::agent::OFFER_LIFETIME / 5;
    match fault {
        Fault::AgentKilled => {
            deployment.agent(index).kill().await?;
            tokio::time::sleep(delay).await;
            deployment.restart_agent(index).await?;
        }
        Fault::AgentReplaced => {
            deployment.agent(index).signal("TERM").await?;
            deployment.agent(index).wait().await?;
            deployment.restart_agent(index).await?;
        }
        Fault::AgentSuspended => {
            deployment.agent(index).signal("STOP").await?;
            tokio::time::sleep(delay * 7).await;
            deployment.agent(index).signal("CONT").await?;
        }
        Fault::EngineCrashed => deployment.crash_engine(index).await?,
        Fault::ConfigurationDown => {
            deployment.set_configuration_mode("down").await?;
            tokio::time::sleep(delay).await;
            deployment.set_configuration_mode("up").await?;
        }
        Fault::EntrySuspended => {
            deployment.entry(0).signal("STOP").await?;
            tokio::time::sleep(delay * 7).await;
            deployment.entry(0).signal("CONT").await?;
        }
    }
    tokio::time::sleep(delay).await;
    Ok(())
}

async fn check(deployment: &Deployment, exchanges: &[Exchange]) -> Result<(), HarnessError> {
    let runs = count_runs(deployment).await?;
    for (request, count) in &runs {
        assert_eq!(
            *count, 1,
            "request {request} reached endpoints {count} times"
        );
    }
    let counts = deployment.get_from_endpoint(2, "/counts").await?.json();
    for Exchange { prompt, outcome } in exchanges {
        let booked = counts[format!("GET {prompt}")].as_u64().unwrap_or(0);
        assert!(booked <= 1, "{prompt} was booked {booked} times");
        let Ok(reply) = outcome else { continue };
        if reply.status != 200 {
            let request = reply.request_id.clone().unwrap_or_default();
            let ran = runs.contains_key(&request);
            assert!(
                !(ran && execution(reply) == "not_run"),
                "{request} ran: {}",
                reply.body
            );
        } else if prompt.starts_with('/') {
            assert_eq!(reply.json()["booked"], format!("GET {prompt}"));
            assert_eq!(booked, 1);
        } else if let Some(text) = reply.generated() {
            assert_eq!(text, answer_text::text(prompt, TOKENS));
        }
    }
    let complete = exchanges
        .iter()
        .filter(|exchange| is_complete(exchange))
        .count();
    assert!(complete > 0, "no answer was complete");
    Ok(())
}

fn is_complete(exchange: &Exchange) -> bool {
    let Ok(reply) = &exchange.outcome else {
        return false;
    };
    reply.status == 200 && (exchange.prompt.starts_with('/') || reply.generated().is_some())
}

/// Counts how often each request reached an endpoint.
async fn count_runs(deployment: &Deployment) -> Result<BTreeMap<String, u32>, HarnessError> {
    let mut runs = BTreeMap::new();
    for index in 0..3 {
        let calls = deployment.get_from_endpoint(index, "/seen").await?.json();
        for call in calls.as_array().into_iter().flatten() {
            let headers = call["headers"].as_array().into_iter().flatten();
            let ids = headers.filter(|header| header[0] == "x-comfreyhaven-request");
            for id in ids.filter_map(|header| header[1].as_str()) {
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
    }
    Ok(runs)
}
