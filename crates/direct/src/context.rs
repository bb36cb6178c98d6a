//! State shared by the tasks of one process: the scheduler, and the requests that wait for its
//! decisions.
//!
//! All tasks run on one thread, so the scheduler needs no lock. It is never borrowed across an
//! await.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{
    EndpointRecord, Outcome, Placement, PlacementRefusal, PlacementRequest, ProcessLag,
    ReactionLimit, Scheduler, Section, StoreRevision, Ticket, Withheld,
};
use tokio::sync::{Notify, oneshot};
use tokio_util::task::TaskTracker;

use crate::body::LargeAnswers;
use crate::buffers::Buffers;
use crate::clock;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::peers::PeerSocket;
use crate::repeated_fault::RepeatedFault;
use crate::slot_guard::SlotGuard;
use crate::upstream::Upstream;

/// Part of a route's longest deadline; a deadline of at least this part counts as the caller's
/// original one. Callers choose different deadlines, so a slightly shorter one does not mean that
/// time has passed.
const ORIGINAL_PART: f64 = 0.8;

/// The outcome of a placement request.
#[derive(Debug)]
pub enum PlacementOutcome {
    /// The request is placed at an endpoint.
    Placed(Box<Placement>, SlotGuard),
    /// The request is refused.
    Refused(PlacementRefusal),
}

/// Time limits of a direct entry.
#[derive(Debug, Clone)]
pub struct TimeLimits {
    /// Longest time since the last confirmation of the configuration at which keyed requests still
    /// run.
    pub confirmation: Duration,
    /// Grace period of a leaving process.
    pub grace: Duration,
}

/// The state of one process.
#[derive(Debug)]
pub struct Context {
    /// Makes all scheduling decisions.
    pub scheduler: RefCell<Scheduler>,
    /// Exchanges messages with peers.
    pub peers: PeerSocket,
    /// Signals that a peer has answered a query about the origin of a stream.
    pub origin_answers: Notify,
    /// Connections to endpoints.
    pub upstream: Upstream,
    /// How soon endpoints answer whether they have a slot.
    pub(crate) reservations: Cell<ReactionLimit>,
    /// Answers that are read before they are sent to their callers.
    pub(crate) large_answers: LargeAnswers,
    /// What is held for callers and endpoints.
    pub buffers: Buffers,
    /// Header names of the platform.
    pub dialect: Dialect,
    /// Time limits of this entry.
    pub limits: TimeLimits,
    /// All tasks of the process, joined at its end.
    pub tasks: TaskTracker,
    /// Counters, histograms and gauges.
    pub metrics: Metrics,
    /// Messages of other entries that cannot be read.
    pub(crate) unreadable: RefCell<RepeatedFault>,
    process_lag: Cell<ProcessLag>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<PlacementOutcome>>>,
    next_ticket: Cell<u64>,
    leaving: Cell<bool>,
    fetching: Cell<bool>,
    /// Whether each section of the store has been read once, successfully or not.
    sections_read: Cell<[bool; 2]>,
    /// Whether the last read of the configuration failed.
    store_lost: Cell<bool>,
    change: Notify,
    restoration: Notify,
    /// Asks the follower of the endpoints for a read.
    endpoint_read: Notify,
    /// The longest deadline received for each route. A much shorter one shows that the request
    /// spent the difference on its way here.
    longest_deadlines: RefCell<HashMap<Arc<str>, Duration>>,
}

impl Context {
    /// Creates the shared state around a scheduler.
    #[must_use]
    pub fn new(
        scheduler: Scheduler,
        peers: PeerSocket,
        dialect: Dialect,
        limits: TimeLimits,
        metrics: Metrics,
        tasks: TaskTracker,
    ) -> Self {
        Self {
            scheduler: RefCell::new(scheduler),
            peers,
            origin_answers: Notify::new(),
            upstream: Upstream::new(tasks.clone()),
            reservations: Cell::default(),
            large_answers: LargeAnswers::default(),
            buffers: Buffers::default(),
            dialect,
            limits,
            tasks,
            metrics,
            unreadable: RefCell::default(),
            process_lag: Cell::default(),
            waiters: RefCell::default(),
            next_ticket: Cell::new(0),
            leaving: Cell::new(false),
            fetching: Cell::new(false),
            sections_read: Cell::default(),
            store_lost: Cell::new(false),
            change: Notify::new(),
            restoration: Notify::new(),
            endpoint_read: Notify::new(),
            longest_deadlines: RefCell::default(),
        }
    }

    /// Sets what bounds the bytes that are held; without it they are not bounded in all.
    #[must_use]
    pub fn with_buffers(mut self, buffers: Buffers) -> Self {
        self.buffers = buffers;
        self
    }

    /// Returns whether the process is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Marks the process as leaving; its peers learn that from its reports.
    pub fn start_leaving(&self) {
        self.leaving.set(true);
        self.scheduler.borrow_mut().start_leaving();
    }

    /// Returns whether a configuration is in force and its last confirmation is recent enough.
    #[must_use]
    pub fn is_current(&self, now: Timestamp) -> bool {
        let scheduler = self.scheduler.borrow();
        let known = scheduler.plan().version > 0;
        known
            && scheduler
                .confirmation()
                .is_current(self.limits.confirmation, now)
    }

    /// Records by how much a timer fired late.
    pub fn record_lag(&self, late: Duration) {
        let mut lag = self.process_lag.get();
        lag.record(late);
        self.process_lag.set(lag);
    }

    /// Returns how late the timers of the process fire.
    pub fn process_lag(&self) -> ProcessLag {
        self.process_lag.get()
    }

    /// Returns the time that a request has spent before it arrived here: the difference between the
    /// longest deadline of its route and its own, or zero if its own may be the caller's original
    /// one.
    pub fn elapsed(&self, route: &Arc<str>, deadline: Duration) -> Duration {
        let mut longest = self.longest_deadlines.borrow_mut();
        let baseline = longest.entry(Arc::clone(route)).or_insert(deadline);
        *baseline = (*baseline).max(deadline);
        if deadline >= baseline.mul_f64(ORIGINAL_PART) {
            return Duration::ZERO;
        }
        *baseline - deadline
    }

    /// Refuses all requests that wait for a slot.
    pub fn refuse_waiting(&self) {
        // A request whose waiter is dropped counts as refused.
        self.waiters.borrow_mut().clear();
    }

    /// Returns whether a request waits for a slot.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.waiters.borrow().is_empty()
    }

    /// Records that a read of a section has ended, successfully or not.
    pub fn record_read(&self, section: Section) {
        let mut read = self.sections_read.get();
        read[section as usize] = true;
        self.sections_read.set(read);
    }

    /// Returns whether snapshots may be fetched from peers. A starting process reads the store
    /// first; otherwise all processes that start together would fetch from the one that is ready
    /// first.
    #[must_use]
    pub fn has_read_store(&self) -> bool {
        self.sections_read.get() == [true; 2]
    }

    /// Records whether the last read of the configuration failed.
    pub fn set_store_lost(&self, lost: bool) {
        self.store_lost.set(lost);
    }

    /// Returns whether the last read of the configuration failed.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.get()
    }

    /// Signals that this entry has read a change, which its next report should announce early.
    pub fn notify_change(&self) {
        self.change.notify_one();
    }

    /// Waits until this entry has read a change.
    pub async fn changed(&self) {
        self.change.notified().await;
    }

    /// Lets the endpoints be read from the store soon. Lookups of origins go on when that is done.
    pub fn request_endpoints(&self) {
        self.endpoint_read.notify_one();
    }

    /// Waits for a request to read the endpoints.
    pub async fn endpoints_requested(&self) {
        self.endpoint_read.notified().await;
    }

    /// Waits until this entry learns of a restoration of the store.
    pub async fn restored(&self) {
        self.restoration.notified().await;
    }

    /// Starts a fetch of a snapshot. Returns false if another fetch is in flight.
    #[must_use]
    pub fn start_fetch(&self) -> bool {
        !self.fetching.replace(true)
    }

    /// Ends a fetch, successful or not.
    pub fn end_fetch(&self) {
        self.fetching.set(false);
    }

    /// Removes the endpoints that stayed unlisted for too long.
    pub fn remove_expired(&self) {
        let removed = self.scheduler.borrow_mut().remove_expired(clock::now());
        for id in removed {
            log::info!(endpoint:% = id; "endpoint removed: it was not listed again in time");
        }
    }

    /// Ends what was kept for a time after a restoration of the store.
    pub fn release_kept(&self) {
        let released = self.scheduler.borrow_mut().release_kept(clock::now());
        for centre in released.reopened {
            log::info!(centre:% = centre; "data centre reopened: it was not closed again");
        }
        for id in released.admitted {
            log::info!(endpoint:% = id; "endpoint admitted: it is still listed");
        }
    }

    /// Logs and counts a restoration of the store that became known with `revision`, and ends the
    /// watches of the earlier era.
    pub fn report_restoration(&self, revision: StoreRevision) {
        let Some(restored) = self.scheduler.borrow_mut().take_restored() else {
            return;
        };
        self.restoration.notify_waiters();
        self.metrics.restorations.inc();
        log::warn!(
            before = restored.before,
            era = restored.era,
            revision = revision.revision,
            version = restored.version,
            endpoints = restored.endpoints,
            closed = restored.closed;
            "the store was restored"
        );
    }

    /// Updates the gauges.
    pub fn update_gauges(&self) {
        let scheduler = self.scheduler.borrow();
        let totals = scheduler.totals();
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.waiting.set(gauge(totals.waiting));
        self.metrics.members.set(gauge(totals.members));
        let lag = scheduler.report_lag(clock::now());
        self.metrics
            .lag
            .set(i64::try_from(lag.as_millis()).unwrap_or(i64::MAX));
        let era = scheduler.restoration().era();
        self.metrics.era.set(i64::try_from(era).unwrap_or(i64::MAX));
        if let Some(age) = scheduler.confirmation().age(clock::now()) {
            self.metrics
                .age
                .set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        }
    }

    /// Logs the state of each endpoint.
    pub fn log_endpoints(&self) {
        let scheduler = self.scheduler.borrow();
        let now = clock::now();
        for id in scheduler.endpoints().ids() {
            let Some(state) = scheduler.endpoints().get(&id) else {
                continue;
            };
            log::debug!(
                endpoint:% = id,
                service:% = state.record().service,
                centre:% = state.record().centre,
                slots = state.record().slots,
                running = state.load().running,
                own = state.own().running,
                pending = state.load().pending,
                first = state.latency().estimate(0.0).round(),
                slope = (state.latency().slope() * 1e5).round() / 1e5,
                failures = (state.failure_rate(now) * 100.0).round() / 100.0,
                cold = state.is_cold(now),
                suspect = state.is_avoided(now),
                leaving = state.record().leaving || state.availability().is_leaving(),
                paused = clock::millis(state.availability().paused_until().since(now)),
                limit:% = state.availability().limit(now).map_or_else(|| "-".to_owned(), |limit| limit.to_string());
                "endpoint"
            );
        }
    }

    /// Updates the gauges of the teams of services without room for all, and logs them.
    pub fn publish_teams(&self) {
        self.metrics.team_work.reset();
        let scheduler = self.scheduler.borrow();
        for pressed in scheduler.pressed_teams(clock::now()) {
            let rank = pressed.status.pool.rank;
            let team = pressed.team.as_deref().unwrap_or_default();
            let work = [
                ("due", pressed.status.due),
                ("started", pressed.status.work.used),
                ("unmet", pressed.status.work.unmet),
                ("waiting", pressed.waiting),
            ];
            for (name, millis) in work {
                let labels = [&*pressed.service, &rank.to_string(), team, name];
                let gauge = self.metrics.team_work.with_label_values(&labels);
                gauge.set(millis as i64);
            }
            let [due, started, unmet, waiting] = work.map(|(_, millis)| millis.round());
            log::debug!(
                service:% = pressed.service, rank, team, due, started, unmet, waiting;
                "team without room for all"
            );
        }
    }

    /// Returns a new ticket.
    pub fn ticket(&self) -> Ticket {
        self.next_ticket.set(self.next_ticket.get() + 1);
        Ticket(self.next_ticket.get())
    }

    /// Waits until the scheduler has placed or refused a request.
    pub async fn place(self: &Rc<Self>, request: PlacementRequest) -> PlacementOutcome {
        let (service, ticket) = (Arc::clone(&request.service), request.ticket);
        let decided = self.scheduler.borrow_mut().submit(request, clock::now());
        if let Some(outcome) = decided {
            return self.outcome(outcome);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        self.ask_lenders();
        let waiting = WaitGuard {
            context: Rc::clone(self),
            service,
            ticket,
        };
        let outcome = receiver.await;
        drop(waiting);
        outcome.unwrap_or(PlacementOutcome::Refused(PlacementRefusal {
            reason: comfreyhaven_core::direct::Reason::Overloaded,
            retry_after: Duration::from_secs(1),
        }))
    }

    /// Places a request that `first` is slow to answer at a second endpoint.
    ///
    /// # Errors
    /// Returns why the request may not be sent once more now.
    pub fn place_hedge(
        self: &Rc<Self>,
        request: &PlacementRequest,
        first: &EndpointRecord,
    ) -> Result<(Box<Placement>, SlotGuard), Withheld> {
        let mut scheduler = self.scheduler.borrow_mut();
        let placement = scheduler.place_hedge(request, first, clock::now())?;
        let slot = self.slot(&placement);
        Ok((placement, slot))
    }

    /// Returns the guard of a placement's slot.
    fn slot(self: &Rc<Self>, placement: &Placement) -> SlotGuard {
        SlotGuard::new(Rc::clone(self), placement.run.clone())
    }

    fn outcome(self: &Rc<Self>, outcome: Outcome) -> PlacementOutcome {
        match outcome {
            Outcome::Refused(refusal) => PlacementOutcome::Refused(refusal),
            Outcome::Placed(placement) => {
                let slot = self.slot(&placement);
                PlacementOutcome::Placed(placement, slot)
            }
        }
    }

    /// Lets the scheduler process its queues, and passes the outcomes to the waiting requests.
    pub fn process_queues(self: &Rc<Self>) {
        let decided = self.scheduler.borrow_mut().process_queues(clock::now());
        for (ticket, outcome) in decided {
            let outcome = self.outcome(outcome);
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            if let Some(waiter) = waiter {
                // If the request no longer waits, dropping the outcome releases its slot.
                drop(waiter.send(outcome));
            }
        }
        self.ask_lenders();
    }
}

/// Withdraws a request from its queue when its caller stops waiting.
struct WaitGuard {
    context: Rc<Context>,
    service: Arc<str>,
    ticket: Ticket,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.context.waiters.borrow_mut().remove(&self.ticket);
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.withdraw(&self.service, self.ticket);
    }
}
