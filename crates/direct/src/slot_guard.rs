//! The slot that a request takes at an endpoint.

use std::rc::Rc;
use std::time::Duration;

use comfreyhaven_core::direct::{Ending, Run};

use crate::clock;
use crate::context::Context;

/// A slot at an endpoint, released on drop.
#[derive(Debug)]
pub struct SlotGuard {
    context: Rc<Context>,
    run: Run,
    ended: bool,
}

impl SlotGuard {
    /// Creates the guard of the slot that a run takes.
    pub(crate) const fn new(context: Rc<Context>, run: Run) -> Self {
        Self {
            context,
            run,
            ended: false,
        }
    }

    /// Records the first byte of the answer.
    pub fn record_first_byte(&mut self) {
        let now = clock::now();
        self.context
            .scheduler
            .borrow_mut()
            .record_first_byte(&mut self.run, now);
    }

    /// Records that `events` events of the answer arrived within `span`.
    pub fn record_events(&self, events: u32, span: Duration) {
        self.context
            .scheduler
            .borrow_mut()
            .record_events(&self.run, events, span);
    }

    /// Releases the slot and records how the run ended.
    pub fn end(mut self, ending: Ending) {
        self.release(ending);
    }

    /// Records that the endpoint failed although the run goes on.
    pub fn record_failure(&self) {
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.record_failure(&self.run, clock::now());
    }

    /// Releases the slot, if it is not released yet, and records how the run ended.
    pub fn release(&mut self, ending: Ending) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = clock::now();
            self.context
                .scheduler
                .borrow_mut()
                .end(&self.run, ending, now);
            self.context.process_queues();
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.release(Ending::Cancelled);
    }
}
