//! Which parts of prompts explain the crashes of endpoints.
//!
//! A part that crashes each endpoint is in a request of every crash, and no run with it goes on after
//! that. Parts that many requests share are in most crashes too, but runs with them go on all the time.
//! The fewest parts that explain all crashes are looked for, those in most crashes first. Parts that
//! were in the same requests at all crashes cannot be told apart: they explain the crashes together,
//! and a request with some of them only is still sent.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::evidence::{Crash, Evidence};
use super::statement::Fate;
use crate::request::PartDigest;
use crate::time::Timestamp;

/// Crashes that a part must have been in to be held.
pub(super) const CRASH_LIMIT: usize = 3;

/// Time within which several crashes count once: endpoints may end together for reasons of their own.
const JOINT_TIME: Duration = Duration::from_millis(50);

/// The same for a part with which runs have gone on lately.
const PROVEN_JOINT_TIME: Duration = Duration::from_secs(1);

/// Time for which a run that went on counts for its parts.
const PROVEN_TIME: Duration = Duration::from_secs(60);

/// Parts that explain crashes together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Cause {
    pub(super) parts: BTreeSet<PartDigest>,
    /// Whether a run with them went on lately.
    pub(super) proven: bool,
    /// Time of the newest crash.
    pub(super) newest: Timestamp,
}

/// A part that may be the cause of crashes. Causes are taken in descending order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Whether no run with it went on lately.
    unproven: bool,
    /// Number of crashes, those of one moment counted once.
    weight: usize,
    /// Number of crashes at which a request with it had not begun to answer.
    silent: usize,
    /// Number of its requests at all crashes: a wrong choice of few refuses few.
    requests: Reverse<usize>,
    /// Number of parts that are in all its requests.
    company: usize,
    part: PartDigest,
}

impl Candidate {
    /// Creates the candidate of a part that is in the crashes at `times`, in ascending order.
    fn new(part: PartDigest, times: &[Timestamp], is_proven: bool, open: &[OpenCrash]) -> Self {
        let joint = if is_proven {
            PROVEN_JOINT_TIME
        } else {
            JOINT_TIME
        };
        let is_silent = |crash: &&OpenCrash| crash.with(part).any(|request| !request.begun);
        let requests = open.iter().map(|crash| crash.with(part).count());
        Self {
            unproven: !is_proven,
            weight: moments(times, joint),
            silent: open.iter().filter(is_silent).count(),
            requests: Reverse(requests.sum()),
            company: company(open, part).len(),
            part,
        }
    }
}

/// One request of a crash, without the parts that did not cause it.
struct Suspect {
    parts: BTreeSet<PartDigest>,
    begun: bool,
}

/// A crash with the requests that may have caused it.
struct OpenCrash {
    at: Timestamp,
    requests: Vec<Suspect>,
}

impl OpenCrash {
    /// Returns the crash without the parts that did not cause it, or `None` if its incarnation is not
    /// known to have ended.
    fn new(crash: &Crash, evidence: &Evidence) -> Option<Self> {
        let is_suspect = |part: &&PartDigest| !evidence.is_cleared(part.0, crash.at);
        let requests = crash.requests.iter().map(|request| Suspect {
            parts: request.parts.iter().filter(is_suspect).copied().collect(),
            begun: request.begun,
        });
        (crash.fate == Fate::Ended).then(|| Self {
            at: crash.at,
            requests: requests.collect(),
        })
    }

    /// Returns the requests with a part.
    fn with(&self, part: PartDigest) -> impl Iterator<Item = &Suspect> {
        let requests = self.requests.iter();
        requests.filter(move |request| request.parts.contains(&part))
    }

    fn holds(&self, part: PartDigest) -> bool {
        self.with(part).next().is_some()
    }

    fn parts(&self) -> BTreeSet<PartDigest> {
        let parts = self.requests.iter().flat_map(|request| &request.parts);
        parts.copied().collect()
    }
}

/// Returns the causes of the crashes that are known, the most certain one first.
pub(super) fn causes(evidence: &Evidence, now: Timestamp) -> Vec<Cause> {
    let crashes = evidence.crashes();
    let mut open: Vec<_> = crashes
        .filter_map(|crash| OpenCrash::new(crash, evidence))
        .collect();
    open.sort_unstable_by_key(|crash| crash.at);
    let mut causes = Vec::new();
    while let Some(found) = strongest(&open, evidence, now) {
        let of_part = open.iter().filter(|crash| crash.holds(found.part));
        causes.push(Cause {
            parts: company(&open, found.part),
            proven: !found.unproven,
            newest: of_part.map(|crash| crash.at).max().unwrap_or_default(),
        });
        open.retain(|crash| !crash.holds(found.part));
    }
    causes
}

/// Returns the part that explains the open crashes best, if one explains enough of them.
fn strongest(open: &[OpenCrash], evidence: &Evidence, now: Timestamp) -> Option<Candidate> {
    let mut times: BTreeMap<PartDigest, Vec<Timestamp>> = BTreeMap::new();
    for crash in open {
        for part in crash.parts() {
            times.entry(part).or_default().push(crash.at);
        }
    }
    times.retain(|_, times| times.len() >= CRASH_LIMIT);
    let candidates = times.into_iter().map(|(part, times)| {
        let sound = evidence.sound_since(part.0);
        let is_proven = sound.is_some_and(|begun| now < begun + PROVEN_TIME);
        Candidate::new(part, &times, is_proven, open)
    });
    let strong = candidates.filter(|candidate| candidate.weight >= CRASH_LIMIT);
    strong.max()
}

/// Returns the parts that are in every suspected request with `part`.
fn company(open: &[OpenCrash], part: PartDigest) -> BTreeSet<PartDigest> {
    let requests = open.iter().flat_map(|crash| crash.with(part));
    let mut parts = requests.map(|request| &request.parts);
    let first = parts.next().cloned().unwrap_or_default();
    parts.fold(first, |shared, parts| &shared & parts)
}

/// Returns the number of times, in ascending order, that are `apart` from the one counted before.
fn moments(times: &[Timestamp], apart: Duration) -> usize {
    let mut counted: Option<Timestamp> = None;
    let mut count = 0;
    for at in times {
        if counted.is_none_or(|last| last + apart <= *at) {
            counted = Some(*at);
            count += 1;
        }
    }
    count
}
