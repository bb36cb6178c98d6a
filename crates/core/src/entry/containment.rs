//! Isolation of request bodies that crash endpoints.
//!
//! When an endpoint fails, every body that ran there becomes suspect. A suspect body runs alone, so
//! that a second failure can be attributed to it; it is then quarantined. A suspect body that runs
//! alone to its end is cleared. A request is therefore refused only after a failure that no other
//! request can have caused.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::request::BodyDigest;
use crate::time::Timestamp;

/// Time for which a body stays suspect.
pub const SUSPECT_TIME: Duration = Duration::from_secs(120);

/// Time for which a quarantined body is refused.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of bodies remembered; at the limit the body with the earliest expiry is removed.
const BODIES_LIMIT: usize = 4_096;

/// An entry's classification of a body. The order matters: a worse verdict is greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The body ran alone to its end.
    Cleared,
    /// The body ran at an endpoint that failed.
    Suspect,
    /// An endpoint failed while the body ran there alone.
    Quarantined,
}

/// A verdict on a body that one entry reports to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warning {
    /// The body.
    pub body: BodyDigest,
    /// The sender's verdict.
    pub verdict: Verdict,
    /// Time for which the verdict remains valid.
    pub remaining: Duration,
}

/// State of one body, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BodyState {
    /// Digest of the team and the body, in hexadecimal.
    pub digest: String,
    /// This entry's verdict.
    pub verdict: Verdict,
    /// Time for which the verdict remains valid, in milliseconds.
    pub remaining_ms: u64,
}

/// Verdicts of one entry on bodies, with their expiry.
#[derive(Debug, Default)]
pub(super) struct Containment {
    bodies: HashMap<BodyDigest, (Verdict, Timestamp)>,
    expiries: BTreeSet<(Timestamp, BodyDigest)>,
}

impl Containment {
    /// Returns the current verdict on a body and its remaining time.
    pub(super) fn verdict(&self, body: BodyDigest, now: Timestamp) -> Option<(Verdict, Duration)> {
        let &(verdict, expiry) = self.bodies.get(&body)?;
        (now < expiry).then(|| (verdict, expiry.since(now)))
    }

    /// Records that an endpoint failed while it ran a body. Returns the warning for the peers.
    pub(super) fn record_failure(
        &mut self,
        body: BodyDigest,
        isolated: bool,
        now: Timestamp,
    ) -> Warning {
        let (verdict, remaining) = if isolated {
            (Verdict::Quarantined, QUARANTINE_TIME)
        } else {
            (Verdict::Suspect, SUSPECT_TIME)
        };
        let warning = Warning {
            body,
            verdict,
            remaining,
        };
        self.apply_warning(&warning, now);
        warning
    }

    /// Clears a body that ran alone to its end. Returns the warning for the peers.
    pub(super) fn clear(&mut self, body: BodyDigest, now: Timestamp) -> Warning {
        let warning = Warning {
            body,
            verdict: Verdict::Cleared,
            remaining: Duration::ZERO,
        };
        self.apply_warning(&warning, now);
        warning
    }

    /// Applies the verdict of a warning unless a worse one is known.
    pub(super) fn apply_warning(&mut self, warning: &Warning, now: Timestamp) {
        self.remove_expired(now);
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

    /// Returns all current verdicts, for operators.
    pub(super) fn states(&self, now: Timestamp) -> Vec<BodyState> {
        let current = self.expiries.iter().filter(|(expiry, _)| now < *expiry);
        current
            .filter_map(|(expiry, body)| {
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

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some(&(expiry, body)) = self.expiries.first()
            && expiry <= now
        {
            self.remove(body);
        }
    }
}
