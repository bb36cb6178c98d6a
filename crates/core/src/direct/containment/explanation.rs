//! Which parts of prompts explain the crashes of endpoints.
//!
//! A part that crashes each endpoint is in a request of every crash, and no run with it goes on after
//! that. Parts that many requests share are in most crashes too, but runs with them go on all the time.
//! The fewest parts that explain all crashes are looked for, those in most crashes first. Parts that
//! were in the same requests at all crashes cannot be told apart: they explain the crashes together,
//! and a request with some of them only is still sent.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::crash::Crash;
use super::evidence::Evidence;
use super::statement::Fate;
use crate::request::PartDigest;
use crate::time::Timestamp;

/// Crashes that a part must have been in to be held.
pub(super) const CRASH_LIMIT: usize = 3;

/// Time within which several crashes count once: endpoints may end together for reasons of their own.
const JOINT_TIME: Duration = Duration::from_millis(50);

/// The same for a part with which runs have gone on lately.
const PROVEN_JOINT_TIME: Duration = Duration::from_secs(1);

/// Parts that explain crashes together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Cause {
    pub(super) parts: BTreeSet<PartDigest>,
    /// Whether a run with them went on lately.
    pub(super) proven: bool,
    /// Time of the newest crash.
    pub(super) newest: Timestamp,
}

/// Most parts that are held together.
const HELD_PARTS: usize = 64;

/// Parts that are in the same requests at all crashes, so that nothing tells them apart. Causes are taken in
/// descending order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Whether no run with them went on lately.
    unproven: bool,
    /// Number of crashes, those of one moment counted once.
    weight: usize,
    /// Number of crashes at which a request with them had not begun to answer.
    silent: usize,
    /// Number of their requests at all crashes: a wrong choice of few refuses few.
    requests: Reverse<usize>,
}

/// Position of a request: the index of its crash, and its own there.
type Position = (usize, usize);

/// The parts with the same requests, some of which went on lately or not.
type Group = (Vec<Position>, bool);

impl Candidate {
    /// Creates the candidate of the parts of a group.
    fn new((positions, is_proven): &Group, open: &[OpenCrash]) -> Self {
        let joint = if *is_proven {
            PROVEN_JOINT_TIME
        } else {
            JOINT_TIME
        };
        let is_silent = |(crash, request): &&Position| !open[*crash].requests[*request].begun;
        let silent = crashes(positions.iter().filter(is_silent));
        let times: Vec<_> = crashes(positions.iter())
            .map(|index| open[index].at)
            .collect();
        Self {
            unproven: !is_proven,
            weight: moments(&times, joint),
            silent: silent.count(),
            requests: Reverse(positions.len()),
        }
    }
}

/// Returns the crashes of positions in ascending order.
fn crashes<'a>(positions: impl Iterator<Item = &'a Position>) -> impl Iterator<Item = usize> {
    let mut last = None;
    positions.filter_map(move |(crash, _)| (last.replace(*crash) != Some(*crash)).then_some(*crash))
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
        let requests = crash.requests.iter().map(|(key, parts)| Suspect {
            parts: parts.iter().filter(is_suspect).copied().collect(),
            begun: key.begun,
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
        let (part, proven) = found;
        let of_part = open.iter().filter(|crash| crash.holds(part));
        causes.push(Cause {
            parts: held(company(&open, part), evidence),
            proven,
            newest: of_part.map(|crash| crash.at).max().unwrap_or_default(),
        });
        open.retain(|crash| !crash.holds(part));
    }
    causes
}

/// Returns the parts that are held of those which nothing tells apart: where they are too many, those
/// with which no run went on, or for longest.
fn held(parts: BTreeSet<PartDigest>, evidence: &Evidence) -> BTreeSet<PartDigest> {
    if parts.len() <= HELD_PARTS {
        return parts;
    }
    let mut parts: Vec<_> = parts.into_iter().collect();
    parts.sort_by_key(|part| evidence.sound_since(part.0));
    parts.into_iter().take(HELD_PARTS).collect()
}

/// Returns a part that explains the open crashes best, if one explains enough of them, and whether a run
/// with it went on lately.
fn strongest(
    open: &[OpenCrash],
    evidence: &Evidence,
    now: Timestamp,
) -> Option<(PartDigest, bool)> {
    let groups = groups(open, evidence, now);
    let candidates = groups
        .keys()
        .map(|group| (Candidate::new(group, open), group));
    let strong = candidates.filter(|(candidate, _)| candidate.weight >= CRASH_LIMIT);
    let mut best: Vec<(Candidate, &Group)> = Vec::new();
    for (candidate, group) in strong {
        match best.first().map(|(first, _)| candidate.cmp(first)) {
            Some(Ordering::Less) => continue,
            Some(Ordering::Equal) => {}
            Some(Ordering::Greater) | None => best.clear(),
        }
        best.push((candidate, group));
    }
    let parts = best.iter().map(|(_, group)| groups[*group]);
    let found = if best.len() == 1 {
        parts.max()
    } else {
        parts.max_by_key(|part| (company(open, *part).len(), *part))
    };
    let is_proven = best.first().is_some_and(|(first, _)| !first.unproven);
    found.map(|part| (part, is_proven))
}

/// Returns the groups of parts that are in enough crashes, each with its last part.
fn groups(open: &[OpenCrash], evidence: &Evidence, now: Timestamp) -> BTreeMap<Group, PartDigest> {
    let mut positions: BTreeMap<PartDigest, Vec<Position>> = BTreeMap::new();
    for (crash, of_crash) in open.iter().enumerate() {
        for (request, suspect) in of_crash.requests.iter().enumerate() {
            for part in &suspect.parts {
                positions.entry(*part).or_default().push((crash, request));
            }
        }
    }
    positions.retain(|_, positions| crashes(positions.iter()).count() >= CRASH_LIMIT);
    let group = |(part, positions): (PartDigest, Vec<Position>)| {
        ((positions, evidence.is_proven(part.0, now)), part)
    };
    positions.into_iter().map(group).collect()
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
