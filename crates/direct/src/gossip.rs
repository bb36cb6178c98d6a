//! Reports between entries, as datagrams: one that is lost is made good by the next.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::direct::Report;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::context::Context;
use crate::peer;

/// Largest report, in bytes.
const REPORT_LIMIT_BYTES: usize = 60_000;

/// Shortest pause between reports in a large fleet, when this entry has read something new.
const NEWS_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait before a snapshot is asked for, for each entry of the fleet: all hear of news at once.
const FETCH_SPREAD: Duration = Duration::from_millis(1);

/// Pause after a snapshot before the next is asked for: changes come in series.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// Pause before a datagram is read again after an error.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Tells every peer what this entry does, until `stop`.
pub(crate) async fn tell(socket: Rc<UdpSocket>, context: Rc<Context>, stop: CancellationToken) {
    loop {
        let pause = context.scheduler.borrow().report_interval();
        let waiting = async {
            tokio::time::sleep(pause.min(NEWS_PAUSE)).await;
            tokio::select! {
                () = tokio::time::sleep(pause.saturating_sub(NEWS_PAUSE)) => {}
                () = context.news() => {}
            }
        };
        tokio::select! {
            () = stop.cancelled() => break,
            () = waiting => {}
        }
        report(&socket, &context).await;
        let gone = context.scheduler.borrow_mut().expire_peers(clock::now());
        for peer in gone {
            log::info!(peer:% = peer; "peer forgotten");
        }
        context.settle();
    }
    report(&socket, &context).await;
}

async fn report(socket: &UdpSocket, context: &Context) {
    let messages: Vec<(SocketAddr, Report)> = {
        let scheduler = context.scheduler.borrow();
        let report = scheduler.report(clock::now());
        let targets = scheduler.targets();
        let addressed = |to| (to, scheduler.addressed(&report, to));
        targets.into_iter().map(addressed).collect()
    };
    for (to, report) in messages {
        match rmp_serde::to_vec(&report) {
            Ok(bytes) => {
                if let Err(error) = socket.send_to(&bytes, to).await {
                    log::debug!(peer:% = to; "report not sent: {error}");
                }
            }
            Err(error) => log::warn!("a report cannot be written: {error}"),
        }
    }
}

/// Takes peers' reports until `stop`.
pub(crate) async fn listen(socket: Rc<UdpSocket>, context: Rc<Context>, stop: CancellationToken) {
    let mut buffer = vec![0; REPORT_LIMIT_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => break,
            received = socket.recv_from(&mut buffer) => received,
        };
        let (length, from) = match received {
            // Entries speak from the port that they listen on.
            Ok((_, from))
                if socket
                    .local_addr()
                    .is_ok_and(|own| own.port() != from.port()) =>
            {
                log::debug!(peer:% = from; "a report from another port is passed over");
                continue;
            }
            Ok(received) => received,
            Err(error) => {
                log::debug!("no report received: {error}");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        match rmp_serde::from_slice::<Report>(&buffer[..length]) {
            Ok(report) => hear(&context, from, report),
            Err(error) => log::warn!(peer:% = from; "a report cannot be read: {error}"),
        }
    }
}

fn hear(context: &Rc<Context>, from: SocketAddr, report: Report) {
    let version = report.version;
    let heard = context
        .scheduler
        .borrow_mut()
        .apply_report(from, report, clock::now());
    if heard.started {
        log::info!(peer:% = from, version = version; "peer heard");
    }
    if heard.newer && context.has_asked() && context.begin_fetch() {
        let context = Rc::clone(context);
        context.tasks.clone().spawn_local(async move {
            let members = context.scheduler.borrow().members();
            let spread = FETCH_SPREAD * u32::try_from(members).unwrap_or(u32::MAX);
            tokio::time::sleep(spread.mul_f64(rand::random())).await;
            peer::fetch(&context, from).await;
            tokio::time::sleep(FETCH_PAUSE).await;
            context.end_fetch();
        });
    }
}
