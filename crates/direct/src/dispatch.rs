//! Handles one request: places it, sends it, retries it if the route allows that, and answers it.

mod attempt;
mod crash_check;
mod hedge;
mod origin;
mod reserve;
mod send;
mod source;
mod stream;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    Contained, EndpointId, EndpointRecord, Origin, PlacementRefusal, PlacementRequest, RetryUsage,
};
use comfreyhaven_core::refusal::RefusalKind;
use hyper::{Response, StatusCode};
use strum::IntoStaticStr;

use crate::answer::{self, AnswerBody};
use crate::clock;
use crate::context::{Context, PlacementOutcome};
use crate::front::log_contained;
use crate::incoming::IncomingRequest;
use attempt::{Begun, Failure};

/// Maximum number of sends of one request, including rejected ones.
const SEND_LIMIT: u32 = 5;

/// Time that must remain before the deadline for another send to be useful.
const MIN_SEND_TIME: Duration = Duration::from_millis(60);

/// How long a stream that has begun may wait for a slot at its build.
const RESUME_WAIT: Duration = Duration::from_millis(600);

/// Retry delay sent to callers when no endpoint could be reached.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// What the retry budget said of a request that is to be sent once more.
#[derive(Debug, Clone, Copy, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum RetryOutcome {
    /// The budget had a retry left.
    Taken,
    /// The budget was spent.
    Withheld,
    /// The budget was not asked, as no endpoint has received the request.
    Uncharged,
}

/// Times that the last placement of a request estimated, in milliseconds from its placement.
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    first_byte: u64,
    last_byte: u64,
}

/// One admitted request and the state of its sends, of which several may be under way: one at an
/// endpoint that is slow or silent, and others at other endpoints.
pub(crate) struct Dispatch {
    context: Rc<Context>,
    incoming: IncomingRequest,
    service: Arc<str>,
    /// Where the stream began, once that is known.
    origin: Option<Origin>,
    /// When the caller's deadline or the route's timeout ends, whichever is earlier.
    deadline: Timestamp,
    objective: Timestamp,
    /// Time that the caller had spent before, as far as its deadline shows it.
    elapsed: Duration,
    excluded: RefCell<Vec<EndpointId>>,
    sends: Cell<u32>,
    /// Number of sends that may have reached an endpoint.
    arrivals: Cell<u32>,
    /// Number of endpoints that run the request or may have run it, including those that have not
    /// answered yet.
    possible_runs: Cell<u32>,
    /// Whether the request has been sent elsewhere since an endpoint was silent.
    moved: Cell<bool>,
    /// Total time the request has waited for a slot.
    waited: Cell<Duration>,
    estimate: Cell<Estimate>,
    /// The last failure that an endpoint has answered. It is the caller's answer if no endpoint
    /// succeeds.
    failed: RefCell<Option<Response<AnswerBody>>>,
    /// Whether the end of the request has been logged.
    ended: Cell<bool>,
}

/// A request that is dropped before its end was abandoned by its caller.
impl Drop for Dispatch {
    fn drop(&mut self) {
        if !self.ended.get() {
            log::info!(
                request = self.incoming.head.id_text(),
                sends = self.sends.get(),
                waited = clock::millis(clock::now().since(self.incoming.arrived));
                "caller gone"
            );
        }
    }
}

impl Dispatch {
    /// `origin` states where the stream began that the request takes up, if it does.
    pub(crate) fn new(
        context: Rc<Context>,
        incoming: IncomingRequest,
        service: Arc<str>,
        origin: Option<Origin>,
    ) -> Self {
        let head = &incoming.head;
        // The objective of a stream that has begun counts from its return.
        let elapsed = match &origin {
            Some(_) => Duration::ZERO,
            None => context.elapsed(&head.route.name, head.deadline),
        };
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
            elapsed,
            context,
            incoming,
            service,
            origin,
            excluded: RefCell::default(),
            sends: Cell::new(0),
            arrivals: Cell::new(0),
            possible_runs: Cell::new(0),
            moved: Cell::new(false),
            waited: Cell::default(),
            estimate: Cell::default(),
            failed: RefCell::default(),
            ended: Cell::new(false),
        }
    }

    /// Sends the request until there is an answer or the deadline passes.
    pub(crate) async fn run(self) -> Response<AnswerBody> {
        let left = self.deadline.since(clock::now());
        let begun = tokio::time::timeout(left, self.begin(None)).await;
        match begun {
            Ok(Ok(Begun::Complete(response))) => self.answer(response),
            Ok(Ok(Begun::Stream(start))) => stream::start(self, *start).await,
            Ok(Err(Failure::Refused(refusal))) => self.fail(|| self.refuse_unplaced(&refusal)),
            Ok(Err(Failure::Contained(contained))) => {
                self.fail(|| self.refuse_contained(&contained))
            }
            Ok(Err(Failure::Unanswered)) if self.possible_runs.get() == 0 => {
                self.refuse(RefusalKind::Overloaded, Some(self.retry_delay()))
            }
            Ok(Err(Failure::Unanswered)) => {
                self.fail(|| self.refuse(RefusalKind::OutcomeUnknown, None))
            }
            Err(_) if self.possible_runs.get() > 0 => {
                self.fail(|| self.refuse(RefusalKind::DeadlineExceeded, None))
            }
            Err(_) => self.refuse(RefusalKind::Overloaded, Some(RETRY_DELAY)),
        }
    }

    /// Returns after which delay a caller may return whose request no endpoint has run.
    fn retry_delay(&self) -> Duration {
        let mut scheduler = self.context.scheduler.borrow_mut();
        let build = self.build().map(|build| &**build);
        let paused = scheduler.pause_delay(&self.service, build, clock::now());
        paused.unwrap_or(RETRY_DELAY)
    }

    /// Answers with what an endpoint has answered.
    fn answer(&self, response: Response<AnswerBody>) -> Response<AnswerBody> {
        self.count_answer(response.status(), "endpoint");
        response
    }

    /// Answers with the failure of an endpoint, or with `refusal` if none has answered.
    fn fail(&self, refusal: impl FnOnce() -> Response<AnswerBody>) -> Response<AnswerBody> {
        match self.failed.take() {
            Some(response) => self.answer(response),
            None => refusal(),
        }
    }

    /// Answers a request for which the scheduler has found no slot.
    fn refuse_unplaced(&self, refusal: &PlacementRefusal) -> Response<AnswerBody> {
        let text: &'static str = refusal.reason.into();
        let totals = self.context.scheduler.borrow().totals();
        log::info!(
            request = self.incoming.head.id_text(),
            cause = text,
            waited = clock::millis(self.waited.get()),
            retry = clock::millis(refusal.retry_after),
            waiting = totals.waiting,
            running = totals.running,
            members = totals.members;
            "turned away"
        );
        let kind = if self.possible_runs.get() > 0 {
            RefusalKind::OutcomeUnknown
        } else {
            RefusalKind::Overloaded
        };
        self.refuse(kind, Some(refusal.retry_after))
    }

    /// Answers a request that is not sent, since requests like it crash endpoints.
    fn refuse_contained(&self, contained: &Contained) -> Response<AnswerBody> {
        log_contained(self.incoming.head.id_text(), contained);
        let kind = match self.possible_runs.get() {
            0 => RefusalKind::Contained,
            _ => RefusalKind::OutcomeUnknown,
        };
        self.refuse(kind, Some(contained.wait))
    }

    /// Takes a retry from the budget, if there is time for another send. Returns whether the request
    /// may be sent again. The first send that reaches an endpoint is no retry.
    fn take_retry(&self) -> bool {
        let now = clock::now();
        if self.deadline <= now + MIN_SEND_TIME {
            return false;
        }
        if self.arrivals.get() == 0 {
            self.count_retry(RetryOutcome::Uncharged);
            return true;
        }
        let mut scheduler = self.context.scheduler.borrow_mut();
        let taken = scheduler.take_retry(&self.service, now);
        let usage = scheduler.retry_usage(&self.service, now);
        drop(scheduler);
        let outcome = match taken {
            true => RetryOutcome::Taken,
            false => RetryOutcome::Withheld,
        };
        self.log_retry(outcome, &usage);
        taken
    }

    /// Logs a retry that was taken from the budget or withheld, and what the budget is after it.
    fn log_retry(&self, outcome: RetryOutcome, usage: &RetryUsage) {
        self.count_retry(outcome);
        let outcome: &'static str = outcome.into();
        log::info!(
            request = self.incoming.head.id_text(),
            service:% = self.service,
            outcome = outcome,
            sends = self.sends.get(),
            arrivals = self.arrivals.get(),
            part:% = format_args!("{:.4}", usage.part),
            requests = usage.requests,
            retries = usage.retries,
            allowed:% = format_args!("{:.1}", usage.allowed);
            "retry"
        );
    }

    fn count_retry(&self, outcome: RetryOutcome) {
        let outcome: &'static str = outcome.into();
        let retries = &self.context.metrics.retries;
        retries.with_label_values(&[outcome]).inc();
    }

    /// Does not place the request at this endpoint again.
    fn exclude(&self, record: &EndpointRecord) {
        self.excluded.borrow_mut().push(record.id.clone());
    }

    /// Allows the request to be placed at this endpoint again.
    fn include(&self, record: &EndpointRecord) {
        self.excluded.borrow_mut().retain(|id| *id != record.id);
    }

    /// Returns the build that has to run the request, if one has begun the stream.
    fn build(&self) -> Option<&Arc<str>> {
        self.origin.as_ref().map(|origin| &origin.build)
    }

    /// Returns whether the request may go on elsewhere: it is certain where its stream began, if it
    /// has.
    fn may_go_on(&self) -> bool {
        let scheduler = self.context.scheduler.borrow();
        let origin = self.origin.as_ref();
        origin.is_none_or(|origin| scheduler.is_certain(origin))
    }

    /// Returns why the request may go to no endpoint, if requests like it crash endpoints.
    fn contained(&self) -> Option<Contained> {
        let scheduler = self.context.scheduler.borrow();
        let containment = scheduler.containment();
        containment.contained(&self.incoming.fingerprint, clock::now())
    }

    /// Waits for a slot at an endpoint.
    async fn place(&self) -> PlacementOutcome {
        let started = clock::now();
        let request = self.placement_request(started);
        let outcome = self.context.place(request).await;
        let waited = clock::now().since(started);
        self.context.metrics.waits.observe(waited.as_secs_f64());
        self.waited.set(self.waited.get() + waited);
        if let PlacementOutcome::Placed(placement, _) = &outcome {
            self.estimate.set(Estimate {
                first_byte: placement.first_byte,
                last_byte: placement.last_byte,
            });
        }
        outcome
    }

    /// Returns what the scheduler needs to know to place the request at `now`.
    fn placement_request(&self, now: Timestamp) -> PlacementRequest {
        let head = &self.incoming.head;
        let objective = match &self.origin {
            Some(_) => self.objective.max(now + RESUME_WAIT),
            None => self.objective,
        };
        PlacementRequest {
            ticket: self.context.ticket(),
            service: Arc::clone(&self.service),
            build: self.build().cloned(),
            kind: Arc::clone(&head.route.name),
            average_time: Duration::ZERO,
            share: 0,
            team: head.team_digest(),
            team_rank: head.team_rank(),
            rank: head.route.rank,
            prompt: head.cost.map_or(0, |cost| u64::from(cost.prompt)),
            length: head.length,
            memory: head.cost.map_or(0, |cost| cost.total()),
            streaming: head.route.streaming,
            arrived: self.incoming.arrived,
            elapsed: self.elapsed,
            objective,
            deadline: self.deadline,
            event_gap: head.route.event_gap,
            excluded: self.excluded.borrow().clone(),
        }
    }

    fn count_answer(&self, status: StatusCode, cause: &str) {
        self.ended.set(true);
        let answers = &self.context.metrics.answers;
        answers.with_label_values(&[status.as_str(), cause]).inc();
    }

    fn refuse(&self, kind: RefusalKind, retry: Option<Duration>) -> Response<AnswerBody> {
        let text: &'static str = kind.into();
        log::info!(request = self.incoming.head.id_text(), cause = text, sends = self.sends.get(); "refused");
        if self.possible_runs.get() == 0
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
