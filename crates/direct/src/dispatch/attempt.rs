//! Sends a request until an endpoint begins to answer it.
//!
//! A request leaves an endpoint that is silent only when another one has begun to answer: a sound
//! endpoint may be silent for a while, and the other one may reject the request or fail.

use std::pin::pin;
use std::time::Duration;

use comfreyhaven_core::direct::{Contained, Ending, EndpointRecord, Placement, PlacementRefusal};
use hyper::Response;

use super::reserve::NotReserved;
use super::source::StreamStart;
use super::{Dispatch, SEND_LIMIT};
use crate::answer::AnswerBody;
use crate::clock;
use crate::context::PlacementOutcome;
use crate::slot_guard::SlotGuard;

/// Time that must remain before the deadline to send a request to another endpoint while one is
/// silent.
const MIN_MOVE_TIME: Duration = Duration::from_millis(150);

/// Interval at which a waiting request is compared with what crashes endpoints.
const CONTAINED_INTERVAL: Duration = Duration::from_millis(50);

/// The beginning of an endpoint's answer.
pub(super) enum Begun {
    /// An answer that is not a stream. It is complete.
    Complete(Response<AnswerBody>),
    /// A stream whose first event has arrived.
    Stream(Box<StreamStart>),
}

/// Why no endpoint has begun to answer.
pub(super) enum Failure {
    /// The scheduler found no slot.
    Refused(PlacementRefusal),
    /// Requests like it crash endpoints.
    Contained(Contained),
    /// No endpoint has answered; the count of possible runs states whether one may have run it.
    Unanswered,
}

/// Why one endpoint has not begun to answer.
pub(super) enum SendFault {
    /// The endpoint has no slot to reserve.
    Full,
    /// The endpoint has not received the request.
    Unsent,
    /// The endpoint received the request and has not run it.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The stream with this head ended before its first event.
    Cut(Response<()>),
    /// The endpoint ran the request and failed.
    Failed,
}

impl Dispatch {
    /// Sends the request until an endpoint begins to answer. `last` is the last event of the stream
    /// that the caller has received.
    pub(super) async fn begin(&self, last: Option<u64>) -> Result<Begun, Failure> {
        let mut head = None;
        loop {
            let placed = tokio::select! {
                placed = self.place() => placed,
                contained = self.until_contained() => return Err(Failure::Contained(contained)),
            };
            let (placement, slot) = match placed {
                PlacementOutcome::Placed(placement, slot) => (placement, slot),
                PlacementOutcome::Refused(refusal) => return Err(Failure::Refused(refusal)),
            };
            if let Some(contained) = self.contained() {
                return Err(Failure::Contained(contained));
            }
            let fault = match self.attempt(&placement, slot, last).await {
                Ok(Begun::Stream(mut start)) => {
                    // The caller's answer keeps the head of the first endpoint.
                    start.head = head.unwrap_or(start.head);
                    return Ok(Begun::Stream(start));
                }
                Ok(begun) => return Ok(begun),
                Err(SendFault::Full) => continue,
                Err(fault) => fault,
            };
            self.exclude(&placement.record);
            let retry = self.may_retry(&fault) && self.take_retry();
            if let SendFault::Cut(first) = fault {
                head.get_or_insert(first);
            }
            if !retry {
                return Err(Failure::Unanswered);
            }
        }
    }

    /// Waits until requests like it are held. One that waits for a slot learns that here, since no slot may
    /// come in time.
    async fn until_contained(&self) -> Contained {
        loop {
            tokio::time::sleep(CONTAINED_INTERVAL).await;
            if let Some(contained) = self.contained() {
                return contained;
            }
        }
    }

    /// Returns whether the route allows another send after this fault.
    fn may_retry(&self, fault: &SendFault) -> bool {
        let allowed = match fault {
            SendFault::Full | SendFault::Unsent | SendFault::NotRun => true,
            SendFault::Unknown | SendFault::Cut(_) | SendFault::Failed => self.may_run_again(),
        };
        allowed && self.sends.get() < SEND_LIMIT
    }

    /// Returns whether one more endpoint may run the request.
    pub(super) fn may_run_again(&self) -> bool {
        let route = &self.incoming.head.route;
        route.retry.is_allowed()
            && self.may_go_on()
            && self.contained().is_none()
            && self.possible_runs.get() < route.max_attempts
    }

    /// Reserves a slot at an endpoint, if the placement asks for it, and sends the request there.
    async fn attempt(
        &self,
        placement: &Placement,
        slot: SlotGuard,
        last: Option<u64>,
    ) -> Result<Begun, SendFault> {
        let record = &placement.record;
        let reserved = self.reserve(placement).await;
        if matches!(reserved, Err(NotReserved::Full)) {
            self.log_outcome("full", record);
            slot.end(Ending::Full);
            return Err(SendFault::Full);
        }
        self.sends.set(self.sends.get() + 1);
        match reserved {
            Ok(reservation) => self.send(placement, slot, reservation, last).await,
            Err(NotReserved::Failed(error)) => Err(self.handle_unsent(&error, record, slot)),
            Err(NotReserved::Full | NotReserved::Misdirected) => {
                self.leave_misdirected(record, slot);
                Err(SendFault::Unsent)
            }
        }
    }

    /// Sends the request, and sends it to another endpoint too while the first one is silent for
    /// too long. The first answer counts.
    async fn send(
        &self,
        placement: &Placement,
        slot: SlotGuard,
        reservation: Option<String>,
        last: Option<u64>,
    ) -> Result<Begun, SendFault> {
        let record = &placement.record;
        let timeout = self.first_byte_timeout();
        let mut sending = pin!(self.send_hedged(placement, slot, reservation, last));
        loop {
            if let Ok(result) = tokio::time::timeout(timeout, sending.as_mut()).await {
                return result;
            }
            if !self.may_move(record) || !self.take_retry() {
                continue;
            }
            self.log_outcome("silent", record);
            self.context
                .scheduler
                .borrow_mut()
                .record_failure(&placement.run, clock::now());
            self.exclude(record);
            self.moved.set(true);
            let mut elsewhere = Box::pin(self.begin(last));
            tokio::select! {
                result = sending.as_mut() => return match result {
                    Ok(begun) => Ok(begun),
                    Err(fault) => elsewhere.await.map_err(|_| fault),
                },
                result = elsewhere.as_mut() => if let Ok(begun) = result {
                    return Ok(begun);
                },
            }
        }
    }

    /// Sends the request once. It counts as run until its outcome is known, so that the counts are
    /// right also if this future is dropped.
    pub(super) async fn send_counted(
        &self,
        record: &EndpointRecord,
        slot: SlotGuard,
        reservation: Option<String>,
        last: Option<u64>,
    ) -> Result<Begun, SendFault> {
        self.arrivals.set(self.arrivals.get() + 1);
        self.possible_runs.set(self.possible_runs.get() + 1);
        let result = self.send_once(record, slot, reservation, last).await;
        if matches!(result, Err(SendFault::Unsent)) {
            self.arrivals.set(self.arrivals.get() - 1);
        }
        if matches!(result, Err(SendFault::Unsent | SendFault::NotRun)) {
            self.possible_runs.set(self.possible_runs.get() - 1);
        }
        result
    }

    /// Returns whether the request may be sent to another endpoint while `record` is silent.
    pub(super) fn may_move(&self, record: &EndpointRecord) -> bool {
        let now = clock::now();
        let too_late = self.deadline < now + MIN_MOVE_TIME;
        if too_late || self.sends.get() >= SEND_LIMIT || !self.may_run_again() {
            return false;
        }
        let mut excluded = self.excluded.borrow().clone();
        excluded.push(record.id.clone());
        let streaming = self.incoming.head.route.streaming;
        let mut scheduler = self.context.scheduler.borrow_mut();
        let build = self.build().map(|build| &**build);
        scheduler.may_retry(&self.service, build, &excluded, streaming, now)
    }
}
