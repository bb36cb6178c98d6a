//! Decides when an entry reads the platform's store and records how much of it the entry knows.
//!
//! Each call to the store has a cost, and the number of calls must not grow with the number of
//! entries, so only a few entries read it, each on its own. Which entries those are follows from
//! the members that each entry knows, so no election is needed. The other entries learn from
//! reports that a newer revision exists and fetch it from the reporter.
//!
//! An entry whose knowledge has not been confirmed for a while reads the store itself. This covers
//! readers that have stopped, have lost the store or are unreachable.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::restoration::RECOVERY_TIME;
use super::store_revision::StoreRevision;
use crate::time::{Timestamp, whole_millis};

/// Number of entries that always read the store.
const READERS: usize = 2;

/// Interval between two reads of the configuration by one reader. A read confirms the configuration
/// as of the time at which it was sent, so a shorter interval lets entries bridge a longer outage.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Least interval between two watches of the endpoints by one reader. While many endpoints start or
/// leave, a watch returns at once with the next change.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two reads of a section by an entry that reads for itself alone, because it reaches
/// no peer.
const OWN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Age of the configuration's confirmation from which other entries read the store too. The time of
/// [`MISSED_REPORTS`] reports is added.
const STAND_IN_AGE: Duration = Duration::from_millis(750);

/// Age of the endpoints' confirmation from which other entries read the store too. It is long,
/// because a watch without changes does not return for seconds.
const STAND_IN_ENDPOINTS_AGE: Duration = Duration::from_secs(5);

/// Number of missed reports that are tolerated.
const MISSED_REPORTS: u32 = 2;

/// Delay between the stand-in readers, so that the read of the first one makes the others
/// unnecessary.
const STAND_IN_STEP: Duration = Duration::from_millis(40);

/// Age of a confirmation from which any entry may read the store, regardless of the fleet's size.
const STAND_IN_LIMIT: Duration = Duration::from_millis(2_000);

/// First and longest delay after a failed read by one of the entries that always read the store.
const READER_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(400));

/// First and longest delay after a failed read by any other entry. While the store is down for all,
/// every entry finds its confirmation old.
const STAND_IN_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_millis(1_600));

/// Returns the delay after `failures` reads in a row have failed, by the entry at `rank`.
pub(super) fn retry_delay(rank: usize, failures: u32) -> Duration {
    let (first, longest) = if rank < READERS {
        READER_RETRY_DELAYS
    } else {
        STAND_IN_RETRY_DELAYS
    };
    let doublings = failures.saturating_sub(1).min(8);
    (first * 2_u32.pow(doublings)).min(longest)
}

/// Time without a read by any entry that the store answers which counts as an outage of the store.
/// Records of running endpoints expire in a longer one only.
const OUTAGE_TIME: Duration = Duration::from_secs(2);

/// A section of the store, which is read and watched separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Section {
    /// The configuration and the closed data centres.
    Configuration,
    /// The endpoints.
    Endpoints,
}

impl Section {
    /// Every section, in the order in which messages carry them.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Endpoints];
}

/// The reporter's knowledge of one section.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionStatus {
    /// The store's revision of the newest change that the reporter knows.
    pub revision: StoreRevision,
    /// Milliseconds since that revision was last confirmed to be the newest, if known.
    pub age: Option<u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct SectionProgress {
    revision: StoreRevision,
    /// Time at which the known revision was last confirmed to be the newest.
    confirmed: Option<Timestamp>,
    /// Time of this entry's last read of the store.
    read_at: Option<Timestamp>,
    /// When this entry sent the newest read that the store has answered.
    answered: Option<Timestamp>,
}

/// How much of the store an entry knows, and when that was last confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreProgress {
    sections: [SectionProgress; 2],
    /// Time of the first read by any entry that the store answered after its newest outage.
    returned: Option<Timestamp>,
}

impl StoreProgress {
    /// Records that this entry sends a read to the store.
    pub const fn record_read(&mut self, section: Section, now: Timestamp) {
        self.sections[section as usize].read_at = Some(now);
    }

    /// Records the answer to a read that was sent at `read_at` and whose newest change is that of
    /// `revision`. An answer of an earlier era than the known one has no effect.
    pub fn record_answer(&mut self, section: Section, revision: StoreRevision, read_at: Timestamp) {
        let progress = &mut self.sections[section as usize];
        if revision.era < progress.revision.era {
            return;
        }
        progress.revision = progress.revision.max(revision);
        progress.answered = progress.answered.max(Some(read_at));
        self.confirm(section, read_at);
    }

    /// Records that the store answered a read of a section by any entry.
    fn confirm(&mut self, section: Section, read_at: Timestamp) {
        if self
            .newest_read()
            .is_some_and(|newest| newest + OUTAGE_TIME < read_at)
        {
            self.returned = Some(read_at);
        }
        let progress = &mut self.sections[section as usize];
        progress.confirmed = progress.confirmed.max(Some(read_at));
    }

    /// Returns the time of the newest read by any entry that the store has answered.
    fn newest_read(&self) -> Option<Timestamp> {
        let [configuration, endpoints] = self.sections;
        configuration.confirmed.max(endpoints.confirmed)
    }

    /// Returns when this entry sent the newest read of a section that the store has answered.
    #[must_use]
    pub const fn answered(&self, section: Section) -> Option<Timestamp> {
        self.sections[section as usize].answered
    }

    /// Returns the time by which running endpoints have written their records again after the
    /// newest outage of the store, if the store has answered a read that was sent at `read_at`.
    #[must_use]
    pub fn return_time(mut self, read_at: Timestamp) -> Option<Timestamp> {
        self.confirm(Section::Endpoints, read_at);
        self.returned.map(|returned| returned + RECOVERY_TIME)
    }

    /// Returns whether the store has answered entries without an outage lately.
    #[must_use]
    pub fn is_steady(&self, now: Timestamp) -> bool {
        let returned = self.returned.map(|returned| returned + RECOVERY_TIME);
        self.newest_read()
            .is_some_and(|newest| now < newest + OUTAGE_TIME)
            && returned.is_none_or(|time| time <= now)
    }

    /// Returns when the known revision of a section was last confirmed to be the newest.
    #[must_use]
    pub const fn confirmed(&self, section: Section) -> Option<Timestamp> {
        self.sections[section as usize].confirmed
    }

    /// Returns whether everything in an answer is already known from a peer. A `complete` answer
    /// holds the whole section as of `revision`; any other holds only changes, the last one at
    /// `changed`.
    #[must_use]
    pub fn covers(
        &self,
        section: Section,
        complete: bool,
        changed: StoreRevision,
        revision: StoreRevision,
    ) -> bool {
        let known = self.revision(section);
        if complete {
            revision < known
        } else {
            changed <= known
        }
    }

    /// Applies a peer's status. Returns whether the peer knows a newer revision.
    pub fn apply_status(
        &mut self,
        section: Section,
        status: SectionStatus,
        now: Timestamp,
    ) -> bool {
        let progress = &mut self.sections[section as usize];
        if status.revision > progress.revision {
            return true;
        }
        if status.revision == progress.revision
            && let Some(age) = status.age
        {
            self.confirm(section, now - Duration::from_millis(age.into()));
        }
        false
    }

    /// Records that everything up to `revision` was fetched from a peer. Returns whether it was
    /// newer.
    pub fn adopt(&mut self, section: Section, revision: StoreRevision) -> bool {
        let progress = &mut self.sections[section as usize];
        let newer = revision > progress.revision;
        if newer {
            progress.revision = revision;
        }
        newer
    }

    /// Returns the revision of the newest known change.
    #[must_use]
    pub const fn revision(&self, section: Section) -> StoreRevision {
        self.sections[section as usize].revision
    }

    /// Returns whether the known revision of a section was ever confirmed to be the newest.
    #[must_use]
    pub const fn is_confirmed(&self, section: Section) -> bool {
        self.sections[section as usize].confirmed.is_some()
    }

    /// Returns the status of both sections, for reports.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> [SectionStatus; 2] {
        self.sections.map(|progress| {
            let age = progress.confirmed.map(|confirmed| now.since(confirmed));
            SectionStatus {
                revision: progress.revision,
                age: age.map(whole_millis),
            }
        })
    }

    /// Returns how long this entry may wait before it reads the store. The entry is at `rank` among
    /// the entries, which report every `interval`; `isolated` if it reaches none of its peers.
    #[must_use]
    pub fn read_delay(
        &self,
        section: Section,
        rank: usize,
        isolated: bool,
        interval: Duration,
        now: Timestamp,
    ) -> Duration {
        let reader_delay = self.reader_delay(section, isolated, now);
        if rank < READERS {
            return reader_delay;
        }
        let stale = self.stand_in_delay(Section::Configuration, rank, interval, now);
        let read_delay = match section {
            Section::Configuration => stale,
            Section::Endpoints => stale.min(self.stand_in_delay(section, rank, interval, now)),
        };
        read_delay.max(reader_delay)
    }

    /// Returns how long a reader waits for its next read.
    fn reader_delay(&self, section: Section, isolated: bool, now: Timestamp) -> Duration {
        let interval = match section {
            _ if isolated => OWN_INTERVAL,
            Section::Configuration => CONFIRM_INTERVAL,
            Section::Endpoints => WATCH_INTERVAL,
        };
        let read_at = self.sections[section as usize].read_at;
        read_at.map_or(Duration::ZERO, |read_at| (read_at + interval).since(now))
    }

    /// Returns how long an entry that is not a reader waits for the readers.
    fn stand_in_delay(
        &self,
        section: Section,
        rank: usize,
        interval: Duration,
        now: Timestamp,
    ) -> Duration {
        let Some(confirmed) = self.sections[section as usize].confirmed else {
            return Duration::ZERO;
        };
        let age = match section {
            Section::Configuration => {
                (STAND_IN_AGE + interval * MISSED_REPORTS).min(STAND_IN_LIMIT)
            }
            Section::Endpoints => STAND_IN_ENDPOINTS_AGE,
        };
        let steps = u32::try_from(rank - READERS).unwrap_or(u32::MAX).min(25);
        (confirmed + age + STAND_IN_STEP * steps).since(now)
    }
}
