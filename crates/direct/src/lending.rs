//! Asks peers for requests to limited endpoints, and lends them.

use std::net::SocketAddr;
use std::rc::Rc;

use comfreyhaven_core::direct::LendingMessage;

use crate::clock;
use crate::context::Context;
use crate::peers::PeerMessage;

impl Context {
    /// Asks peers for requests to limited endpoints, for which requests wait here.
    pub(crate) fn ask_lenders(&self) {
        let mut scheduler = self.scheduler.borrow_mut();
        let questions = scheduler.lending_questions(clock::now());
        drop(scheduler);
        for (to, question) in questions {
            self.peers.try_send(to, &PeerMessage::Lending(question));
        }
    }
}

/// Applies a peer's message about borrowed requests, and answers a question.
pub(crate) fn apply(context: &Rc<Context>, from: SocketAddr, message: LendingMessage) {
    let kind: &'static str = message.into();
    let received = &context.metrics.lending;
    received.with_label_values(&[kind]).inc();
    let mut scheduler = context.scheduler.borrow_mut();
    let answer = scheduler.apply_lending_message(from, message, clock::now());
    drop(scheduler);
    match answer {
        Some(answer) => context.peers.try_send(from, &PeerMessage::Lending(answer)),
        // A request that waits may be sent now, or another lender is to be asked.
        None => context.process_queues(),
    }
}
