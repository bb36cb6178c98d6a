//! Peers that are suspended, slow, half open, undeclared or of another protocol version.

use comfreyhaven_harness::{Deployment, EndpointPlan, HarnessError, Plan, RoutePlan, TeamPlan};
use comfreyhaven_standin::answer_text;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use crate::plans;
use crate::support::{chat, outcome};

fn four_engines() -> Plan {
    let plan = Plan::new()
        .with_centre("tb1")
        .with_entry("e1", "tb1")
        .with_route(RoutePlan::new_model("plan", "hive", "mid"))
        .with_team(TeamPlan::new("kakheti", 10_000_000, 10_000_000, &["plan"]));
    (1..=4).fold(plan, |plan, index| {
        let name = format!("engine-{index}");
        plan.with_endpoint(EndpointPlan::new_engine(&name, "tb1", "hive"))
    })
}

#[tokio::test]
async fn a_request_does_not_wait_for_suspended_agents() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(four_engines()).await?;
    for suspended in 0..3 {
        deployment.agent(suspended).signal("STOP").await?;
    }
    let prompts: Vec<_> = (0..12).map(|index| format!("plan {index}")).collect();
    let calls = prompts.iter().map(|prompt| chat(&deployment, 0, prompt, 8));
    let calls = calls.collect::<Result<Vec<_>, _>>()?;
    for (prompt, call) in prompts.iter().zip(calls) {
        let reply = outcome(call).await?;
        let expected = Some(answer_text::text(prompt, 8));
        assert_eq!(reply.generated(), expected, "{}", reply.body);
    }
    Ok(())
}

/// Opens a control connection from the address of the declared entry e2.
async fn dial_as_entry(deployment: &mut Deployment) -> Result<TcpStream, HarnessError> {
    let target = deployment.agent(0).port("control")?;
    let source = deployment.entry(1).port("control")?;
    let socket = TcpSocket::new_v4()?;
    socket.bind((source.ip(), 0).into())?;
    Ok(socket.connect(target).await?)
}

#[tokio::test]
async fn a_connection_with_an_invalid_preface_is_closed() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let prefaces: [&[u8]; 5] = [
        b"CFHV\x02\x01",
        b"CFHV\x00\x02",
        b"CFHV\x01\x00",
        b"HTTP/1",
        b"\x00\x00\x00\x00\x00\x00",
    ];
    for preface in prefaces {
        let mut stream = dial_as_entry(&mut deployment).await?;
        stream.write_all(preface).await?;
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        assert!(read.is_err() || answer.is_empty(), "{answer:?}");
    }
    Ok(())
}

#[tokio::test]
async fn half_open_and_slow_peers_block_no_requests() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let mut open = Vec::new();
    let starts: [&[u8]; 5] = [
        b"",
        b"CF",
        b"CFHV\x01\x01",
        b"CFHV\x01\x02\x00\x00\x00\xff",
        b"CFHV\x01\x01\x00\x1f\xff\xff\x01",
    ];
    for start in starts {
        let mut stream = dial_as_entry(&mut deployment).await?;
        stream.write_all(start).await?;
        open.push(stream);
    }
    for index in 0..4 {
        let prompt = format!("among stalled peers {index}");
        let reply = outcome(chat(&deployment, index % 2, &prompt, 8)?).await?;
        assert_eq!(reply.generated(), Some(answer_text::text(&prompt, 8)));
    }
    deployment.agent(0).signal("TERM").await?;
    assert!(deployment.agent(0).wait().await?.success());
    Ok(())
}

#[tokio::test]
async fn an_undeclared_process_gets_no_configuration() -> Result<(), HarnessError> {
    let mut deployment = Deployment::start(plans::small()).await?;
    let ports = [
        deployment.entry(0).port("control")?,
        deployment.agent(0).port("control")?,
    ];
    for port in ports {
        let mut stream = TcpStream::connect(port).await?;
        let _ = stream.write_all(b"CFHV\x01\x02").await;
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        assert!(read.is_err() || answer.is_empty(), "{answer:?}");
    }
    Ok(())
}
