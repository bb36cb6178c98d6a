//! Checks whether an endpoint that broke off has crashed.

use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::direct::EndpointRecord;

use crate::clock;
use crate::context::Context;

/// Time after a break until the endpoint is checked.
const CHECK_DELAY: Duration = Duration::from_millis(200);

/// Opens a connection to an endpoint that has just broken off. If the endpoint accepts it, requests
/// that were suspected of having crashed it are not.
pub(super) async fn check(context: Rc<Context>, record: EndpointRecord) {
    tokio::time::sleep(CHECK_DELAY).await;
    let started = clock::now();
    if !context.upstream.accepts(&record).await {
        return;
    }
    let mut scheduler = context.scheduler.borrow_mut();
    let suspects = scheduler.suspects_mut();
    suspects.record_answer(record.incarnation(), started, clock::now());
    drop(scheduler);
    log::info!(endpoint:% = record.id; "endpoint accepts connections after a break: it has not crashed");
}
