//! Distribution of the configuration: a process never returns to an older version, all processes
//! get the same version, and documents with faults are rejected.

use std::time::Duration;

use comfreyhaven_core::Generation;
use comfreyhaven_core::config_sync::Version;
use comfreyhaven_harness::{Deployment, EndpointPlan, HarnessError};
use serde_json::{Value, json};

use crate::plans;
use crate::support::{until, until_agent, until_entry};

/// A suspension that is long enough for the process to detect it.
const LONG_SUSPENSION: Duration = Duration::from_secs(2);

/// Reads a document from the configuration service.
async fn published_text(deployment: &Deployment, name: &str) -> Result<String, HarnessError> {
    let service = deployment.configuration_service()?;
    Ok(service.get(&format!("/values/{name}")).await?.body)
}

fn has_generation(document: &'static str, generation: u64) -> impl Fn(&Value) -> bool {
    move |state| state["generations"][document] == generation
}

async fn signal_all_but_first_entry(
    deployment: &mut Deployment,
    signal: &str,
) -> Result<(), HarnessError> {
    deployment.entry(1).signal(signal).await?;
    for agent in 0..3 {
        deployment.agent(agent).signal(signal).await?;
    }
    Ok(())
}

async fn until_all_have(
    deployment: &Deployment,
    document: &'static str,
    generation: u64,
) -> Result<(), HarnessError> {
    for entry in 0..2 {
        until_entry(deployment, entry, has_generation(document, generation)).await?;
    }
    for agent in 0..3 {
        until_agent(deployment, agent, has_generation(document, generation)).await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_restart_with_a_stale_service_does_not_return_to_an_older_version()
-> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let stale = published_text(&deployment, "teams-0").await?;
    deployment.plan_mut().set_keys("kakheti", &["key-new"]);
    deployment.publish().await?;
    deployment.wait_ready().await?;
    deployment.publish_text("teams-0", stale).await?;
    deployment.entry(0).kill().await?;
    deployment.restart_entry(0).await?;
    let withdrawn = deployment.caller(0, "key-kakheti")?;
    let issued = deployment.caller(0, "key-new")?;
    until(async || {
        assert_ne!(withdrawn.get("/orders/status/1").await?.status, 200);
        Ok(issued.get("/orders/status/1").await?.status == 200)
    })
    .await?;
    assert_eq!(withdrawn.get("/orders/status/1").await?.status, 401);
    until_all_have(&deployment, "teams-0", 2).await
}

#[tokio::test]
async fn peers_distribute_a_change_while_the_service_is_down() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    signal_all_but_first_entry(&mut deployment, "STOP").await?;
    deployment.plan_mut().set_keys("kakheti", &["key-new"]);
    deployment.publish().await?;
    until_entry(&deployment, 0, |state| {
        has_generation("teams-0", 2)(state)
            && has_generation("fleet", 2)(state)
            && has_generation("routes", 2)(state)
    })
    .await?;
    deployment.set_configuration_mode("down").await?;
    signal_all_but_first_entry(&mut deployment, "CONT").await?;
    until_all_have(&deployment, "teams-0", 2).await?;
    let withdrawn = deployment.caller(1, "key-kakheti")?;
    assert_eq!(withdrawn.get("/orders/status/1").await?.status, 401);
    Ok(())
}

#[tokio::test]
async fn a_process_starts_from_its_peers_while_the_service_is_down() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    deployment.set_configuration_mode("down").await?;
    let peer = deployment.entry(1).port("control")?;
    deployment.entry(0).kill().await?;
    deployment.set_peers(&[peer]);
    deployment.restart_entry(0).await?;
    deployment.wait_ready().await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    assert_eq!(caller.get("/orders/status/1").await?.status, 200);
    Ok(())
}

#[tokio::test]
async fn concurrent_publications_converge_to_one_text() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let next = published_text(&deployment, "teams-0")
        .await?
        .replace("generation = 1", "generation = 2");
    let mut texts = ["key-one", "key-two"].map(|key| {
        let digest = comfreyhaven_core::KeyDigest::of_key(key);
        next.replace("keys = ", &format!("keys = {digest}, "))
    });
    let version = |text: &String| Version::new(Generation(2), text);
    // The text with the higher version is published first, so that the test fails if processes take
    // the text that was published last.
    texts.sort_by_key(|text| std::cmp::Reverse(version(text)));
    let [higher, lower] = texts;
    let expected = version(&higher).to_string();
    deployment.entry(1).signal("STOP").await?;
    deployment.publish_text("teams-0", higher).await?;
    until_entry(&deployment, 0, has_generation("teams-0", 2)).await?;
    deployment.publish_text("teams-0", lower).await?;
    deployment.entry(1).signal("CONT").await?;
    let is_expected =
        |state: &Value| state["configuration"]["versions"]["teams-0"] == expected.as_str();
    for entry in 0..2 {
        until_entry(&deployment, entry, is_expected).await?;
    }
    for agent in 0..3 {
        until_agent(&deployment, agent, is_expected).await?;
    }
    until_entry(&deployment, 0, |state| {
        state["configuration"]["conflicts"] == json!(["teams-0"])
    })
    .await
}

#[tokio::test]
async fn a_faulty_document_is_rejected_while_others_apply() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let routes = published_text(&deployment, "routes").await?;
    let faulty = routes
        .replace("generation = 1", "generation = 2")
        .replace("tier = high", "tier = hihg");
    let malformed = routes
        .replace("generation = 1", "generation = 3")
        .replace("service = orders", "sevrice = orders");
    deployment.publish_text("routes", faulty).await?;
    deployment.publish_text("routes", malformed).await?;
    let teams = published_text(&deployment, "teams-0").await?;
    let teams = teams.replace("generation = 1", "generation = 2");
    deployment.publish_text("teams-0", teams).await?;
    until_all_have(&deployment, "teams-0", 2).await?;
    for entry in 0..2 {
        let has_problems = |state: &Value| state["configuration"]["problems"] != json!([]);
        until_entry(&deployment, entry, has_problems).await?;
        let state = deployment.entry_state(entry).await?;
        assert_eq!(state["generations"]["routes"], 1);
    }
    let caller = deployment.caller(0, "key-kakheti")?;
    assert_eq!(caller.get("/orders/status/1").await?.status, 200);
    deployment.entry(0).signal("TERM").await?;
    assert!(deployment.entry(0).wait().await?.success());
    Ok(())
}

#[tokio::test]
async fn a_withdrawn_key_stops_waiting_requests() -> Result<(), HarnessError> {
    let engine = EndpointPlan::new_engine("engine-1", "tb1", "hive")
        .with_capacity(1, 1)
        .with_argument("step-us", 10_000);
    let mut deployment = Deployment::start(plans::one_engine(engine)).await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let call = |prompt: &'static str, tokens| {
        let caller = caller.clone();
        tokio::spawn(async move { caller.chat("hive", prompt, tokens, true).await })
    };
    let running = call("runs before the key is withdrawn", 500);
    until_entry(&deployment, 0, |state| state["dispatched"] == 1).await?;
    let waiting = call("waits when the key is withdrawn", 1);
    until_entry(&deployment, 0, |state| state["waiting"] == 1).await?;
    deployment.plan_mut().set_keys("kakheti", &["key-new"]);
    deployment.publish().await?;
    until_entry(&deployment, 0, has_generation("teams-0", 2)).await?;
    assert_eq!(deployment.entry_state(0).await?["dispatched"], 1);
    let refused = waiting.await.expect("the call panicked")?;
    assert_eq!(refused.status, 401, "{}", refused.body);
    assert_eq!(refused.json()["error"]["execution"], "not_run");
    let completed = running.await.expect("the call panicked")?;
    assert!(completed.generated().is_some(), "{}", completed.body);
    let calls = deployment.get_from_endpoint(0, "/seen").await?.body;
    assert!(!calls.contains("waits when"), "{calls}");
    Ok(())
}

#[tokio::test]
async fn a_resumed_entry_rejects_a_key_that_was_withdrawn_during_its_suspension()
-> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    deployment.entry(1).signal("STOP").await?;
    let caller = deployment.caller(1, "key-kakheti")?;
    let call = tokio::spawn(async move { caller.get("/orders/status/withdrawn").await });
    deployment.plan_mut().set_keys("kakheti", &["key-new"]);
    deployment.publish().await?;
    until_entry(&deployment, 0, has_generation("teams-0", 2)).await?;
    tokio::time::sleep(LONG_SUSPENSION).await;
    deployment.entry(1).signal("CONT").await?;
    let reply = call.await.expect("the call panicked")?;
    let log = deployment.read_log("entry-e2")?;
    assert_eq!(reply.status, 401, "{}\n{log}", reply.body);
    let counts = deployment.get_from_endpoint(2, "/counts").await?.json();
    assert_eq!(counts, json!({}));
    Ok(())
}
