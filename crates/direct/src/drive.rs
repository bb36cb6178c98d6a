//! The life of one request: placed, sent, sent again where that is allowed, and answered.

mod send;
mod stream;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointId, EndpointRecord, PlacementRequest};
use comfreyhaven_core::refusal::RefusalKind;
use hyper::{Response, StatusCode};

use crate::answer::{self, AnswerBody};
use crate::clock;
use crate::context::{Answer, Context, Hold};
use crate::intake::Intake;
use crate::upstream::Reply;

/// Sends of one request at most, rejected ones among them.
const SENDS_LIMIT: u32 = 5;

/// Time that has to be left for another send to be of use.
const USEFUL_TIME: Duration = Duration::from_millis(60);

/// Pause that is named to callers while no endpoint could be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// What may be done with an endpoint's answer.
enum Kind {
    /// The endpoint did not run the request.
    Rejected,
    /// Its own success.
    Success,
    /// Its own failure.
    Failure,
    /// Not the answer to this request.
    Foreign,
}

/// A failed send.
enum Fault {
    /// The request has not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The endpoint ran it and failed; this is its answer.
    Failed(Response<AnswerBody>),
}

/// One request on its way.
pub(crate) struct Drive {
    context: Rc<Context>,
    intake: Intake,
    service: Arc<str>,
    /// When the caller, or the route's timeout, ends it.
    limit: Timestamp,
    objective: Timestamp,
    excluded: Vec<EndpointId>,
    sends: u32,
    /// Endpoints that may have run it.
    runs: u32,
    /// How long it waited for a place, in all.
    waited: Duration,
    /// When its first byte was expected at the last placement, in milliseconds.
    expected: u64,
    /// When its last byte was, in milliseconds.
    whole: u64,
}

impl Drive {
    pub(crate) fn new(context: Rc<Context>, intake: Intake, service: Arc<str>) -> Self {
        let head = &intake.head;
        let elapsed = context.elapsed(&head.route.name, head.deadline);
        let span = head.deadline.min(head.route.timeout);
        log::info!(
            request = head.name(),
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
            limit: intake.arrived + span,
            objective: intake.arrived + objective,
            context,
            intake,
            service,
            excluded: Vec::new(),
            sends: 0,
            runs: 0,
            waited: Duration::ZERO,
            expected: 0,
            whole: 0,
        }
    }

    /// Sees the request through to an answer.
    pub(crate) async fn run(mut self) -> Response<AnswerBody> {
        let left = self.limit.since(clock::now());
        let mut sending = false;
        let answered = tokio::time::timeout(left, self.attempts(&mut sending)).await;
        match answered {
            Ok(Ok(response)) => response,
            Ok(Err((reply, hold, listing))) => stream::begin(self, reply, hold, listing).await,
            Err(_) if self.runs > 0 || sending => self.refuse(RefusalKind::DeadlineExceeded, None),
            Err(_) => self.refuse(RefusalKind::Overloaded, Some(RETRY_PAUSE)),
        }
    }

    /// Sends until there is an answer, or a stream that has begun.
    async fn attempts(
        &mut self,
        sending: &mut bool,
    ) -> Result<Response<AnswerBody>, (Reply, Hold, EndpointRecord)> {
        let mut failed = None;
        loop {
            let (placement, hold) = match self.place().await {
                Answer::Placed(placement, hold) => (placement, hold),
                Answer::Turned(turned) => {
                    if let Some(response) = failed {
                        return Ok(response);
                    }
                    let text: &'static str = turned.reason.into();
                    let totals = self.context.scheduler.borrow().totals();
                    log::info!(
                        request = self.intake.head.name(),
                        cause = text,
                        waited = clock::millis(self.waited),
                        retry = clock::millis(turned.retry_after),
                        waiting = totals.waiting,
                        running = totals.running,
                        members = totals.members;
                        "turned away"
                    );
                    let kind = if self.runs > 0 {
                        RefusalKind::OutcomeUnknown
                    } else {
                        RefusalKind::Overloaded
                    };
                    return Ok(self.refuse(kind, Some(turned.retry_after)));
                }
            };
            *sending = true;
            self.sends += 1;
            let endpoint = placement.record.id.clone();
            let fault = match self.send(&placement, hold).await? {
                Ok(response) => return Ok(response),
                Err(fault) => fault,
            };
            *sending = false;
            self.excluded.push(endpoint);
            let again = match &fault {
                Fault::NotRun => self.sends < SENDS_LIMIT,
                Fault::Unknown | Fault::Failed(_) => {
                    self.runs += 1;
                    let route = &self.intake.head.route;
                    route.retry.is_allowed() && self.runs < route.max_attempts
                }
            };
            let now = clock::now();
            let useful = now + USEFUL_TIME < self.limit;
            let repeat = again && useful && {
                let mut scheduler = self.context.scheduler.borrow_mut();
                scheduler.take_retry(&self.service, now)
            };
            let unrun = matches!(fault, Fault::NotRun) && self.runs == 0;
            if let Fault::Failed(response) = fault {
                failed = Some(response);
            }
            if repeat {
                continue;
            }
            return Ok(match failed {
                Some(response) => response,
                None if unrun => self.refuse(RefusalKind::Overloaded, Some(RETRY_PAUSE)),
                None => self.refuse(RefusalKind::OutcomeUnknown, None),
            });
        }
    }

    /// Asks for an endpoint.
    async fn place(&mut self) -> Answer {
        let begun = clock::now();
        let head = &self.intake.head;
        let ask = PlacementRequest {
            ticket: self.context.ticket(),
            service: Arc::clone(&self.service),
            kind: Arc::clone(&head.route.name),
            average_time: Duration::ZERO,
            team_rank: head.standing(),
            rank: head.route.rank,
            prompt: head.cost.map_or(0, |cost| u64::from(cost.prompt)),
            length: head.length,
            streaming: head.route.streaming,
            arrived: self.intake.arrived,
            objective: self.objective,
            deadline: self.limit,
            event_gap: head.route.event_gap,
            excluded: self.excluded.clone(),
        };
        let answer = self.context.place(ask).await;
        let waited = clock::now().since(begun);
        self.context.metrics.waits.observe(waited.as_secs_f64());
        self.waited += waited;
        if let Answer::Placed(placement, _) = &answer {
            self.expected = placement.first_byte;
            self.whole = placement.last_byte;
        }
        answer
    }

    fn count(&self, status: StatusCode, cause: &str) {
        let answers = &self.context.metrics.answers;
        answers.with_label_values(&[status.as_str(), cause]).inc();
    }

    fn refuse(&self, kind: RefusalKind, retry: Option<Duration>) -> Response<AnswerBody> {
        let text: &'static str = kind.into();
        log::info!(request = self.intake.head.name(), cause = text, sends = self.sends; "refused");
        if self.runs == 0
            && kind != RefusalKind::OutcomeUnknown
            && kind != RefusalKind::DeadlineExceeded
        {
            self.refund();
        }
        let response = answer::refused(kind, retry);
        self.count(response.status(), text);
        response
    }

    /// Gives the team back what a request took that has not run.
    fn refund(&self) {
        if let Some(team) = &self.intake.head.team {
            let units = self.intake.head.units();
            self.context
                .scheduler
                .borrow_mut()
                .refund(team, units, clock::now());
        }
    }
}
