//! Follows the store: reads the configuration, confirms the version in force, and reads the
//! endpoint records. `core` decides when this entry reads the store and when it leaves that to its
//! peers.
//!
//! An endpoint whose record is removed may still serve for a while, and its record may have expired
//! only because the store was unavailable. The endpoint therefore stays usable for a time; after an
//! outage of the store it stays usable until endpoints have had time to register again. An endpoint
//! that had announced its leaving is removed at once.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointId, EndpointRecord, Plan, ReadCursor, StoreRevision};
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::context::Context;
use crate::store::{Change, Page, Section, Store, StoreError};

/// How long one watch of the configuration waits. A watch that returns confirms the configuration
/// as of the time it was sent, so frequent short watches confirm it better than a long one.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(1);

/// How often the follower checks whether this entry has to read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long one watch of the endpoints waits. A dead connection is detected only after this time.
const ENDPOINT_WAIT: Duration = Duration::from_millis(2_000);

/// Least time between two reads of the endpoints that lookups of origins ask for.
const REQUESTED_INTERVAL: Duration = Duration::from_millis(50);

/// Follows one section of the store.
pub(crate) struct Follower<S> {
    context: Rc<Context>,
    store: Rc<S>,
    section: Section,
    failures: u32,
}

impl<S: Store> Follower<S> {
    pub(crate) fn new(context: Rc<Context>, store: Rc<S>, section: Section) -> Self {
        Self {
            context,
            store,
            section,
            failures: 0,
        }
    }

    /// Reads and watches the section until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut cursor = ReadCursor::default();
        let mut requested = false;
        while !stop.is_cancelled() {
            let sent = clock::now();
            let delay = self.delay(requested, sent);
            if !delay.is_zero() {
                tokio::select! {
                    () = stop.cancelled() => break,
                    () = tokio::time::sleep(delay.min(CHECK_INTERVAL)) => {}
                    () = self.requested(), if !requested => requested = true,
                }
                continue;
            }
            if self.section == Section::Endpoints && self.context.is_store_lost() {
                // Reads of the configuration find out when the store is back.
                self.failures = self.failures.max(1);
                requested = false;
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            self.context
                .scheduler
                .borrow_mut()
                .store_progress_mut()
                .record_read(self.section, sent);
            let after = cursor.next(self.known_revision());
            let result = tokio::select! {
                () = stop.cancelled() => break,
                result = self.call(after, requested) => result,
                () = self.context.restored() => Err(StoreError::HistoryGone),
                () = self.requested(), if !requested && after.is_some() => {
                    requested = true;
                    continue;
                }
            };
            requested = false;
            self.context.record_read(self.section);
            match result {
                Ok(page) => {
                    self.record_success();
                    cursor.record_answer(page.revision);
                    self.apply(page, after.is_none(), sent);
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(section:% = self.section; "the store dropped its history; reading the whole section");
                    if let Some(after) = after {
                        cursor.record_gone(after);
                    }
                }
                Err(error) => {
                    let delay = self.record_failure(&error);
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }

    /// Returns the revision of the newest known change, which may come from a peer. A watch can
    /// start from it.
    fn known_revision(&self) -> StoreRevision {
        let scheduler = self.context.scheduler.borrow();
        scheduler.store_progress().revision(self.section)
    }

    /// Returns how long the next read has to wait.
    fn delay(&self, requested: bool, now: Timestamp) -> Duration {
        let scheduler = self.context.scheduler.borrow();
        if requested {
            let answered = scheduler.store_progress().answered(self.section);
            return answered.map_or(Duration::ZERO, |at| (at + REQUESTED_INTERVAL).since(now));
        }
        scheduler.read_delay(self.section, now)
    }

    /// Waits until the section is to be read at once.
    async fn requested(&self) {
        match self.section {
            Section::Configuration => std::future::pending().await,
            Section::Endpoints => self.context.endpoints_requested().await,
        }
    }

    /// Reads the section, or watches it; a `requested` watch returns at once.
    async fn call(
        &self,
        after: Option<StoreRevision>,
        requested: bool,
    ) -> Result<Page, StoreError> {
        let Some(after) = after else {
            return self.store.read(self.section).await;
        };
        let wait = if requested {
            CONFIRMATION_WAIT
        } else {
            self.wait()
        };
        self.store.watch(self.section, after, wait).await
    }

    const fn wait(&self) -> Duration {
        match self.section {
            Section::Configuration => CONFIRMATION_WAIT,
            Section::Endpoints => ENDPOINT_WAIT,
        }
    }

    fn record_success(&mut self) {
        if self.section == Section::Configuration {
            self.context.set_store_lost(false);
        }
        if std::mem::take(&mut self.failures) > 0 {
            log::info!(section:% = self.section; "the store answers again");
        }
    }

    fn record_failure(&mut self, error: &StoreError) -> Duration {
        if self.failures == 0 {
            log::warn!(section:% = self.section; "the store is lost: {error}");
        }
        self.failures += 1;
        if self.section == Section::Configuration {
            self.context.set_store_lost(true);
        }
        let scheduler = self.context.scheduler.borrow();
        scheduler.read_retry_delay(self.failures, clock::now())
    }

    fn apply(&self, page: Page, full_read: bool, sent: Timestamp) {
        let now = clock::now();
        let era = page.revision.era;
        self.context.scheduler.borrow_mut().observe_era(era, now);
        self.context.report_restoration(page.revision);
        if era < self.context.scheduler.borrow().restoration().era() {
            log::info!(section:% = self.section, revision:% = page.revision; "ignoring an answer from before the store was restored");
            return;
        }
        let (newest, revision) = (page.newest, page.revision);
        let covered = {
            let scheduler = self.context.scheduler.borrow();
            let progress = scheduler.store_progress();
            progress.covers(self.section, full_read, newest, revision)
        };
        if !covered {
            self.apply_changes(page.changes, full_read, sent);
            self.context.notify_change();
        }
        let mut scheduler = self.context.scheduler.borrow_mut();
        scheduler.record_store_answer(self.section, newest, sent);
        if self.section == Section::Configuration {
            scheduler.confirm_read(sent, now);
        }
        drop(scheduler);
        self.context.origin_answers.notify_waiters();
        self.context.process_queues();
    }

    fn apply_changes(&self, changes: Vec<Change>, full_read: bool, sent: Timestamp) {
        let now = clock::now();
        let mut listed = BTreeSet::new();
        let mut closed = BTreeSet::new();
        let scheduler = &self.context.scheduler;
        for change in changes {
            match change {
                Change::Plan(plan) => {
                    let version = plan.version;
                    self.apply_plan(plan, now);
                    scheduler.borrow_mut().record_shown(version);
                }
                Change::Endpoint(record) => match record.check() {
                    Ok(()) => {
                        listed.insert(Arc::clone(&record.id));
                        self.apply_record(record, now);
                    }
                    Err(fault) => {
                        log::warn!(endpoint:% = record.id; "ignoring an endpoint record: {fault}");
                    }
                },
                Change::EndpointRemoved(id) => self.unlist(&id, sent, now),
                Change::Closed(centre, state) => {
                    log::info!(centre:% = centre, closed = state; "data centre state changed");
                    scheduler
                        .borrow_mut()
                        .set_centre_closed(&centre, state, now);
                    closed.insert(centre);
                }
                Change::Unreadable { key, fault } => {
                    log::warn!(key:% = key; "cannot read an item of the store: {fault}");
                }
            }
        }
        if full_read {
            self.remove_missing(&listed, closed, sent, now);
        }
    }

    fn apply_plan(&self, plan: Box<Plan>, now: Timestamp) {
        let version = plan.version;
        let mut scheduler = self.context.scheduler.borrow_mut();
        if scheduler.configure(Arc::from(plan), now) {
            log::info!(version = version; "configuration in force");
            for team in &scheduler.plan().teams {
                log::info!(team:% = team.name, rate = team.rate, burst = team.burst; "team rate limit");
            }
        }
    }

    fn apply_record(&self, record: EndpointRecord, now: Timestamp) {
        let (id, sequence) = (Arc::clone(&record.id), record.sequence);
        let mut scheduler = self.context.scheduler.borrow_mut();
        if !scheduler.upsert_endpoint(record, now) {
            log::info!(endpoint:% = id, sequence = sequence; "endpoint withheld: the restored store shows it as it was before");
        }
    }

    fn unlist(&self, id: &EndpointId, sent: Timestamp, now: Timestamp) {
        let mut scheduler = self.context.scheduler.borrow_mut();
        let until = scheduler.unlisted_until(sent, now);
        let usable_ms = until.since(now).as_millis() as u64;
        log::info!(endpoint:% = id, usable_ms = usable_ms; "endpoint no longer listed");
        scheduler.unlist_endpoint(id, until, now);
    }

    /// Marks endpoints that a full read did not contain as unlisted, and reopens data centres that
    /// it did not name as closed.
    fn remove_missing(
        &self,
        listed: &BTreeSet<EndpointId>,
        closed: BTreeSet<Arc<str>>,
        sent: Timestamp,
        now: Timestamp,
    ) {
        match self.section {
            Section::Endpoints => {
                let known = self.context.scheduler.borrow().listed_endpoints();
                for id in known.iter().filter(|id| !listed.contains(*id)) {
                    self.unlist(id, sent, now);
                }
            }
            Section::Configuration => {
                let mut scheduler = self.context.scheduler.borrow_mut();
                scheduler.set_closed_centres(closed, now);
            }
        }
    }
}
