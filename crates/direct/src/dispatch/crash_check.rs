//! Checks whether an endpoint that broke off has crashed.

use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointRecord, Fate};

use crate::clock;
use crate::context::Context;
use crate::upstream::Liveness;

/// Time between two checks. The first one begins at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of checks. The last one begins before an answer may come from the next incarnation.
const CHECKS: u32 = 5;

/// Opens connections to an endpoint whose `incarnation` has just broken off, until it accepts or refuses one. Requests
/// that were suspected of having crashed it are not any more if it accepts one. Its link may fail for
/// a moment too.
pub(super) async fn check(context: Rc<Context>, record: EndpointRecord, incarnation: u64) {
    for check in 0..CHECKS {
        if check > 0 {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let started = clock::now();
        let seen = context.upstream.check(&record).await;
        if record_liveness(&context, incarnation, seen, started) {
            break;
        }
    }
    log_result(&context, &record, incarnation);
}

/// Records how an endpoint reacted to a connection that was opened at `started`. Returns whether that
/// decides what became of it: it may have broken off again since.
fn record_liveness(
    context: &Context,
    incarnation: u64,
    seen: Liveness,
    started: Timestamp,
) -> bool {
    let mut scheduler = context.scheduler.borrow_mut();
    let containment = scheduler.containment_mut();
    match seen {
        Liveness::Accepts => containment.record_answer(incarnation, started, clock::now()),
        Liveness::Refuses => containment.record_end(incarnation, clock::now()),
        Liveness::Unknown => false,
    };
    containment.fate(incarnation) != Fate::Unknown
}

fn log_result(context: &Context, record: &EndpointRecord, incarnation: u64) {
    let fate = context.scheduler.borrow().containment().fate(incarnation);
    let text: &'static str = fate.into();
    context.metrics.breaks.with_label_values(&[text]).inc();
    let event = match fate {
        Fate::Lives => "endpoint accepts connections after a break: it has not crashed",
        Fate::Ended => "endpoint refuses connections after a break: it has crashed",
        Fate::Unknown => "endpoint does not react after a break",
    };
    log::info!(endpoint:% = record.id, incarnation:% = format_args!("{incarnation:x}"); "{event}");
}
