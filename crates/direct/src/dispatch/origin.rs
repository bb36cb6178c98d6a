//! Records at which build a stream began, before its caller receives the first event.

use comfreyhaven_core::direct::{EndpointRecord, RetryPolicy};

use super::Dispatch;
use crate::clock;
use crate::origins;

impl Dispatch {
    /// Requires the build that brought the first event for the rest of the stream, and tells peers
    /// of it if callers may take the stream up.
    pub(super) async fn record_origin(&mut self, record: &EndpointRecord) {
        if self.origin.is_some() {
            return;
        }
        let origin = self.context.scheduler.borrow().origin_at(record);
        self.origin = Some(origin.clone());
        let head = &self.incoming.head;
        if head.route.retry != RetryPolicy::Resumable {
            return;
        }
        let lifetime = (self.incoming.arrived + head.deadline).since(clock::now());
        origins::announce(&self.context, &head.id, origin, lifetime).await;
    }
}
