//! What the tasks of one process share: its decisions, and those who wait for them.
//!
//! Everything runs on one thread, so that decisions need no locks and none is held across a wait.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    Ending, Outcome, Placement, PlacementRefusal, PlacementRequest, ProcessLag, Run, Scheduler,
    Section, Ticket,
};
use tokio::sync::{Notify, oneshot};
use tokio_util::task::TaskTracker;

use crate::clock;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::upstream::Upstream;

/// Part of a route's longest deadline above which a caller's deadline is a usual one: callers'
/// patience differs.
const USUAL_PART: f64 = 0.8;

/// A place at an endpoint. It is given back when this is dropped.
#[derive(Debug)]
pub struct Hold {
    context: Rc<Context>,
    run: Run,
    over: bool,
}

impl Hold {
    /// Notes the first byte of the answer.
    pub fn begin(&mut self) {
        let now = clock::now();
        self.context
            .scheduler
            .borrow_mut()
            .record_first_byte(&mut self.run, now);
    }

    /// Notes how long the answer's events took.
    pub fn stream(&self, events: u32, span: Duration) {
        self.context
            .scheduler
            .borrow_mut()
            .record_events(&self.run, events, span);
    }

    /// Gives the place back.
    pub fn end(mut self, ending: Ending) {
        self.finish(ending);
    }

    fn finish(&mut self, ending: Ending) {
        if !std::mem::replace(&mut self.over, true) {
            let now = clock::now();
            self.context
                .scheduler
                .borrow_mut()
                .end(&self.run, ending, now);
            self.context.settle();
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.finish(Ending::Cancelled);
    }
}

/// What became of an ask.
#[derive(Debug)]
pub enum Answer {
    /// It goes to an endpoint.
    Placed(Box<Placement>, Hold),
    /// It is refused.
    Turned(PlacementRefusal),
}

/// Limits of time that a direct entry keeps.
#[derive(Debug, Clone)]
pub struct Times {
    /// A keyed request runs only while the configuration was confirmed less than this ago.
    pub current: Duration,
    /// How long a leaving process may still work.
    pub grace: Duration,
    /// How long an endpoint is used that is no longer listed.
    pub lapse: Duration,
    /// How long a list that came back may still lack endpoints that are there.
    pub back: Duration,
}

/// The state of one process.
#[derive(Debug)]
pub struct Context {
    /// The decisions.
    pub scheduler: RefCell<Scheduler>,
    /// Connections to endpoints.
    pub upstream: Upstream,
    /// Words of the wire.
    pub dialect: Dialect,
    /// Limits of time.
    pub times: Times,
    /// Every task of the process.
    pub tasks: TaskTracker,
    /// Counters.
    pub metrics: Metrics,
    strain: Cell<ProcessLag>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    next: Cell<u64>,
    leaving: Cell<bool>,
    fetching: Cell<bool>,
    /// Whether the store was asked for each section.
    asked: Cell<[bool; 2]>,
    news: Notify,
    /// The longest deadline that callers gave each route: a shorter one tells of time that passed.
    longest: RefCell<HashMap<Arc<str>, Duration>>,
}

impl Context {
    /// A context around a scheduler.
    #[must_use]
    pub fn new(
        scheduler: Scheduler,
        dialect: Dialect,
        times: Times,
        metrics: Metrics,
        tasks: TaskTracker,
    ) -> Rc<Self> {
        Rc::new(Self {
            scheduler: RefCell::new(scheduler),
            upstream: Upstream::new(tasks.clone()),
            dialect,
            times,
            tasks,
            metrics,
            strain: Cell::default(),
            waiters: RefCell::default(),
            next: Cell::new(0),
            leaving: Cell::new(false),
            fetching: Cell::new(false),
            asked: Cell::default(),
            news: Notify::new(),
            longest: RefCell::default(),
        })
    }

    /// Whether the process is about to end.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Begins to end.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.scheduler.borrow_mut().start_leaving();
    }

    /// Whether a configuration is in force and was confirmed lately.
    #[must_use]
    pub fn is_current(&self, now: Timestamp) -> bool {
        let scheduler = self.scheduler.borrow();
        let known = scheduler.plan().version > 0;
        known && scheduler.confirmation().is_current(self.times.current, now)
    }

    /// Notes by how much a timer came late.
    pub fn note_lag(&self, late: Duration) {
        let mut strain = self.strain.get();
        strain.record(late);
        self.strain.set(strain);
    }

    /// How late the process runs.
    pub fn strain(&self) -> ProcessLag {
        self.strain.get()
    }

    /// How long a request has been under way before it came here: its caller's deadline has shrunk
    /// by that against the route's usual one, or nothing if it may be one of the usual ones.
    pub fn elapsed(&self, route: &Arc<str>, deadline: Duration) -> Duration {
        let mut longest = self.longest.borrow_mut();
        let usual = longest.entry(Arc::clone(route)).or_insert(deadline);
        *usual = (*usual).max(deadline);
        if deadline >= usual.mul_f64(USUAL_PART) {
            return Duration::ZERO;
        }
        *usual - deadline
    }

    /// Whether nothing runs and nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let totals = self.scheduler.borrow().totals();
        totals.running == 0 && totals.waiting == 0
    }

    /// Whether a request waits for a place.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.waiters.borrow().is_empty()
    }

    /// Notes that the store was asked for a section, whether it answered or not.
    pub fn note_asked(&self, section: Section) {
        let mut asked = self.asked.get();
        asked[section as usize] = true;
        self.asked.set(asked);
    }

    /// Whether what peers know may be taken: a process that starts asks the store first. Otherwise all
    /// that start together would ask the one that is ready first.
    #[must_use]
    pub fn has_asked(&self) -> bool {
        self.asked.get() == [true; 2]
    }

    /// Notes that this entry has read something new, which its peers should hear of soon.
    pub fn tell_news(&self) {
        self.news.notify_one();
    }

    /// Waits until there is something new to tell.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Whether a snapshot may be fetched now: one at a time.
    #[must_use]
    pub fn begin_fetch(&self) -> bool {
        !self.fetching.replace(true)
    }

    /// The snapshot came, or did not.
    pub fn end_fetch(&self) {
        self.fetching.set(false);
    }

    /// Forgets the endpoints that lapsed and did not come back.
    pub fn drop_lapsed(&self) {
        let gone = self.scheduler.borrow_mut().remove_expired(clock::now());
        for id in gone {
            log::info!(endpoint:% = id; "gone: it did not come back to the list");
        }
    }

    /// Brings the gauges up to date.
    pub fn measure(&self) {
        let scheduler = self.scheduler.borrow();
        let totals = scheduler.totals();
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.waiting.set(gauge(totals.waiting));
        self.metrics.members.set(gauge(totals.members));
        if let Some(age) = scheduler.confirmation().age(clock::now()) {
            self.metrics
                .age
                .set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        }
    }

    /// Writes what is known of each endpoint to the log.
    pub fn describe(&self) {
        let scheduler = self.scheduler.borrow();
        let now = clock::now();
        for id in scheduler.endpoints().ids() {
            let Some(known) = scheduler.endpoints().get(&id) else {
                continue;
            };
            log::debug!(
                endpoint:% = id,
                service:% = known.record().service,
                centre:% = known.record().centre,
                slots = known.record().slots,
                running = known.load().running,
                own = known.own().running,
                pending = known.load().pending,
                first = known.latency().estimate(0.0).round(),
                slope = (known.latency().slope() * 1e5).round() / 1e5,
                failures = (known.failure_rate(now) * 100.0).round() / 100.0,
                cold = known.is_cold(now),
                suspect = known.is_avoided(now);
                "endpoint"
            );
        }
    }

    /// Names another request.
    pub fn ticket(&self) -> Ticket {
        self.next.set(self.next.get() + 1);
        Ticket(self.next.get())
    }

    /// Waits until it is decided where a request goes.
    pub async fn place(self: &Rc<Self>, ask: PlacementRequest) -> Answer {
        let (service, ticket) = (Arc::clone(&ask.service), ask.ticket);
        let asked = self.scheduler.borrow_mut().submit(ask, clock::now());
        if let Some(outcome) = asked {
            return self.answer(outcome);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let waiting = Waiting {
            context: Rc::clone(self),
            service,
            ticket,
        };
        let answer = receiver.await;
        drop(waiting);
        answer.unwrap_or(Answer::Turned(PlacementRefusal {
            reason: comfreyhaven_core::direct::Reason::Overloaded,
            retry_after: Duration::from_secs(1),
        }))
    }

    fn answer(self: &Rc<Self>, outcome: Outcome) -> Answer {
        match outcome {
            Outcome::Refused(turned) => Answer::Turned(turned),
            Outcome::Placed(placement) => {
                let run = placement.run.clone();
                let hold = Hold {
                    context: Rc::clone(self),
                    run,
                    over: false,
                };
                Answer::Placed(placement, hold)
            }
        }
    }

    /// Passes on what was decided about those who wait.
    pub fn settle(self: &Rc<Self>) {
        let settled = self.scheduler.borrow_mut().process_queues(clock::now());
        for (ticket, outcome) in settled {
            let answer = self.answer(outcome);
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            if let Some(waiter) = waiter {
                // A request that is gone gives its place back when the answer is dropped.
                drop(waiter.send(answer));
            }
        }
    }
}

/// Takes a request back that is no longer waited for.
struct Waiting {
    context: Rc<Context>,
    service: Arc<str>,
    ticket: Ticket,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.context.waiters.borrow_mut().remove(&self.ticket);
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.withdraw(&self.service, self.ticket);
    }
}
