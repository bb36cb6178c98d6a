//! Checks whether an endpoint that broke off has crashed.

use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::direct::EndpointRecord;

use crate::clock;
use crate::context::Context;

/// Time after a break until the endpoint is checked, and between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of checks. The last one begins before an answer may come from the next incarnation.
const CHECKS: u32 = 4;

/// Opens connections to an endpoint that has just broken off, until it accepts one. Requests that
/// were suspected of having crashed it are not any more then. Its link may fail for a moment too.
pub(super) async fn check(context: Rc<Context>, record: EndpointRecord) {
    for _ in 0..CHECKS {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let started = clock::now();
        if context.upstream.accepts(&record).await {
            let mut scheduler = context.scheduler.borrow_mut();
            let suspects = scheduler.suspects_mut();
            let lives = suspects.record_answer(record.incarnation(), started, clock::now());
            drop(scheduler);
            if lives {
                log::info!(endpoint:% = record.id; "endpoint accepts connections after a break: it has not crashed");
            }
            return;
        }
    }
}
