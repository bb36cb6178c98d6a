//! The life of one request: placed, sent, sent again where that is allowed, and answered.

mod stream;

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{Ask, Ending, EndpointId, Listing, Placement, Run, silence};
use comfreyhaven_core::refusal::RefusalKind;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};

use crate::answer::{self, AnswerBody};
use crate::clock;
use crate::context::{Answer, Context, Hold};
use crate::intake::Intake;
use crate::upstream::{Lease, Reply, SendError};

/// Sends of one request at most, rejected ones among them.
const SENDS_LIMIT: u32 = 5;

/// Largest answer that is held until it is whole, in bytes.
const WHOLE_LIMIT_BYTES: usize = 8 << 20;

/// Time that has to be left to leave an endpoint that says nothing.
const LEAVING_TIME: Duration = Duration::from_millis(150);

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
    ) -> Result<Response<AnswerBody>, (Reply, Hold, Listing)> {
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
                        retry = clock::millis(turned.retry),
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
                    return Ok(self.refuse(kind, Some(turned.retry)));
                }
            };
            *sending = true;
            self.sends += 1;
            let endpoint = placement.listing.id.clone();
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
                    route.repeat.is_allowed() && self.runs < route.attempts
                }
            };
            let now = clock::now();
            let useful = now + USEFUL_TIME < self.limit;
            let repeat = again && useful && {
                let mut scheduler = self.context.scheduler.borrow_mut();
                scheduler.repeat(&self.service, now)
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
        let ask = Ask {
            ticket: self.context.ticket(),
            service: Arc::clone(&self.service),
            kind: Arc::clone(&head.route.name),
            typical: Duration::ZERO,
            standing: head.standing(),
            rank: head.route.rank,
            prompt: head.cost.map_or(0, |cost| u64::from(cost.prompt)),
            length: head.length,
            streaming: head.route.streaming,
            arrived: self.intake.arrived,
            objective: self.objective,
            deadline: self.limit,
            pause: head.route.pause,
            excluded: self.excluded.clone(),
        };
        let answer = self.context.place(ask).await;
        let waited = clock::now().since(begun);
        self.context.metrics.waits.observe(waited.as_secs_f64());
        self.waited += waited;
        if let Answer::Placed(placement, _) = &answer {
            self.expected = placement.expected;
            self.whole = placement.whole;
        }
        answer
    }

    /// The request as one endpoint gets it.
    fn request(&self, listing: &Listing, resume: Option<u64>) -> Request<Full<Bytes>> {
        let dialect = &self.context.dialect;
        let parts = &self.intake.parts;
        let mut headers = self.intake.head.headers.clone();
        let deadline = self.intake.arrived + self.intake.head.deadline;
        let left = deadline.min(self.limit).since(clock::now()).as_millis();
        set(&mut headers, &dialect.deadline, &left.to_string());
        set(&mut headers, &dialect.instance, &listing.id);
        if let Some(team) = &self.intake.head.team {
            set(&mut headers, &dialect.team, &team.name);
        }
        if let Some(last) = resume {
            set(&mut headers, &dialect.resume, &last.to_string());
        }
        let mut request = Request::new(Full::new(self.intake.body.clone()));
        *request.method_mut() = parts.method.clone();
        let target = parts.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(|| parts.uri.clone(), Into::into);
        *request.headers_mut() = headers;
        request
    }

    /// Sends the request once, and leaves an endpoint that says nothing where another may be tried.
    async fn send(
        &self,
        placement: &Placement,
        hold: Hold,
    ) -> Result<Result<Response<AnswerBody>, Fault>, (Reply, Hold, Listing)> {
        let mut sending = pin!(self.exchange(placement, hold));
        let streaming = self.intake.head.route.streaming;
        let expected = Duration::from_millis(placement.expected);
        let patience = silence::first_byte(expected, streaming);
        if let Ok(result) = tokio::time::timeout(patience, sending.as_mut()).await {
            return result;
        }
        if !self.may_leave(&placement.listing) {
            return sending.await;
        }
        self.leave_silent(&placement.run);
        Ok(Err(Fault::Unknown))
    }

    /// Whether the request may leave an endpoint that runs it for another one.
    fn may_leave(&self, listing: &Listing) -> bool {
        let route = &self.intake.head.route;
        let now = clock::now();
        if !route.repeat.is_allowed()
            || self.runs + 1 >= route.attempts
            || self.limit < now + LEAVING_TIME
        {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(listing.id.clone());
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.may_repeat(&self.service, &excluded, route.streaming, now)
    }

    fn leave_silent(&self, run: &Run) {
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.leave_silent(run, clock::now());
        drop(scheduler);
        let sends = &self.context.metrics.sends;
        sends.with_label_values(&["silent"]).inc();
        log::info!(request = self.intake.head.name(), endpoint:% = run.endpoint, send = self.sends; "silent");
    }

    /// Sends the request once. A stream that has begun is handed over as the outer error.
    async fn exchange(
        &self,
        placement: &Placement,
        hold: Hold,
    ) -> Result<Result<Response<AnswerBody>, Fault>, (Reply, Hold, Listing)> {
        let listing = &placement.listing;
        let request = self.request(listing, None);
        match self.context.upstream.send(listing, request).await {
            Err(error) => Ok(Err(self.broken(&error, listing, hold))),
            Ok(reply) => match self.kind(&reply.response) {
                Kind::Success if self.intake.head.route.streaming => {
                    Err((reply, hold, listing.clone()))
                }
                Kind::Success => Ok(self.collect(reply, hold, listing, Ending::Whole).await),
                Kind::Failure => match self.collect(reply, hold, listing, Ending::Failed).await {
                    Ok(response) => Ok(Err(Fault::Failed(response))),
                    Err(fault) => Ok(Err(fault)),
                },
                Kind::Rejected => Ok(Err(self.rejected(reply, hold, listing))),
                Kind::Foreign => {
                    self.note("foreign", listing);
                    hold.end(Ending::Broken);
                    Ok(Err(Fault::Unknown))
                }
            },
        }
    }

    fn note(&self, outcome: &str, listing: &Listing) {
        self.context
            .metrics
            .sends
            .with_label_values(&[outcome])
            .inc();
        log::info!(request = self.intake.head.name(), endpoint:% = listing.id, send = self.sends; "{outcome}");
    }

    fn broken(&self, error: &SendError, listing: &Listing, hold: Hold) -> Fault {
        self.note(
            if error.is_unsent() {
                "unsent"
            } else {
                "broken"
            },
            listing,
        );
        log::info!(request = self.intake.head.name(), endpoint:% = listing.id; "no answer: {error}");
        hold.end(Ending::Broken);
        self.context.upstream.close(&listing.id);
        if error.is_unsent() {
            return Fault::NotRun;
        }
        let digest = self.intake.digest;
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.suspects_mut().note(digest, clock::now());
        Fault::Unknown
    }

    /// The endpoint did not run the request.
    fn rejected(&self, reply: Reply, hold: Hold, listing: &Listing) -> Fault {
        self.note("rejected", listing);
        let other = reply.response.status() == StatusCode::MISDIRECTED_REQUEST;
        hold.end(if other {
            Ending::Broken
        } else {
            Ending::Rejected
        });
        if other {
            self.context.upstream.close(&listing.id);
        } else {
            self.drain(reply);
        }
        Fault::NotRun
    }

    /// Reads the rest of an answer that nobody needs, so that its connection can be kept.
    fn drain(&self, reply: Reply) {
        let upstream = self.context.upstream.clone();
        self.context.tasks.spawn_local(async move {
            let (response, lease) = reply.split();
            let reading = Limited::new(response.into_body(), WHOLE_LIMIT_BYTES).collect();
            if let Ok(Ok(_)) = tokio::time::timeout(RETRY_PAUSE, reading).await {
                upstream.keep(lease).await;
            }
        });
    }

    /// Reads an answer to its end before the caller sees any of it.
    async fn collect(
        &self,
        reply: Reply,
        mut hold: Hold,
        listing: &Listing,
        ending: Ending,
    ) -> Result<Response<AnswerBody>, Fault> {
        hold.begin();
        let (response, lease) = reply.split();
        let (parts, body) = response.into_parts();
        let read = Limited::new(body, WHOLE_LIMIT_BYTES).collect().await;
        let Ok(body) = read else {
            self.note("broken", listing);
            hold.end(Ending::Broken);
            return Err(Fault::Unknown);
        };
        self.context
            .metrics
            .sends
            .with_label_values(&["answered"])
            .inc();
        log::info!(
            request = self.intake.head.name(),
            endpoint:% = listing.id,
            status = parts.status.as_u16(),
            send = self.sends;
            "answered"
        );
        hold.end(ending);
        self.finish(lease);
        let headers = passed_back(&parts.headers);
        self.count(parts.status, "endpoint");
        Ok(answer::whole(parts.status, headers, body.to_bytes()))
    }

    /// Keeps the connection of a whole answer.
    fn finish(&self, lease: Lease) {
        let upstream = self.context.upstream.clone();
        self.context
            .tasks
            .spawn_local(async move { upstream.keep(lease).await });
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.suspects_mut().clear(self.intake.digest);
    }

    fn kind<B>(&self, response: &Response<B>) -> Kind {
        let dialect = &self.context.dialect;
        let headers = response.headers();
        if headers.get(&dialect.request) != Some(&self.intake.head.id) {
            return Kind::Foreign;
        }
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || headers.contains_key(&dialect.rejected) {
            return Kind::Rejected;
        }
        match headers.contains_key(&dialect.seal) {
            true if response.status().is_success() => Kind::Success,
            true => Kind::Failure,
            false => Kind::Foreign,
        }
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

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(name, value)),
        Err(error) => log::warn!("{name} is not set: {error}"),
    }
}

/// Headers of an endpoint's answer that the caller sees.
fn passed_back(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "upgrade",
        "trailer",
        "te",
    ] {
        passed.remove(name);
    }
    passed.remove(CONTENT_LENGTH);
    passed.remove(TRANSFER_ENCODING);
    passed
}
