//! Logs must contain no API keys and no bodies of requests and answers.

use comfreyhaven_harness::{Deployment, HarnessError};
use hyper::Method;

use crate::plans;
use crate::support;

const KEY: &str = "key-kakheti";
const OTHER_KEY: &str = "key-of-nobody";
const PROMPT: &str = "eleven hives under the walnut tree";
const BOOKING: &str = "a bench for the widow of Telavi";

/// Logs of all agents and entries of the single plan.
const LOGS: [&str; 3] = ["entry-e1", "agent-engine-1", "agent-orders-1"];

async fn send_traffic(deployment: &Deployment) -> Result<String, HarnessError> {
    let caller = deployment.caller(0, KEY)?;
    let reply = caller.chat("hive", PROMPT, 12, true).await?;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let generated = reply.generated().expect("the answer is incomplete");
    let booked = caller.send(Method::POST, "/orders/slots", BOOKING.to_owned());
    assert_eq!(booked.await?.status, 200);
    // These are refused: an unknown key, a key in the body or path for an endpoint, and a body that
    // is not JSON.
    let unknown = deployment.caller(0, OTHER_KEY)?;
    assert_eq!(unknown.chat("hive", PROMPT, 4, true).await?.status, 401);
    let leaking = format!("{PROMPT} {KEY}");
    assert_eq!(caller.chat("hive", &leaking, 4, true).await?.status, 400);
    assert_eq!(caller.get(&format!("/orders/{KEY}")).await?.status, 400);
    let malformed = caller.send(Method::POST, "/v1/chat/completions", PROMPT.to_owned());
    assert_eq!(malformed.await?.status, 400);
    Ok(generated)
}

#[tokio::test]
async fn trace_logs_contain_no_keys_and_no_bodies() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single().with_log_filter("trace")).await?;
    let generated = send_traffic(&deployment).await?;
    for name in LOGS {
        let log = deployment.read_log(name)?;
        assert!(
            log.contains("configuration"),
            "the log of {name} does not mention the configuration"
        );
        for secret in [KEY, OTHER_KEY, PROMPT, BOOKING, &generated] {
            assert!(
                !log.contains(secret),
                "the log of {name} contains {secret:?}"
            );
        }
    }
    Ok(())
}

#[tokio::test]
async fn a_key_published_in_place_of_its_digest_is_not_logged() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single()).await?;
    let text = "[document]\nname = teams-1\ngeneration = 9\n\
        [team careless]\nrate = 1/s\nburst tokens = 1\nkeys = my-plain-key\n";
    deployment.publish_text("teams-1", text.to_owned()).await?;
    let is_reported = || async {
        let state = deployment.entry_state(0).await?.to_string();
        Ok(state.contains("team careless"))
    };
    support::until(is_reported).await?;
    for line in deployment.read_log("entry-e1")?.lines() {
        assert!(!line.contains("my-plain-key"), "{line}");
        let fields: serde_json::Value =
            serde_json::from_str(line).expect("a line is not one JSON object");
        for name in ["time", "level", "module", "event"] {
            assert!(
                fields.get(name).is_some(),
                "field {name} is missing: {line}"
            );
        }
    }
    let state = deployment.entry_state(0).await?.to_string();
    assert!(!state.contains("my-plain-key"));
    Ok(())
}
