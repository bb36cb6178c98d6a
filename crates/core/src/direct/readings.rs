//! Load pattern: many entries want to know what one store holds, and each call to it has its price.
//!
//! A few entries read the store, each on its own; which ones follows from the members that an entry
//! hears, so nobody elects them. The others learn from reports that something is newer and take it
//! from whoever said so. An entry that has not heard for a while how current its knowledge is reads
//! the store itself: so it goes on where the readers stopped, lost the store, or cannot be heard.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::{Timestamp, whole_millis};

/// Entries that always read the store.
const READERS: usize = 2;

/// Pause between two readings of the configuration by one reader. A reading says how current the
/// configuration was when it was sent: the shorter the pause, the longer an outage can be bridged.
const CONFIRM_PERIOD: Duration = Duration::from_millis(500);

/// Age of the configuration's confirmation from which others read the store too, with
/// [`MISSED_REPORTS`] pauses between reports on top.
const STAND_IN_AGE: Duration = Duration::from_millis(750);

/// Age of the endpoints' confirmation from which others read the store too: a watch that nothing
/// happens to says nothing for seconds.
const STAND_IN_LIST_AGE: Duration = Duration::from_secs(5);

/// Pauses between reports that are allowed for.
const MISSED_REPORTS: u32 = 2;

/// Between the entries that read in the readers' stead, so that the first one spares the others.
const STAND_IN_STEP: Duration = Duration::from_millis(40);

/// Longest age of a confirmation before any entry reads the store, however large the fleet is.
const STAND_IN_LIMIT: Duration = Duration::from_millis(2_000);

/// A part of the store that is followed by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Section {
    /// The configuration, and the data centres that are taken out.
    Configuration,
    /// The endpoints.
    Endpoints,
}

impl Section {
    /// Every section, in the order in which messages carry them.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Endpoints];
}

/// What a report says of one section.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The store's revision of the newest change that the reporter knows.
    pub revision: u64,
    /// Milliseconds since nothing newer was there, if that is known.
    pub age: Option<u32>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    revision: u64,
    /// Until when nothing newer was there.
    confirmed: Option<Timestamp>,
    /// When this entry last asked the store itself.
    asked: Option<Timestamp>,
}

/// How much of the store an entry knows, and how current that is.
#[derive(Debug, Clone, Copy, Default)]
pub struct Readings {
    sections: [Reading; 2],
}

impl Readings {
    /// Notes that this entry asked the store.
    pub const fn ask(&mut self, section: Section, now: Timestamp) {
        self.sections[section as usize].asked = Some(now);
    }

    /// Takes the answer to what was asked at `asked`: the newest change is that of `revision`.
    pub fn note(&mut self, section: Section, revision: u64, asked: Timestamp) {
        let reading = &mut self.sections[section as usize];
        reading.revision = reading.revision.max(revision);
        reading.confirmed = reading.confirmed.max(Some(asked));
    }

    /// Whether an answer tells nothing that was not taken from a peer meanwhile: it holds everything
    /// if `whole`, or else what changed, the last at `changed`, and is as of `revision`.
    #[must_use]
    pub const fn covers(&self, section: Section, whole: bool, changed: u64, revision: u64) -> bool {
        let known = self.revision(section);
        if whole {
            revision < known
        } else {
            changed <= known
        }
    }

    /// Takes what a peer said. Returns whether it knows of something newer.
    pub fn hear(&mut self, section: Section, told: Told, now: Timestamp) -> bool {
        let reading = &mut self.sections[section as usize];
        if told.revision > reading.revision {
            return true;
        }
        if told.revision == reading.revision
            && let Some(age) = told.age
        {
            let confirmed = now - Duration::from_millis(age.into());
            reading.confirmed = reading.confirmed.max(Some(confirmed));
        }
        false
    }

    /// Notes that everything up to `revision` was taken from a peer. Returns whether that is news.
    pub const fn adopt(&mut self, section: Section, revision: u64) -> bool {
        let reading = &mut self.sections[section as usize];
        let newer = revision > reading.revision;
        if newer {
            reading.revision = revision;
        }
        newer
    }

    /// The revision of the newest change that is known, or 0.
    #[must_use]
    pub const fn revision(&self, section: Section) -> u64 {
        self.sections[section as usize].revision
    }

    /// What reports say of both sections.
    #[must_use]
    pub fn told(&self, now: Timestamp) -> [Told; 2] {
        self.sections.map(|reading| {
            let age = reading.confirmed.map(|confirmed| now.since(confirmed));
            Told {
                revision: reading.revision,
                age: age.map(whole_millis),
            }
        })
    }

    /// For how long this entry need not ask the store. It is at `rank` among the entries, which
    /// report every `interval`.
    #[must_use]
    pub fn rest(
        &self,
        section: Section,
        rank: usize,
        interval: Duration,
        now: Timestamp,
    ) -> Duration {
        let own = self.pause(section, now);
        if rank < READERS {
            return own;
        }
        let stale = self.patience(Section::Configuration, rank, interval, now);
        let rest = match section {
            Section::Configuration => stale,
            Section::Endpoints => stale.min(self.patience(section, rank, interval, now)),
        };
        rest.max(own)
    }

    /// For how long a reader need not ask: a watch of the endpoints follows on the one before.
    fn pause(&self, section: Section, now: Timestamp) -> Duration {
        let asked = self.sections[section as usize].asked;
        match (section, asked) {
            (Section::Configuration, Some(asked)) => (asked + CONFIRM_PERIOD).since(now),
            _ => Duration::ZERO,
        }
    }

    /// For how long the readers are waited for.
    fn patience(
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
            Section::Endpoints => STAND_IN_LIST_AGE,
        };
        let steps = u32::try_from(rank - READERS).unwrap_or(u32::MAX).min(25);
        (confirmed + age + STAND_IN_STEP * steps).since(now)
    }
}
