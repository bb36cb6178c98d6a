//! Handles one request: places it, sends it, retries it if the route allows that, and answers it.

mod reserve;
mod send;
mod stream;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    Ending, EndpointId, EndpointRecord, PlacementRefusal, PlacementRequest,
};
use comfreyhaven_core::refusal::RefusalKind;
use hyper::{Response, StatusCode};

use crate::answer::{self, AnswerBody};
use crate::clock;
use crate::context::{Context, PlacementOutcome, SlotGuard};
use crate::incoming::IncomingRequest;
use crate::upstream::Reply;
use reserve::NotReserved;

/// Maximum number of sends of one request, including rejected ones.
const SEND_LIMIT: u32 = 5;

/// Time that must remain before the deadline for another send to be useful.
const MIN_SEND_TIME: Duration = Duration::from_millis(60);

/// How long a stream that has begun may wait for a slot at its build.
const RESUME_WAIT: Duration = Duration::from_millis(600);

/// Retry delay sent to callers when no endpoint could be reached.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Classification of an endpoint's answer.
enum AnswerKind {
    /// The endpoint did not run the request.
    Rejected,
    /// A sealed answer with a success status.
    Success,
    /// A sealed answer with any other status.
    Failure,
    /// The answer belongs to another request or has no seal.
    Foreign,
}

enum SendFault {
    /// The endpoint has not received the request.
    Unsent,
    /// The endpoint received the request and has not run it.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The endpoint ran the request and failed with this answer.
    Failed(Response<AnswerBody>),
}

/// One admitted request and the state of its sends.
pub(crate) struct Dispatch {
    context: Rc<Context>,
    incoming: IncomingRequest,
    service: Arc<str>,
    /// The build that began the stream, once an event has arrived.
    build: Option<Arc<str>>,
    /// When the caller's deadline or the route's timeout ends, whichever is earlier.
    deadline: Timestamp,
    objective: Timestamp,
    excluded: Vec<EndpointId>,
    sends: u32,
    /// Whether an endpoint may have received the request.
    arrived: bool,
    /// Number of sends that may have run the request.
    possible_runs: u32,
    /// Total time the request has waited for a slot.
    waited: Duration,
    /// Time to the first byte that the last placement estimated, in milliseconds.
    first_byte: u64,
    /// Time to the last byte that the last placement estimated, in milliseconds.
    last_byte: u64,
    /// Whether the end of the request has been logged.
    ended: Cell<bool>,
}

/// A request that is dropped before its end was abandoned by its caller.
impl Drop for Dispatch {
    fn drop(&mut self) {
        if !self.ended.get() {
            log::info!(
                request = self.incoming.head.id_text(),
                sends = self.sends,
                waited = clock::millis(clock::now().since(self.incoming.arrived));
                "caller gone"
            );
        }
    }
}

impl Dispatch {
    pub(crate) fn new(context: Rc<Context>, incoming: IncomingRequest, service: Arc<str>) -> Self {
        let head = &incoming.head;
        let elapsed = context.elapsed(&head.route.name, head.deadline);
        let time_limit = head.deadline.min(head.route.timeout);
        log::info!(
            request = head.id_text(),
            route:% = head.route.name,
            team:% = head.team.as_ref().map_or("-", |team| &*team.name),
            rank = head.route.rank,
            service:% = service,
            deadline = clock::millis(head.deadline),
            elapsed = clock::millis(elapsed),
            units = head.units();
            "admitted"
        );
        let objective = head.route.objective.saturating_sub(elapsed);
        Self {
            deadline: incoming.arrived + time_limit,
            objective: incoming.arrived + objective,
            context,
            incoming,
            service,
            build: None,
            excluded: Vec::new(),
            sends: 0,
            arrived: false,
            possible_runs: 0,
            waited: Duration::ZERO,
            first_byte: 0,
            last_byte: 0,
            ended: Cell::new(false),
        }
    }

    /// Sends the request until there is an answer or the deadline passes.
    pub(crate) async fn run(mut self) -> Response<AnswerBody> {
        let left = self.deadline.since(clock::now());
        let mut sending = false;
        let answered = tokio::time::timeout(left, self.send_until_answered(&mut sending)).await;
        match answered {
            Ok(Ok(response)) => response,
            Ok(Err((reply, slot, record))) => stream::start(self, reply, slot, record).await,
            Err(_) if self.possible_runs > 0 || sending => {
                self.refuse(RefusalKind::DeadlineExceeded, None)
            }
            Err(_) => self.refuse(RefusalKind::Overloaded, Some(RETRY_DELAY)),
        }
    }

    /// Sends the request until there is a complete answer. A streamed answer is returned as the
    /// error, as soon as its head has arrived.
    async fn send_until_answered(
        &mut self,
        sending: &mut bool,
    ) -> Result<Response<AnswerBody>, (Reply, SlotGuard, EndpointRecord)> {
        let mut failed = None;
        loop {
            let (placement, slot) = match self.place().await {
                PlacementOutcome::Placed(placement, slot) => (placement, slot),
                PlacementOutcome::Refused(refusal) => {
                    return Ok(failed.unwrap_or_else(|| self.refuse_unplaced(&refusal)));
                }
            };
            let endpoint = placement.record.id.clone();
            let fault = match self.reserve(&placement).await {
                Ok(reservation) => {
                    *sending = true;
                    self.sends += 1;
                    match self.send(&placement, slot, reservation).await? {
                        Ok(response) => return Ok(response),
                        Err(fault) => fault,
                    }
                }
                Err(NotReserved::Full) => {
                    self.log_outcome("full", &placement.record);
                    slot.end(Ending::Full);
                    continue;
                }
                Err(NotReserved::Misdirected) => {
                    self.sends += 1;
                    self.leave_misdirected(&placement.record, slot);
                    SendFault::Unsent
                }
                Err(NotReserved::Failed(error)) => {
                    self.sends += 1;
                    self.handle_unsent(&error, &placement.record, slot)
                }
            };
            *sending = false;
            self.excluded.push(endpoint);
            let may_retry = match &fault {
                SendFault::Unsent | SendFault::NotRun => self.sends < SEND_LIMIT,
                SendFault::Unknown | SendFault::Failed(_) => {
                    self.possible_runs += 1;
                    let route = &self.incoming.head.route;
                    route.retry.is_allowed() && self.possible_runs < route.max_attempts
                }
            };
            self.arrived |= !matches!(fault, SendFault::Unsent);
            let not_run =
                matches!(fault, SendFault::Unsent | SendFault::NotRun) && self.possible_runs == 0;
            let retry = may_retry && self.take_retry();
            if let SendFault::Failed(response) = fault {
                failed = Some(response);
            }
            if retry {
                continue;
            }
            return Ok(match failed {
                Some(response) => response,
                None if not_run => self.refuse(RefusalKind::Overloaded, Some(RETRY_DELAY)),
                None => self.refuse(RefusalKind::OutcomeUnknown, None),
            });
        }
    }

    /// Answers a request for which the scheduler has found no slot.
    fn refuse_unplaced(&self, refusal: &PlacementRefusal) -> Response<AnswerBody> {
        let text: &'static str = refusal.reason.into();
        let totals = self.context.scheduler.borrow().totals();
        log::info!(
            request = self.incoming.head.id_text(),
            cause = text,
            waited = clock::millis(self.waited),
            retry = clock::millis(refusal.retry_after),
            waiting = totals.waiting,
            running = totals.running,
            members = totals.members;
            "turned away"
        );
        let kind = if self.possible_runs > 0 {
            RefusalKind::OutcomeUnknown
        } else {
            RefusalKind::Overloaded
        };
        self.refuse(kind, Some(refusal.retry_after))
    }

    /// Returns whether there is time and budget for another send. The first send that reaches an
    /// endpoint is no retry.
    fn take_retry(&self) -> bool {
        let now = clock::now();
        if self.deadline <= now + MIN_SEND_TIME {
            return false;
        }
        let mut scheduler = self.context.scheduler.borrow_mut();
        !self.arrived || scheduler.take_retry(&self.service, now)
    }

    /// Waits for a slot at an endpoint.
    async fn place(&mut self) -> PlacementOutcome {
        let started = clock::now();
        let head = &self.incoming.head;
        let objective = match &self.build {
            Some(_) => self.objective.max(started + RESUME_WAIT),
            None => self.objective,
        };
        let request = PlacementRequest {
            ticket: self.context.ticket(),
            service: Arc::clone(&self.service),
            build: self.build.clone(),
            kind: Arc::clone(&head.route.name),
            average_time: Duration::ZERO,
            team_rank: head.team_rank(),
            rank: head.route.rank,
            prompt: head.cost.map_or(0, |cost| u64::from(cost.prompt)),
            length: head.length,
            streaming: head.route.streaming,
            arrived: self.incoming.arrived,
            objective,
            deadline: self.deadline,
            event_gap: head.route.event_gap,
            excluded: self.excluded.clone(),
        };
        let outcome = self.context.place(request).await;
        let waited = clock::now().since(started);
        self.context.metrics.waits.observe(waited.as_secs_f64());
        self.waited += waited;
        if let PlacementOutcome::Placed(placement, _) = &outcome {
            self.first_byte = placement.first_byte;
            self.last_byte = placement.last_byte;
        }
        outcome
    }

    fn count_answer(&self, status: StatusCode, cause: &str) {
        self.ended.set(true);
        let answers = &self.context.metrics.answers;
        answers.with_label_values(&[status.as_str(), cause]).inc();
    }

    fn refuse(&self, kind: RefusalKind, retry: Option<Duration>) -> Response<AnswerBody> {
        let text: &'static str = kind.into();
        log::info!(request = self.incoming.head.id_text(), cause = text, sends = self.sends; "refused");
        if self.possible_runs == 0
            && kind != RefusalKind::OutcomeUnknown
            && kind != RefusalKind::DeadlineExceeded
        {
            self.refund();
        }
        let response = answer::refusal(kind, retry);
        self.count_answer(response.status(), text);
        response
    }

    /// Refunds the team's units for a request that has not run.
    fn refund(&self) {
        if let Some(team) = &self.incoming.head.team {
            let units = self.incoming.head.units();
            self.context
                .scheduler
                .borrow_mut()
                .refund(team, units, clock::now());
        }
    }
}
