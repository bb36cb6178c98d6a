//! Control connections over loopback: memory and time to open one, and time of a call.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use comfreyhaven_core::agent::RunStatus;
use comfreyhaven_core::refusal::ReturnReason;
use comfreyhaven_core::{OfferId, RequestId, Reservation, ReservationId};
use comfreyhaven_process::dial;
use comfreyhaven_wire::preface::{self, ServiceKind};
use comfreyhaven_wire::service::{AgentControl, AgentControlClient, ReserveReply};
use comfreyhaven_wire::transport;
use futures::StreamExt;
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::agent::reservation;
use crate::error::CapacityError;
use crate::findings::{Cost, Findings};
use crate::fit::Point;
use crate::gauge;

/// Number of timed calls on each connection.
const CALLS: u32 = 20;

/// Agent service that returns every reservation.
#[derive(Clone)]
struct ReturningAgent;

impl AgentControl for ReturningAgent {
    async fn reserve(self, _: Context, _: Reservation) -> ReserveReply {
        ReserveReply::Returned(ReturnReason::Full)
    }

    async fn withdraw(self, _: Context, _: ReservationId) {}

    async fn release(self, _: Context, _: OfferId) {}

    async fn ping(self, _: Context) {}

    async fn inquire(self, _: Context, _: RequestId, _: OfferId) -> RunStatus {
        RunStatus::Unknown
    }
}

pub fn run(findings: &mut Findings) -> Result<(), CapacityError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(measure(findings))
}

async fn measure(findings: &mut Findings) -> Result<(), CapacityError> {
    let (mut memory, mut opening, mut calling) = (Vec::new(), Vec::new(), Vec::new());
    for count in [50_u32, 100, 200, 330] {
        let (bytes, open, call) = measure_round(count).await?;
        let size = f64::from(count);
        memory.push(Point { size, cost: bytes });
        opening.push(Point { size, cost: open });
        calling.push(Point {
            size: f64::from(count * CALLS),
            cost: call,
        });
    }
    findings.add_slope(Cost::ConnectionMemory, "connection", memory);
    findings.add_slope(Cost::ConnectionTime, "connection", opening);
    findings.add_slope(Cost::CallTime, "call", calling);
    Ok(())
}

/// Opens `count` connections and makes calls on each. Returns the bytes of memory of all
/// connections, the microseconds to open them with one call each, and those of the timed calls.
async fn measure_round(count: u32) -> Result<(f64, f64, f64), CapacityError> {
    let local: IpAddr = Ipv4Addr::LOCALHOST.into();
    let listener = TcpListener::bind((local, 0)).await?;
    let target = listener.local_addr()?;
    let mut servers = JoinSet::new();
    servers.spawn(accept(listener));
    let before = gauge::live_bytes();
    let start = gauge::process_time();
    let mut clients = Vec::with_capacity(count as usize);
    for _ in 0..count {
        clients.push(connect(local, target).await?);
    }
    call_all(&clients, 1).await?;
    let open = gauge::micros(start.elapsed());
    let bytes = gauge::live_bytes() - before;
    let start = gauge::process_time();
    call_all(&clients, CALLS).await?;
    let call = gauge::micros(start.elapsed());
    drop(clients);
    servers.shutdown().await;
    Ok((bytes, open, call))
}

async fn connect(source: IpAddr, target: SocketAddr) -> Result<AgentControlClient, CapacityError> {
    let connection = dial::control(source, target, ServiceKind::Agent).await?;
    Ok(AgentControlClient::new(Config::default(), connection).spawn())
}

async fn call_all(clients: &[AgentControlClient], calls: u32) -> Result<(), CapacityError> {
    for call in 0..calls {
        for client in clients {
            let reservation = reservation(u128::from(call));
            client.reserve(context::current(), reservation).await?;
        }
    }
    Ok(())
}

async fn accept(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve(stream));
    }
}

async fn serve(mut stream: TcpStream) {
    if preface::read(&mut stream).await.is_ok() {
        let channel = BaseChannel::with_defaults(transport::wrap(stream));
        let calls = channel.execute(ReturningAgent.serve());
        calls.for_each_concurrent(None, |call| call).await;
    }
}
