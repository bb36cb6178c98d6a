//! The path of a request from the caller through entry and agent to the endpoint, and of its
//! answer.

use comfreyhaven_harness::{Caller, Deployment, HarnessError};
use comfreyhaven_standin::answer_text;

use crate::plans;

#[tokio::test]
async fn each_caller_gets_the_complete_answer_to_its_own_request() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::small()).await?;
    for (index, stream) in [(0, true), (1, true), (0, false), (1, false)] {
        let prompt = format!("a stand for {index} hives on a slope, streamed: {stream}");
        let reply = deployment
            .caller(index, "key-kakheti")?
            .chat("hive", &prompt, 24, stream)
            .await?;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.generated(), Some(answer_text::text(&prompt, 24)));
    }
    Ok(())
}

#[tokio::test]
async fn a_call_to_a_plain_service_runs_once_and_is_answered() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::small()).await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let reply = caller.get("/orders/status/17?lang=ka").await?;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.json()["booked"], "GET /orders/status/17?lang=ka");
    let counts = deployment.get_from_endpoint(2, "/counts").await?.json();
    assert_eq!(counts["GET /orders/status/17?lang=ka"], 1);
    Ok(())
}

#[tokio::test]
async fn a_request_without_a_valid_key_does_not_run() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::small()).await?;
    let unknown = deployment.caller(0, "key-nobody")?;
    let reply = unknown.chat("hive", "hello", 4, true).await?;
    assert_eq!(reply.status, 401);
    assert_eq!(reply.json()["error"]["execution"], "not_run");
    assert_eq!(
        deployment.get_from_endpoint(0, "/seen").await?.json(),
        serde_json::json!([])
    );
    Ok(())
}

#[tokio::test]
async fn an_open_route_needs_no_key() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let caller = Caller::new(deployment.entry(0).port("listen")?);
    assert_eq!(caller.get("/public/hours").await?.status, 200);
    assert_eq!(caller.get("/orders/status/1").await?.status, 401);
    Ok(())
}

#[tokio::test]
async fn no_endpoint_receives_an_api_key() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::small()).await?;
    let caller = deployment
        .caller(0, "key-kakheti")?
        .with_header("x-api-key", "key-kakheti");
    assert_eq!(caller.chat("hive", "hello", 4, true).await?.status, 200);
    assert_eq!(caller.get("/orders/status/1").await?.status, 200);
    assert_eq!(
        caller.get("/orders/status/1?key=key-kakheti").await?.status,
        400
    );
    assert_eq!(
        caller
            .chat("hive", "my key is key-kakheti", 4, true)
            .await?
            .status,
        400
    );
    for index in 0..3 {
        let calls = deployment.get_from_endpoint(index, "/seen").await?.body;
        assert!(!calls.contains("key-kakheti"), "{calls}");
    }
    Ok(())
}

#[tokio::test]
async fn a_leaving_entry_finishes_its_requests() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let call = tokio::spawn(async move { caller.chat("hive", "a long plan", 400, true).await });
    while deployment.entry_state(0).await?["dispatched"] == 0 {
        tokio::task::yield_now().await;
    }
    deployment.entry(0).signal("TERM").await?;
    let reply = call.await.expect("the call panicked")?;
    assert_eq!(
        reply.generated(),
        Some(answer_text::text("a long plan", 400))
    );
    assert!(deployment.entry(0).wait().await?.success());
    Ok(())
}
