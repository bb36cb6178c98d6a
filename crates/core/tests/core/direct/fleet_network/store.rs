//! The store of the fleet: what entries read of it, and when.

use std::sync::Arc;
use std::time::Duration;

use comfreyhaven_core::Timestamp;
use comfreyhaven_core::direct::{EndpointRecord, Plan, Scheduler, Section, StoreRevision};

use super::{Event, FleetNetwork, at};

/// Interval at which entries check whether to read the store, in milliseconds.
const CHECK_INTERVAL: u64 = 50;

/// Time for which a watch of the endpoints waits.
const WATCH_TIME: Duration = Duration::from_millis(2_000);

/// What the store answered to one read.
#[derive(Debug)]
pub(super) struct StoreAnswer {
    section: Section,
    sent: Timestamp,
    after: Option<StoreRevision>,
    newest: StoreRevision,
    plan: Arc<Plan>,
    listed: Option<Vec<EndpointRecord>>,
}

impl FleetNetwork {
    pub(super) fn read(&mut self, index: usize, now: Timestamp) {
        self.schedule(
            now + Duration::from_millis(CHECK_INTERVAL),
            index,
            Event::Read(index),
        );
        let plan = self.plan();
        let newest = StoreRevision::new(self.era, self.version);
        let Some(entry) = &mut self.entries[index] else {
            return;
        };
        for section in Section::ALL {
            let waits = now < self.failed[index].1
                || section == Section::Endpoints && now < self.watched[index];
            if waits || !entry.read_delay(section, now).is_zero() {
                continue;
            }
            if section == Section::Endpoints {
                self.watched[index] = now + WATCH_TIME;
            }
            self.store_calls += 1;
            let cursor = &mut self.cursors[index][section as usize];
            let after = cursor.next(entry.store_progress().revision(section));
            entry.store_progress_mut().record_read(section, now);
            self.failed[index].0 += 1;
            self.failed[index].1 = now + entry.read_retry_delay(self.failed[index].0, now);
            if !self.store_up || self.without_store == Some(self.groups[index]) {
                continue;
            }
            self.failed[index] = (0, now);
            if let Some(after) = after
                && (after.era != newest.era || after > newest)
            {
                cursor.record_gone(after);
                self.watched[index] = now;
                continue;
            }
            cursor.record_answer(newest);
            self.whole_reads += usize::from(after.is_none());
            let answer = StoreAnswer {
                section,
                sent: now,
                after,
                newest,
                plan: Arc::clone(&plan),
                listed: self.listed.clone(),
            };
            self.answers.push((index, answer));
        }
        for (index, answer) in std::mem::take(&mut self.answers) {
            if self.store_delay.is_zero() {
                self.apply_answer(index, answer, now);
            } else {
                let event = Event::Answer(index, Box::new(answer));
                self.schedule(now + self.store_delay, index, event);
            }
        }
    }

    pub(super) fn apply_answer(&mut self, index: usize, answer: StoreAnswer, now: Timestamp) {
        let Some(entry) = &mut self.entries[index] else {
            return;
        };
        let StoreAnswer {
            section, newest, ..
        } = answer;
        entry.observe_era(newest.era, now);
        if section == Section::Configuration {
            entry.record_store_answer(section, newest, answer.sent);
            entry.configure(Arc::clone(&answer.plan), now);
            entry.record_shown(answer.plan.version);
            entry.confirm_read(answer.sent, now);
            return;
        }
        if let Some(listed) = answer.listed.filter(|_| answer.after != Some(newest)) {
            apply_records(entry, &listed, answer.sent, now);
        }
        entry.record_store_answer(section, newest, answer.sent);
    }

    /// Returns the entries that wait for a change of the endpoints.
    pub fn watchers(&self) -> Vec<usize> {
        let now = at(self.now);
        let indices = 0..self.len();
        indices.filter(|index| now < self.watched[*index]).collect()
    }

    /// Replaces the endpoint records that the store shows, in a new revision. Watches return.
    pub fn list(&mut self, listed: Vec<EndpointRecord>) {
        self.watched.fill(Timestamp::ZERO);
        self.listed = Some(listed);
        self.version += 1;
    }

    /// Restores the store from a copy that holds the configuration `version`. Watches return.
    pub fn restore(&mut self, version: u64) {
        self.watched.fill(Timestamp::ZERO);
        self.era += 1;
        self.version = version;
    }
}

/// Applies all endpoint records of the store.
fn apply_records(
    entry: &mut Scheduler,
    listed: &[EndpointRecord],
    sent: Timestamp,
    now: Timestamp,
) {
    for record in listed {
        entry.upsert_endpoint(record.clone(), now);
    }
    let until = entry.unlisted_until(sent, now);
    for id in entry.listed_endpoints() {
        if listed.iter().all(|record| record.id != id) {
            entry.unlist_endpoint(&id, until, now);
        }
    }
}
