//! Requests that crash endpoints.
//!
//! When an endpoint fails, everything that ran there is suspect. A suspect body runs alone, so that a
//! second failure tells whose fault it was: then the body is quarantined. A suspect that runs alone
//! to its end is cleared. So a request is refused only after a failure that no neighbour can have
//! caused.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::request::BodyDigest;
use crate::time::Timestamp;

/// How long a body stays suspect.
pub const SUSPECT_TIME: Duration = Duration::from_secs(120);

/// How long a body is refused.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Bodies remembered at most; the one that would be forgotten first makes way.
const BODIES_LIMIT: usize = 4_096;

/// What an entry thinks of a body.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It ran alone to its end.
    Cleared,
    /// It ran at an endpoint that failed.
    Suspect,
    /// An endpoint failed while it ran alone.
    Quarantined,
}

/// What one entry tells the others of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warning {
    /// The body.
    pub body: BodyDigest,
    /// What the sender thinks of it.
    pub verdict: Verdict,
    /// How long that holds.
    pub remaining: Duration,
}

/// What operators see of one body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BodyState {
    /// Digest of the team and the body, in hexadecimal.
    pub digest: String,
    /// What this entry thinks of it.
    pub verdict: Verdict,
    /// How long that holds, in milliseconds.
    pub remaining_ms: u64,
}

/// The bodies that one entry knows of.
#[derive(Debug, Default)]
pub(super) struct Containment {
    bodies: HashMap<BodyDigest, (Verdict, Timestamp)>,
    expiries: BTreeSet<(Timestamp, BodyDigest)>,
}

impl Containment {
    /// What is held against a body, and for how long.
    pub(super) fn verdict(&self, body: BodyDigest, now: Timestamp) -> Option<(Verdict, Duration)> {
        let &(verdict, expiry) = self.bodies.get(&body)?;
        (now < expiry).then(|| (verdict, expiry.since(now)))
    }

    /// Notes that an endpoint failed while it ran a body.
    pub(super) fn failed(&mut self, body: BodyDigest, alone: bool, now: Timestamp) -> Warning {
        let (verdict, remaining) = if alone {
            (Verdict::Quarantined, QUARANTINE_TIME)
        } else {
            (Verdict::Suspect, SUSPECT_TIME)
        };
        let warning = Warning {
            body,
            verdict,
            remaining,
        };
        self.warned(&warning, now);
        warning
    }

    /// Notes that a suspect ran alone to its end.
    pub(super) fn cleared(&mut self, body: BodyDigest, now: Timestamp) -> Warning {
        let warning = Warning {
            body,
            verdict: Verdict::Cleared,
            remaining: Duration::ZERO,
        };
        self.warned(&warning, now);
        warning
    }

    /// Takes the word of a peer, unless something worse is known.
    pub(super) fn warned(&mut self, warning: &Warning, now: Timestamp) {
        self.forget_old(now);
        let known = self.verdict(warning.body, now).map(|(verdict, _)| verdict);
        match warning.verdict {
            Verdict::Cleared if known == Some(Verdict::Suspect) => self.remove(warning.body),
            Verdict::Cleared => {}
            verdict if known > Some(verdict) => {}
            verdict => {
                let remaining = warning.remaining.min(QUARANTINE_TIME);
                self.insert(warning.body, verdict, now + remaining);
            }
        }
    }

    /// Everything that is held against bodies.
    pub(super) fn states(&self, now: Timestamp) -> Vec<BodyState> {
        let held = self.expiries.iter().filter(|(expiry, _)| now < *expiry);
        held.filter_map(|(expiry, body)| {
            Some(BodyState {
                digest: format!("{:016x}", body.0),
                verdict: self.bodies.get(body)?.0,
                remaining_ms: u64::try_from(expiry.since(now).as_millis()).unwrap_or(u64::MAX),
            })
        })
        .collect()
    }

    fn insert(&mut self, body: BodyDigest, verdict: Verdict, expiry: Timestamp) {
        self.remove(body);
        if self.bodies.len() >= BODIES_LIMIT
            && let Some(&(_, first)) = self.expiries.first()
        {
            self.remove(first);
        }
        self.bodies.insert(body, (verdict, expiry));
        self.expiries.insert((expiry, body));
    }

    fn remove(&mut self, body: BodyDigest) {
        if let Some((_, expiry)) = self.bodies.remove(&body) {
            self.expiries.remove(&(expiry, body));
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some(&(expiry, body)) = self.expiries.first()
            && expiry <= now
        {
            self.remove(body);
        }
    }
}
