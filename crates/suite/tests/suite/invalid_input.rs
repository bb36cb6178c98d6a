//! Input that is malformed, oversized or from peers that the configuration does not declare.

use comfreyhaven_harness::{Caller, Deployment, HarnessError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::plans;

/// Sends bytes, shuts down the sending side and reads until the peer closes the connection.
async fn exchange(target: std::net::SocketAddr, bytes: &[u8]) -> Result<Vec<u8>, HarnessError> {
    let mut stream = TcpStream::connect(target).await?;
    // The peer may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    Ok(answer)
}

#[tokio::test]
async fn garbage_on_any_port_stops_no_process() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let mut ports = Vec::new();
    for name in ["listen", "control", "admin"] {
        ports.push(deployment.entry(0).port(name)?);
    }
    for name in ["control", "traffic", "admin"] {
        ports.push(deployment.agent(0).port(name)?);
    }
    let garbage: [&[u8]; 4] = [
        b"\xff\xff\xff\xff\xff\xff\xff\xff",
        b"",
        b"GET",
        b"CFHV\x01\x09\x00\x00\xff\xff",
    ];
    for port in ports {
        for bytes in garbage {
            exchange(port, bytes).await?;
        }
    }
    let reply = deployment
        .caller(0, "key-kakheti")?
        .chat("hive", "still here", 4, true)
        .await?;
    assert_eq!(reply.status, 200, "{}", reply.body);
    Ok(())
}

#[tokio::test]
async fn an_undeclared_peer_cannot_send_a_body() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::single()).await?;
    let undeclared = Caller::new(deployment.agent(0).port("traffic")?);
    let post = "POST".parse().expect("a method");
    assert!(undeclared.send(post, "/run", String::new()).await.is_err());
    Ok(())
}

#[tokio::test]
async fn an_oversized_body_is_refused_and_does_not_run() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single()).await?;
    let prompt = "x".repeat(5 << 20);
    let reply = deployment
        .caller(0, "key-kakheti")?
        .chat("hive", &prompt, 4, true)
        .await;
    if let Ok(reply) = reply {
        assert_eq!(reply.status, 413);
    }
    assert_eq!(crate::support::call_count(&deployment, 0).await?, 0);
    Ok(())
}

#[tokio::test]
async fn malformed_requests_are_refused_as_not_run() -> Result<(), HarnessError> {
    let deployment = Deployment::start(plans::single()).await?;
    let caller = deployment.caller(0, "key-kakheti")?;
    let post = |body: &str| {
        let (caller, body) = (caller.clone(), body.to_owned());
        async move {
            caller
                .send(
                    "POST".parse().expect("a method"),
                    "/v1/chat/completions",
                    body,
                )
                .await
        }
    };
    let cases = [
        ("{", 400),
        ("[]", 400),
        (r#"{"model":"no-such","messages":[]}"#, 404),
    ];
    for (body, status) in cases {
        let reply = post(body).await?;
        assert_eq!(reply.status, status, "{body}: {}", reply.body);
        assert_eq!(reply.json()["error"]["execution"], "not_run");
    }
    let reply = caller.get("/nowhere").await?;
    assert_eq!(
        (reply.status, reply.json()["error"]["kind"].as_str()),
        (404, Some("no_route"))
    );
    assert_eq!(crate::support::call_count(&deployment, 0).await?, 0);
    Ok(())
}
