//! Reports between entries, sent as datagrams. Each report holds the current state of its sender,
//! so the next report makes up for a lost one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::direct::{Report, Role};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::context::Context;
use crate::lending;
use crate::origins;
use crate::peers::{MESSAGE_LIMIT_BYTES, MessageFault, PeerMessage, ReceiveError};
use crate::snapshot;

/// Shortest interval between reports in a large fleet, used when this entry has read a change.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest delay before a snapshot is fetched, per entry of the fleet. All entries learn of a
/// change at the same time, so the random delay spreads their fetches.
const FETCH_JITTER: Duration = Duration::from_millis(1);

/// Delay after a snapshot before the next one is fetched, because changes often follow one another.
const FETCH_DELAY: Duration = Duration::from_millis(200);

/// Delay after a failed read of the socket.
const ERROR_DELAY: Duration = Duration::from_millis(20);

/// Sends this entry's reports to its peers until `stop`.
pub(crate) async fn send_reports(context: Rc<Context>, stop: CancellationToken) {
    let mut role = Role::default();
    send_to_peers(&context).await;
    loop {
        let interval = context.scheduler.borrow().report_interval();
        let waiting = async {
            tokio::time::sleep(interval.min(CHANGE_INTERVAL)).await;
            tokio::select! {
                () = tokio::time::sleep(interval.saturating_sub(CHANGE_INTERVAL)) => {}
                () = context.changed() => {}
            }
        };
        tokio::select! {
            () = stop.cancelled() => break,
            () = waiting => {}
        }
        send_to_peers(&context).await;
        log_role(&context, &mut role);
        let expired = context.scheduler.borrow_mut().expire_peers(clock::now());
        for peer in expired {
            log::info!(peer:% = peer; "peer expired");
        }
        context.process_queues();
    }
    send_to_peers(&context).await;
}

/// Logs this entry's role if it is no longer `last`.
fn log_role(context: &Context, last: &mut Role) {
    let totals = context.scheduler.borrow().totals();
    if std::mem::replace(last, totals.role) != totals.role {
        let role: &'static str = totals.role.into();
        log::info!(role = role, members = totals.members; "role changed");
    }
}

async fn send_to_peers(context: &Context) {
    let messages = context.scheduler.borrow_mut().reports(clock::now());
    for (to, report) in messages {
        context
            .peers
            .send(to, &PeerMessage::Report(Box::new(report)))
            .await;
    }
}

/// Receives peers' messages until `stop`.
pub(crate) async fn receive_messages(context: Rc<Context>, stop: CancellationToken) {
    let mut buffer = vec![0; MESSAGE_LIMIT_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => break,
            received = context.peers.receive(&mut buffer) => received,
        };
        match received {
            Ok((from, PeerMessage::Report(report))) => apply_report(&context, from, *report),
            Ok((from, PeerMessage::Origin(message))) => {
                origins::apply(&context, from, message).await;
            }
            Ok((from, PeerMessage::Lending(message))) => lending::apply(&context, from, message),
            Err(ReceiveError::Unreadable { from, fault }) => {
                record_unreadable(&context, from, &fault);
            }
            Err(ReceiveError::Socket(error)) => {
                log::debug!("cannot receive messages: {error}");
                tokio::time::sleep(ERROR_DELAY).await;
            }
        }
    }
}

/// Records a message of an entry of another build. A message of an unknown kind says nothing of its
/// sender's reports.
fn record_unreadable(context: &Context, from: SocketAddr, fault: &MessageFault) {
    context.metrics.unreadable.inc();
    let now = clock::now();
    if let MessageFault::Content(_) = fault {
        let mut scheduler = context.scheduler.borrow_mut();
        scheduler.observe_unreadable(from, now);
    }
    let count = context.unreadable.borrow_mut().record(now);
    if let Some(count) = count {
        log::warn!(peer:% = from, count = count; "cannot read messages of other entries; they may run another build: {fault}");
    }
}

fn apply_report(context: &Rc<Context>, from: SocketAddr, report: Report) {
    let version = report.version;
    let effect = context
        .scheduler
        .borrow_mut()
        .apply_report(from, report, clock::now());
    if effect.started {
        log::info!(peer:% = from, version = version; "peer discovered or restarted");
    }
    if effect.newer && context.has_read_store() && context.start_fetch() {
        let context = Rc::clone(context);
        context.tasks.clone().spawn_local(async move {
            let members = context.scheduler.borrow().members();
            let jitter = FETCH_JITTER * u32::try_from(members).unwrap_or(u32::MAX);
            tokio::time::sleep(jitter.mul_f64(rand::random())).await;
            snapshot::fetch(&context, from).await;
            tokio::time::sleep(FETCH_DELAY).await;
            context.end_fetch();
        });
    }
}
