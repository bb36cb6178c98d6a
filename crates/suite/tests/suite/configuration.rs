//! Configuration: never back, everywhere, and without what is faulty.

use std::time::Duration;

use comfreyhaven_core::Generation;
use comfreyhaven_core::spread::Version;
use comfreyhaven_harness::{Deployment, EndpointPlan, HarnessError};
use serde_json::{Value, json};

use crate::plans;
use crate::support::{until, until_agent, until_entry};

/// A pause that the process must notice.
const LONG_PAUSE: Duration = Duration::from_secs(2);

/// The text that the configuration service shows under a name.
async fn published(deployment: &Deployment, name: &str) -> Result<String, HarnessError> {
    let service = deployment.configuration_service()?;
    Ok(service.get(&format!("/values/{name}")).await?.body)
}

fn has(document: &'static str, generation: u64) -> impl Fn(&Value) -> bool {
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

async fn all_have(
    deployment: &Deployment,
    document: &'static str,
    generation: u64,
) -> Result<(), HarnessError> {
    for entry in 0..2 {
        until_entry(deployment, entry, has(document, generation)).await?;
    }
    for agent in 0..3 {
        until_agent(deployment, agent, has(document, generation)).await?;
    }
    Ok(())
}

#[tokio::test]
async fn a_restart_behind_a_stale_service_does_not_go_back() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let stale = published(&deployment, "teams-0").await?;
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
    all_have(&deployment, "teams-0", 2).await
}

#[tokio::test]
async fn peers_pass_on_a_change_that_the_service_no_longer_shows() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    signal_all_but_first_entry(&mut deployment, "STOP").await?;
    deployment.plan_mut().set_keys("kakheti", &["key-new"]);
    deployment.publish().await?;
    until_entry(&deployment, 0, |state| {
        has("teams-0", 2)(state) && has("fleet", 2)(state) && has("routes", 2)(state)
    })
    .await?;
    deployment.set_configuration_mode("down").await?;
    signal_all_but_first_entry(&mut deployment, "CONT").await?;
    all_have(&deployment, "teams-0", 2).await?;
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
async fn two_operators_at_once_end_in_one_text_everywhere() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let next = published(&deployment, "teams-0")
        .await?
        .replace("generation = 1", "generation = 2");
    let mut texts = ["key-one", "key-two"].map(|key| {
        let digest = comfreyhaven_core::KeyDigest::of_key(key);
        next.replace("keys = ", &format!("keys = {digest}, "))
    });
    let version = |text: &String| Version::new(Generation(2), text);
    // The text that wins is published first, so that taking the last one would show.
    texts.sort_by_key(|text| std::cmp::Reverse(version(text)));
    let [wins, loses] = texts;
    let expected = version(&wins).to_string();
    deployment.entry(1).signal("STOP").await?;
    deployment.publish_text("teams-0", wins).await?;
    until_entry(&deployment, 0, has("teams-0", 2)).await?;
    deployment.publish_text("teams-0", loses).await?;
    deployment.entry(1).signal("CONT").await?;
    let same = |state: &Value| state["configuration"]["versions"]["teams-0"] == expected.as_str();
    for entry in 0..2 {
        until_entry(&deployment, entry, same).await?;
    }
    for agent in 0..3 {
        until_agent(&deployment, agent, same).await?;
    }
    until_entry(&deployment, 0, |state| {
        state["configuration"]["conflicts"] == json!(["teams-0"])
    })
    .await
}

#[tokio::test]
async fn a_faulty_document_is_kept_out_while_others_apply() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let routes = published(&deployment, "routes").await?;
    let faulty = routes
        .replace("generation = 1", "generation = 2")
        .replace("tier = high", "tier = hihg");
    let malformed = routes
        .replace("generation = 1", "generation = 3")
        .replace("service = orders", "sevrice = orders");
    deployment.publish_text("routes", faulty).await?;
    deployment.publish_text("routes", malformed).await?;
    let teams = published(&deployment, "teams-0").await?;
    let teams = teams.replace("generation = 1", "generation = 2");
    deployment.publish_text("teams-0", teams).await?;
    all_have(&deployment, "teams-0", 2).await?;
    for entry in 0..2 {
        let shown = |state: &Value| state["configuration"]["problems"] != json!([]);
        until_entry(&deployment, entry, shown).await?;
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
async fn a_withdrawn_key_stops_requests_that_wait() -> Result<(), HarnessError> {
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
    until_entry(&deployment, 0, has("teams-0", 2)).await?;
    assert_eq!(deployment.entry_state(0).await?["dispatched"], 1);
    let refused = waiting.await.expect("the call does not panic")?;
    assert_eq!(refused.status, 401, "{}", refused.body);
    assert_eq!(refused.json()["error"]["execution"], "not_run");
    let whole = running.await.expect("the call does not panic")?;
    assert!(whole.generated().is_some(), "{}", whole.body);
    let seen = deployment.get_from_endpoint(0, "/seen").await?.body;
    assert!(!seen.contains("waits when"), "{seen}");
    Ok(())
}

#[tokio::test]
async fn a_woken_entry_runs_nothing_under_a_key_withdrawn_meanwhile() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    deployment.entry(1).signal("STOP").await?;
    let caller = deployment.caller(1, "key-kakheti")?;
    let call = tokio::spawn(async move { caller.get("/orders/status/withdrawn").await });
    deployment.plan_mut().set_keys("kakheti", &["key-new"]);
    deployment.publish().await?;
    until_entry(&deployment, 0, has("teams-0", 2)).await?;
    tokio::time::sleep(LONG_PAUSE).await;
    deployment.entry(1).signal("CONT").await?;
    let reply = call.await.expect("the call does not panic")?;
    let log = deployment.read_log("entry-e2")?;
    assert_eq!(reply.status, 401, "{}\n{log}", reply.body);
    let counts = deployment.get_from_endpoint(2, "/counts").await?.json();
    assert_eq!(counts, json!({}));
    Ok(())
}
