//! Sends a request to a second endpoint when its answer is late. The first answer counts, and the
//! other send is cancelled.

use std::cell::Cell;
use std::pin::{Pin, pin};
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Ending, EndpointRecord, Placement, Run, WaitEnd, Withheld};
use strum::IntoStaticStr;

use super::attempt::{Begun, SendFault};
use super::reserve::NotReserved;
use super::{Dispatch, MIN_SEND_TIME, SEND_LIMIT};
use crate::clock;
use crate::slot_guard::SlotGuard;

/// Delay of a timer from which the process was suspended: an answer may have arrived that no task has
/// read yet.
const LATE_TIMER: Duration = Duration::from_millis(20);

/// How a hedge ended.
#[derive(Debug, Clone, Copy, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum HedgeEnd {
    /// The second endpoint answered first.
    Won,
    /// The first endpoint answered first.
    Lost,
    /// The second endpoint did not answer.
    Failed,
    /// The second endpoint had no slot to reserve; nothing was sent there.
    Full,
}

impl HedgeEnd {
    /// Returns how a hedge ended whose send has ended before the other one had an answer.
    const fn of(result: &Result<Begun, SendFault>) -> Self {
        match result {
            Ok(_) => Self::Won,
            Err(SendFault::Full) => Self::Full,
            Err(_) => Self::Failed,
        }
    }
}

/// Records how long a request has waited at an endpoint. A wait that is dropped was cancelled.
struct AnswerWait<'a> {
    dispatch: &'a Dispatch,
    run: Run,
    ended: bool,
}

impl AnswerWait<'_> {
    /// Ends the wait. How long it took says nothing if the endpoint did not answer.
    fn end(mut self, answered: bool) {
        self.ended = true;
        if answered {
            self.record(WaitEnd::Answered);
        }
    }

    fn record(&self, end: WaitEnd) {
        let context = &self.dispatch.context;
        let route = &self.dispatch.incoming.head.route.name;
        let mut scheduler = context.scheduler.borrow_mut();
        scheduler.record_wait(route, &self.run, end, clock::now());
    }
}

impl Drop for AnswerWait<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.record(WaitEnd::Cancelled);
        }
    }
}

/// A run that counts as a possible one although its request is not sent yet, so that no other send takes
/// its place among those that the route allows.
struct PlannedRun<'a>(&'a Cell<u32>);

impl<'a> PlannedRun<'a> {
    fn new(possible_runs: &'a Cell<u32>) -> Self {
        possible_runs.set(possible_runs.get() + 1);
        Self(possible_runs)
    }
}

impl Drop for PlannedRun<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Dispatch {
    /// Sends the request, and once more to another endpoint if the answer is late.
    pub(super) async fn send_hedged(
        &self,
        placement: &Placement,
        slot: SlotGuard,
        reservation: Option<String>,
        last: Option<u64>,
    ) -> Result<Begun, SendFault> {
        let mut first = pin!(self.send_timed(placement, slot, reservation, last));
        let hedge = tokio::select! {
            biased;
            result = first.as_mut() => return result,
            hedge = self.late_hedge(placement, last) => hedge,
        };
        let Some((hedge, slot)) = hedge else {
            return first.await;
        };
        self.race(first, &hedge, slot).await
    }

    /// Waits for the first answer of two sends. An error of one does not end the other.
    async fn race(
        &self,
        mut first: Pin<&mut impl Future<Output = Result<Begun, SendFault>>>,
        hedge: &Placement,
        slot: SlotGuard,
    ) -> Result<Begun, SendFault> {
        let mut second = pin!(self.send_hedge(hedge, slot));
        tokio::select! {
            biased;
            result = first.as_mut() => {
                if result.is_ok() {
                    self.log_hedge_end(HedgeEnd::Lost, &hedge.record);
                    return result;
                }
                let answer = second.await;
                self.log_hedge_end(HedgeEnd::of(&answer), &hedge.record);
                answer.or(result)
            }
            answer = second.as_mut() => {
                self.log_hedge_end(HedgeEnd::of(&answer), &hedge.record);
                if answer.is_ok() {
                    return answer;
                }
                first.await
            }
        }
    }

    /// Waits until the answer is late and a hedge may be sent. A hedge that is withheld is asked for
    /// again. Returns `None` if the request may not be sent once more.
    async fn late_hedge(
        &self,
        first: &Placement,
        last: Option<u64>,
    ) -> Option<(Box<Placement>, SlotGuard)> {
        let head = &self.incoming.head;
        if last.is_some() || !head.route.retry.is_allowed() {
            return None;
        }
        let run = &first.run;
        let mut delay = {
            let mut scheduler = self.context.scheduler.borrow_mut();
            scheduler.hedge_delay(&head.route.name, run.prompt, clock::now())?
        };
        let interval = delay / 2;
        let mut withheld = None;
        loop {
            self.wait_until(run.sent + delay).await;
            if !self.may_hedge() {
                return None;
            }
            match self.place_hedge(&first.record) {
                Ok(hedge) => {
                    self.log_hedge(&first.record, &hedge.0.record, delay);
                    return Some(hedge);
                }
                Err(cause) if withheld.replace(cause).is_none() => {
                    self.log_withheld(&first.record, delay, cause);
                }
                Err(_) => {}
            }
            delay += interval;
        }
    }

    /// Waits until `time`. If the timer is late, the process waits a little longer, so that answers
    /// that have arrived meanwhile are read first.
    async fn wait_until(&self, time: Timestamp) {
        tokio::time::sleep(time.since(clock::now())).await;
        while clock::now().since(time) > LATE_TIMER {
            let checked = clock::now();
            tokio::time::sleep(LATE_TIMER / 2).await;
            if clock::now().since(checked) <= LATE_TIMER {
                return;
            }
        }
    }

    /// Returns whether one more endpoint may run the request while another one does.
    fn may_hedge(&self) -> bool {
        let is_in_time = clock::now() + MIN_SEND_TIME < self.deadline;
        let is_allowed = self.sends.get() < SEND_LIMIT && self.may_run_again();
        is_in_time && is_allowed && !self.moved.get()
    }

    fn place_hedge(&self, first: &EndpointRecord) -> Result<(Box<Placement>, SlotGuard), Withheld> {
        let request = self.placement_request(clock::now());
        self.context.place_hedge(&request, first)
    }

    /// Sends the request to the second endpoint. While it is there, no other send goes to it.
    async fn send_hedge(&self, hedge: &Placement, slot: SlotGuard) -> Result<Begun, SendFault> {
        self.exclude(&hedge.record);
        let planned = PlannedRun::new(&self.possible_runs);
        match self.reserve(hedge).await {
            Ok(reservation) => {
                drop(planned);
                self.sends.set(self.sends.get() + 1);
                self.send_timed(hedge, slot, reservation, None).await
            }
            Err(NotReserved::Full) => {
                self.log_outcome("full", &hedge.record);
                slot.end(Ending::Full);
                self.include(&hedge.record);
                Err(SendFault::Full)
            }
            Err(NotReserved::Failed(error)) => Err(self.handle_unsent(&error, &hedge.record, slot)),
            Err(NotReserved::Misdirected) => {
                self.leave_misdirected(&hedge.record, slot);
                Err(SendFault::Unsent)
            }
        }
    }

    /// Sends the request once, and records how long its first answer takes.
    async fn send_timed(
        &self,
        placement: &Placement,
        slot: SlotGuard,
        reservation: Option<String>,
        last: Option<u64>,
    ) -> Result<Begun, SendFault> {
        let wait = AnswerWait {
            dispatch: self,
            run: placement.run.clone(),
            ended: last.is_some(),
        };
        let sending = self.send_counted(&placement.record, slot, reservation, last);
        let result = sending.await;
        if !wait.ended {
            wait.end(result.is_ok());
        }
        result
    }

    fn log_hedge(&self, first: &EndpointRecord, second: &EndpointRecord, waited: Duration) {
        log::info!(
            request = self.incoming.head.id_text(),
            cause = "slow",
            endpoint:% = first.id,
            second:% = second.id,
            route:% = self.incoming.head.route.name,
            waited = clock::millis(waited);
            "hedge"
        );
    }

    fn log_hedge_end(&self, end: HedgeEnd, second: &EndpointRecord) {
        let outcome: &'static str = end.into();
        self.count_hedge(outcome);
        log::info!(
            request = self.incoming.head.id_text(),
            second:% = second.id,
            route:% = self.incoming.head.route.name,
            outcome = outcome;
            "hedge ended"
        );
    }

    fn log_withheld(&self, first: &EndpointRecord, waited: Duration, cause: Withheld) {
        let cause: &'static str = cause.into();
        self.count_hedge(cause);
        log::info!(
            request = self.incoming.head.id_text(),
            cause = cause,
            endpoint:% = first.id,
            route:% = self.incoming.head.route.name,
            waited = clock::millis(waited);
            "hedge withheld"
        );
    }

    fn count_hedge(&self, outcome: &str) {
        let hedges = &self.context.metrics.hedges;
        hedges.with_label_values(&[outcome]).inc();
    }
}
