//! Checks whether an endpoint that broke off has crashed.

use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::direct::EndpointRecord;

use crate::clock;
use crate::context::Context;
use crate::upstream::Liveness;

/// Time after a break until the endpoint is checked, and between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of checks. The last one begins before an answer may come from the next incarnation.
const CHECKS: u32 = 4;

/// Opens connections to an endpoint that has just broken off, until it accepts one. Requests that
/// were suspected of having crashed it are not any more then. Its link may fail for a moment too.
pub(super) async fn check(context: Rc<Context>, record: EndpointRecord) {
    let mut seen = Liveness::Unknown;
    for _ in 0..CHECKS {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let started = clock::now();
        match context.upstream.check(&record).await {
            Liveness::Accepts => {
                seen = Liveness::Accepts;
                let mut scheduler = context.scheduler.borrow_mut();
                let suspects = scheduler.suspects_mut();
                suspects.record_answer(record.incarnation(), started, clock::now());
                break;
            }
            Liveness::Refuses => seen = Liveness::Refuses,
            Liveness::Unknown => {}
        }
    }
    log_result(&context, &record, seen);
}

fn log_result(context: &Context, record: &EndpointRecord, seen: Liveness) {
    let text: &'static str = seen.into();
    context.metrics.breaks.with_label_values(&[text]).inc();
    let event = match seen {
        Liveness::Accepts => "endpoint accepts connections after a break: it has not crashed",
        Liveness::Refuses => "endpoint refuses connections after a break: it has crashed",
        Liveness::Unknown => "endpoint does not react after a break",
    };
    log::info!(endpoint:% = record.id, incarnation:% = format_args!("{:x}", record.incarnation()); "{event}");
}
