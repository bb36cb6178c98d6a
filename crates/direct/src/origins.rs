//! Tells peers where streams begin, and finds where a stream began that a caller takes up.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::direct::{
    LookupResult, LookupStep, Origin, OriginMessage, StreamDigest, Ticket, digest,
};
use hyper::header::HeaderValue;

use crate::clock;
use crate::context::Context;
use crate::incoming::{Head, Resumption};
use crate::peers::PeerMessage;

/// Label and log value of a stream whose origin is not known.
const UNKNOWN: &str = "unknown";

/// Returns the digest of a stream from the id of the caller's attempt that began it.
pub(crate) fn stream_digest(id: &[u8]) -> StreamDigest {
    StreamDigest(digest(id))
}

/// Tells the holders of a stream where it began. The caller may receive its first event afterwards:
/// it can take the stream up only then.
pub(crate) async fn announce(
    context: &Context,
    id: &HeaderValue,
    origin: Origin,
    lifetime: Duration,
) {
    let (message, holders) = context.scheduler.borrow_mut().begin_stream(
        stream_digest(id.as_bytes()),
        origin,
        lifetime,
        clock::now(),
    );
    let message = PeerMessage::Origin(message);
    for holder in holders {
        context.peers.send(holder, &message).await;
    }
}

/// Tells origins to holders which lack them, some at a time.
pub(crate) fn replicate(context: &Context) {
    let messages = context
        .scheduler
        .borrow_mut()
        .replicate_origins(clock::now());
    context.metrics.replications.inc_by(messages.len() as u64);
    for (holder, message) in messages {
        let message = PeerMessage::Origin(message);
        context.peers.try_send(holder, &message);
    }
}

/// Applies a peer's message about an origin, and answers a query.
pub(crate) async fn apply(context: &Context, from: SocketAddr, message: OriginMessage) {
    let now = clock::now();
    let answer = context
        .scheduler
        .borrow_mut()
        .apply_origin_message(from, message, now);
    match answer {
        Some(answer) => {
            context.peers.send(from, &PeerMessage::Origin(answer)).await;
        }
        None => context.origin_answers.notify_waiters(),
    }
}

/// Finds where a stream began that a request takes up. Returns `None` if that is not known.
pub(crate) async fn find(
    context: &Rc<Context>,
    head: &Head,
    resumption: &Resumption,
) -> Option<Origin> {
    let lookup = Lookup::start(context, head, resumption);
    let (known, source) = match lookup.run().await {
        LookupResult::Known(origin, source) => (Some(origin), source.into()),
        LookupResult::Unknown => (None, UNKNOWN),
    };
    let resumptions = &context.metrics.resumptions;
    resumptions.with_label_values(&[source]).inc();
    log::info!(
        request = head.id_text(),
        stream = resumption.stream_text(),
        last = resumption.last_text(),
        origin = source,
        build:% = known.as_ref().map_or("-", |origin| &*origin.build);
        "takes a stream up"
    );
    known
}

/// A lookup in the scheduler, ended on drop.
struct Lookup<'a> {
    context: &'a Context,
    ticket: Ticket,
}

impl<'a> Lookup<'a> {
    fn start(context: &'a Context, head: &Head, resumption: &Resumption) -> Self {
        let ticket = context.ticket();
        let mut split: Vec<_> = head.route.split.iter().collect();
        split.sort_by_key(|part| Reverse(part.weight));
        let services: Vec<_> = split.iter().map(|part| Arc::clone(&part.service)).collect();
        let stream = resumption.stream.as_ref();
        let stream = stream.map(|id| stream_digest(id.as_bytes()));
        let mut scheduler = context.scheduler.borrow_mut();
        scheduler.start_lookup(ticket, stream, &services, clock::now());
        Self { context, ticket }
    }

    async fn run(&self) -> LookupResult {
        loop {
            let answered = self.context.origin_answers.notified();
            let mut answered = std::pin::pin!(answered);
            // What arrives while the queries are sent counts too.
            answered.as_mut().enable();
            let step = {
                let mut scheduler = self.context.scheduler.borrow_mut();
                scheduler.step_lookup(self.ticket, clock::now())
            };
            let until = match step {
                LookupStep::Done(result) => return result,
                LookupStep::Ask {
                    peers,
                    query,
                    until,
                } => {
                    let query = PeerMessage::Origin(query);
                    for peer in peers {
                        self.context.peers.send(peer, &query).await;
                    }
                    until
                }
                LookupStep::Confirm { until } => {
                    self.context.request_endpoints();
                    until
                }
            };
            tokio::select! {
                () = answered => {}
                () = tokio::time::sleep(until.since(clock::now())) => {}
            }
        }
    }
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.context.scheduler.borrow_mut().end_lookup(self.ticket);
    }
}
