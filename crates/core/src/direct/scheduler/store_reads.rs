//! When an entry reads the store, and what it records of the answers.

use std::time::Duration;

use super::Scheduler;
use crate::direct::store_progress::{Section, StoreProgress, retry_delay};
use crate::direct::store_revision::StoreRevision;
use crate::time::Timestamp;

/// Age of the configuration's confirmation from which an entry reads the store itself, regardless
/// of its peers' reports.
const CONFIRMATION_AGE_LIMIT: Duration = Duration::from_secs(2);

/// Time for which a starting entry waits for its seeds before it takes itself for the only one.
const SEED_ANSWER_TIME: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Returns how far this entry has read the store.
    #[must_use]
    pub const fn store_progress(&self) -> &StoreProgress {
        &self.store_progress
    }

    /// Records the answer to a read of the store that was sent at `read_at` and whose newest change
    /// is that of `revision`.
    pub fn record_store_answer(
        &mut self,
        section: Section,
        revision: StoreRevision,
        read_at: Timestamp,
    ) {
        self.store_progress
            .record_answer(section, revision, read_at);
        if section == Section::Endpoints {
            self.endpoints
                .set_revision(self.store_progress.revision(section));
        }
    }

    /// Returns how far this entry has read the store.
    pub const fn store_progress_mut(&mut self) -> &mut StoreProgress {
        &mut self.store_progress
    }

    /// Returns how long this entry may wait before it reads a section of the store.
    #[must_use]
    pub fn read_delay(&self, section: Section, now: Timestamp) -> Duration {
        let reader_rank = if self.is_confirmation_old(now) {
            0
        } else if self.is_alone_at_start(section, now) {
            usize::MAX
        } else {
            self.reader_rank(now)
        };
        let propagation = self.topology.propagation(&self.members);
        let isolated = self.members.is_isolated(now);
        self.store_progress
            .read_delay(section, reader_rank, isolated, propagation, now)
    }

    /// Returns how long this entry waits after `failures` reads of the store in a row have failed.
    #[must_use]
    pub fn read_retry_delay(&self, failures: u32, now: Timestamp) -> Duration {
        retry_delay(self.reader_rank(now), failures)
    }

    fn reader_rank(&self, now: Timestamp) -> usize {
        self.members.reader_rank(self.topology.precedence(), now)
    }

    /// Returns whether the configuration's confirmation is so old that this entry reads the store
    /// whatever its peers report. Peers' confirmations count from the time of this entry's own
    /// report.
    fn is_confirmation_old(&self, now: Timestamp) -> bool {
        let version = self.confirmation.version();
        version > 0
            && !self.confirmation.is_current(CONFIRMATION_AGE_LIMIT, now)
            && !self.restoration.delays_confirmation(version, now)
    }

    /// Returns whether this entry has read a section of the store once and waits for the first
    /// answers of its seeds. Many entries may start at once, and only a few are to read on.
    pub(super) fn is_alone_at_start(&self, section: Section, now: Timestamp) -> bool {
        let has_seeds = self.seeds.iter().any(|seed| *seed != self.own);
        let starting =
            now.as_micros() < self.identity.started + SEED_ANSWER_TIME.as_micros() as u64;
        has_seeds
            && starting
            && self.members.count() == 1
            && self.store_progress.is_confirmed(section)
    }
}
